//! Tests that the stand-ins respond, inject faults and record runs as documented, and that the load generator detects
//! faults.

use std::net::SocketAddr;
use std::time::Duration;

use quillhatch_standins::backend::{Backend, BackendFaults, BackendOptions};
use quillhatch_standins::load::{run, Arrivals, LoadOptions, LoadSummary, RequestKind, TrafficShare};
use quillhatch_standins::platform::{Platform, PlatformFaults};
use quillhatch_standins::server::{any_loopback, start};
use test_case::test_case;

fn options() -> BackendOptions {
    BackendOptions {
        service: "directory".to_owned(),
        name: "directory-1".to_owned(),
        slots: 4,
        service_time: Duration::from_millis(2),
        edge: None,
        children: Vec::new(),
    }
}

fn load(target: SocketAddr, kind: RequestKind) -> LoadOptions {
    LoadOptions {
        targets: vec![target],
        rate: 100.0,
        duration: Duration::from_millis(200),
        arrivals: Arrivals::Steady,
        shares: vec![TrafficShare { kind, path: "/directory".to_owned(), weight: 1 }],
        retries: 0,
        timeout: Duration::from_secs(10),
        connections: 8,
        seed: 1,
    }
}

async fn load_against(faults: BackendFaults, kind: RequestKind) -> (LoadSummary, u64) {
    let backend = Backend::start(any_loopback(), options()).await.unwrap();
    backend.behaviour.set_faults(faults);
    let mut load_options = load(backend.address(), kind);
    load_options.shares[0].path = "/directory/people".to_owned();
    if matches!(load_options.shares[0].kind, RequestKind::Download { .. }) {
        load_options.shares[0].path = "/directory".to_owned();
    }
    let summary = run(load_options).await.unwrap();
    (summary, backend.behaviour.runs.started())
}

const MEBIBYTE: u64 = 1024 * 1024;

#[test_case(RequestKind::Lookup; "lookups")]
#[test_case(RequestKind::Keyed; "keyed calls")]
#[test_case(RequestKind::Download { bytes: MEBIBYTE + 17 }; "downloads")]
#[rocket::async_test]
async fn every_call_receives_its_complete_response(kind: RequestKind) {
    let (summary, started) = load_against(BackendFaults::default(), kind).await;
    assert!(summary.offered >= 19, "{} calls", summary.offered);
    assert_eq!((summary.whole, started), (summary.offered, summary.offered));
}

#[rocket::async_test]
async fn an_aborted_download_is_reported_as_broken() {
    let faults = BackendFaults { break_after_bytes: Some(300_000), ..BackendFaults::default() };
    let (summary, _) = load_against(faults, RequestKind::Download { bytes: MEBIBYTE }).await;
    assert_eq!((summary.broken, summary.whole), (summary.offered, 0));
}

#[rocket::async_test]
async fn a_shed_call_is_reported_as_refused_and_does_not_run() {
    let faults = BackendFaults { shedding: true, ..BackendFaults::default() };
    let (summary, started) = load_against(faults, RequestKind::Lookup).await;
    assert_eq!(summary.refused.values().sum::<u64>(), summary.offered);
    assert_eq!(started, 0);
}

/// The server returns the same response to every caller, and half of a file as a complete body.
#[rocket::async_test]
async fn foreign_and_partial_responses_are_detected() {
    #[rocket::get("/directory")]
    fn foreign() -> &'static str {
        r#"{"identity": "somebody else", "backend": "x", "children": []}"#
    }
    #[rocket::get("/directory/files/<seed>/<bytes>")]
    fn half(seed: u64, bytes: u64) -> Vec<u8> {
        quillhatch_standins::content::GeneratedFile { seed, length: bytes / 2 }.block(0)
    }
    let server = start(rocket::build().mount("/", rocket::routes![foreign, half]), any_loopback()).await.unwrap();
    let summary = run(load(server.address, RequestKind::Lookup)).await.unwrap();
    assert_eq!(summary.foreign, summary.offered);
    let summary = run(load(server.address, RequestKind::Download { bytes: 1_000 })).await.unwrap();
    assert_eq!(summary.partial, summary.offered);
}

#[rocket::async_test]
async fn the_platform_can_be_unavailable_and_stale() {
    let platform = Platform::start(any_loopback(), "first".to_owned()).await.unwrap();
    platform.state.set_configuration("second".to_owned());
    let url = format!("http://{}/configuration", platform.address());
    let answer = reqwest::get(&url).await.unwrap();
    let entity_tag = answer.headers()["etag"].to_str().unwrap().to_owned();
    assert_eq!(answer.text().await.unwrap(), "second");
    let unchanged = reqwest::Client::new().get(&url).header("If-None-Match", entity_tag).send().await.unwrap();
    assert_eq!(unchanged.status(), 304);
    platform.state.set_faults(PlatformFaults { stale: true, ..PlatformFaults::default() });
    assert_eq!(reqwest::get(&url).await.unwrap().text().await.unwrap(), "first");
    platform.state.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    assert_eq!(reqwest::get(&url).await.unwrap().status(), 503);
}
