//! Responses that are invalid in HTTP: of targets, of health checks and of the store.

mod support;

use std::time::Duration;

use support::caller::{call, request, Response};
use support::shop::{document, read, two_machines, HOST};
use support::store::{StandInStore, StoreMode};
use support::target::TargetBehaviour;
use support::{eventually, run, Machine};
use test_case::test_case;
use tokio::time::sleep;

/// The body of invalid responses. No caller may receive it.
const BODY: &str = "invalid";
/// The name of a header in invalid responses. No caller may receive it.
const MARK: &str = "invalid-mark";

/// A response with the status line and the header line given, each with its line break.
fn response(status_line: &str, header_line: &str) -> &'static str {
    let text = format!(
        "{status_line}Quillhatch-Request-Id: {{id}}\r\nQuillhatch-Server-Stamp: stamp-{{id}}\r\n{MARK}: 1\r\n{header_line}Content-Length: {}\r\n\r\n{BODY}",
        BODY.len()
    );
    text.leak()
}

const OK: &str = "HTTP/1.1 200 OK\r\n";

/// The configuration with a further route, whose calls run at most once.
fn document_with_unsafe_route(version: u32) -> String {
    let rule = r#"{"name":"pay","kind":"unsafe","aim_s":1,"priority":2,"match":{"prefix":"/pay/"},"action":{"service":"alpha","timeout_s":1}},"#;
    document(version, "alpha").replacen(r#""rules":["#, &format!(r#""rules":[{rule}"#), 1)
}

fn pay(id: &str) -> String {
    request("POST", HOST, "/pay/", id, 5000, "amount=7")
}

/// Starts a machine of `alpha` and one of `beta`, both with the further route.
async fn two_machines_with_unsafe_route() -> (StandInStore, Machine, Machine) {
    let (store, alpha, beta) = two_machines().await;
    store.write_configuration(&document_with_unsafe_route(6));
    let are_configured = || [&alpha, &beta].iter().all(|machine| machine.node().configuration.borrow().version() == 6);
    eventually("version 6", are_configured).await;
    (store, alpha, beta)
}

fn assert_not_from_target(response: &Response) {
    assert!([502, 503].contains(&response.status), "{response:?}");
    assert!(!response.is_signed() && response.header(MARK).is_empty(), "{response:?}");
    assert!(!String::from_utf8_lossy(&response.body).contains(BODY), "{response:?}");
}

#[test_case("HTTP/1.1 000 X\r\n", ""; "status 000")]
#[test_case("HTTP/1.1 000\r\n", ""; "status 000 without a reason")]
#[test_case("HTTP/1.1 0 X\r\n", ""; "status 0")]
#[test_case("HTTP/1.1 099 X\r\n", ""; "status 099")]
#[test_case("HTTP/1.1 1000 X\r\n", ""; "status 1000")]
#[test_case("HTTP/1.1 20x X\r\n", ""; "a status with a letter")]
#[test_case("HTTP/1.1 101 Switching Protocols\r\n", "Connection: upgrade\r\nUpgrade: other\r\n"; "an upgrade that nobody asked for")]
#[test_case("HTTP/1.1 101 X\r\n", ""; "status 101 without an upgrade")]
#[test_case("HTTP/1.1 600 X\r\n", ""; "status 600")]
#[test_case("HTTP/1.1 999 X\r\n", ""; "status 999")]
#[test_case("HTTP/2.0 200 OK\r\n", ""; "another version")]
#[test_case("HTTP/3 200 OK\r\n", ""; "a version without a minor number")]
#[test_case(OK, "Bad Name: x\r\n"; "a blank in a name")]
#[test_case(OK, "Bad\tName: x\r\n"; "a tab in a name")]
#[test_case(OK, "Bad\u{1}Name: x\r\n"; "a control byte in a name")]
#[test_case(OK, "Bad\u{7f}Name: x\r\n"; "a DEL in a name")]
#[test_case(OK, "Bad\0Name: x\r\n"; "a NUL in a name")]
#[test_case(OK, "Bädname: x\r\n"; "an umlaut in a name")]
#[test_case(OK, "Bad-Name : x\r\n"; "a blank before the colon")]
#[test_case(OK, "Transfer-Encoding : chunked\r\n"; "a blank before the colon of the framing")]
#[test_case(OK, ": x\r\n"; "no name")]
#[test_case(OK, "no colon\r\n"; "no colon")]
#[test_case(OK, "Folded: x\r\n y\r\n"; "a folded line")]
#[test_case(OK, "Name: a\u{1}b\r\n"; "a control byte in a value")]
#[test_case(OK, "Name: a\0b\r\n"; "a NUL in a value")]
#[test_case(OK, "Name: a\rb\r\n"; "a bare carriage return in a value")]
#[test_case(OK, "Content-Length: 3\r\n"; "two lengths")]
fn an_invalid_response_reaches_no_caller(status_line: &str, header_line: &str) {
    let text = response(status_line, header_line);
    run(async move {
        let (store, faulty, beta) = two_machines_with_unsafe_route().await;
        faulty.target.set_behaviour(TargetBehaviour::Raw(text));
        // An unsafe call may have run, so it is not retried; a safe one has no other target yet.
        let unsafe_call = call(beta.outbound(), &pay("unsafe")).await.expect("a response");
        assert_eq!(unsafe_call.status, 502, "{unsafe_call:?}");
        assert_not_from_target(&unsafe_call);
        assert_not_from_target(&call(beta.outbound(), &read("alone")).await.expect("a response"));
        let sound = Machine::start(&store, "alpha", 4).await;
        eventually("both targets are listed", || beta.node().targets.borrow().of_service("alpha").len() == 2).await;
        let mut served = 0;
        for number in 0..20 {
            let id = format!("call-{number}");
            let response = call(beta.outbound(), &read(&id)).await.expect("a response");
            match response.status {
                200 => assert!(response.is_own(&id), "{response:?}"),
                _ => assert_not_from_target(&response),
            }
            served += usize::from(response.status == 200);
        }
        assert_eq!(served, 20, "safe calls are served by the other target");
        drop(sound);
    });
}

#[test_case("HTTP/1.1 000 X\r\n"; "status 000")]
#[test_case("HTTP/1.1 101 X\r\n"; "status 101")]
#[test_case("HTTP/1.1 600 X\r\n"; "status 600")]
#[test_case("HTTP/1.1 200 OK\r\nBad Name: x\r\n"; "a blank in a name")]
fn an_invalid_response_to_a_health_check_names_no_target(status_line: &str) {
    let text = format!("{status_line}Quillhatch-Instance-Id: i-invalid\r\nContent-Length: 0\r\n\r\n").leak();
    run(async move {
        let (_store, alpha, beta) = two_machines_with_unsafe_route().await;
        alpha.target.set_health_text(Some(text));
        alpha.target.set_behaviour(TargetBehaviour::NoResponse);
        // The gate asks the target for its identity after a lost connection.
        call(beta.outbound(), &pay("lost")).await.expect("a response");
        sleep(Duration::from_millis(200)).await;
        assert!(alpha.target.probes() > 0, "the target was asked");
        assert_ne!(alpha.node().local_target_id.borrow().as_deref(), Some("i-invalid"));
        alpha.target.set_health_text(None);
        alpha.target.set_behaviour(TargetBehaviour::Normal);
        let response = call(beta.outbound(), &read("after")).await.expect("a response");
        assert_eq!(response.status, 200);
    });
}

#[test_case("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"; "status 000")]
#[test_case("HTTP/1.1 101 X\r\n\r\n"; "status 101")]
#[test_case("HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n"; "status 600")]
#[test_case("HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 12\r\n\r\n{\"at\":999999}"; "a blank in a name")]
#[test_case("\0\u{1} no response\r\n\r\n"; "no HTTP")]
fn an_invalid_response_of_the_store_is_an_outage(text: &'static str) {
    run(async move {
        let (store, _alpha, beta) = two_machines().await;
        let before = store.calls();
        store.set_mode(StoreMode::Raw(text));
        sleep(Duration::from_millis(1200)).await;
        assert!(store.calls() - before < 20, "two nodes make {} calls in 1.2 s", store.calls() - before);
        assert_eq!(beta.node().position().era, 1);
        assert_eq!(call(beta.outbound(), &read("one")).await.expect("a response").status, 200);
        store.set_mode(StoreMode::Normal);
        let lists = store.calls_to("/kv-range");
        store.write_configuration(&document(6, "alpha"));
        eventually("version 6", || beta.node().configuration.borrow().version() == 6).await;
        assert_eq!(store.calls_to("/kv-range"), lists, "the watch continues from the position of the view");
    });
}
