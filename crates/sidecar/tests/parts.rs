//! Unit tests of the hop header, request parsing, log rate limiting, counters and datagrams.

use std::net::IpAddr;
use std::time::Duration;

use proptest::prelude::{any, proptest};
use quillhatch_mesh::admission_level::AdmissionLevel;
use quillhatch_mesh::callers::CallerKind;
use quillhatch_mesh::freshness::FreshnessProof;
use quillhatch_mesh::gate::GateLoad;
use quillhatch_mesh::parents::InheritedContext;
use quillhatch_mesh::replica::{Position, ReplicaState};
use quillhatch_mesh::target_limit::{AnnouncedLimit, KnownLimit, RateLimitReport};
use quillhatch_mesh::targets::RunningAt;
use quillhatch_messages::generated::limits::LimitMessage;
use quillhatch_messages::generated::quarantine::QuarantineMessage;
use quillhatch_sidecar::counters::Counters;
use quillhatch_sidecar::hop::{GateOutcome, HopContext, HopReport, LocalTarget, StoreView};
use quillhatch_sidecar::logging::LineRateLimit;
use quillhatch_sidecar::pipeline::{parse_next_request, NextRequest};
use test_case::test_case;

#[test]
fn a_hop_context_round_trips() {
    let limit = AnnouncedLimit { per_second: 0.125, running_at: RunningAt(1_790_000_000_000) };
    let work_time = Some(Duration::from_millis(1_250));
    for (rate_limit, work_time) in [(Some(limit), work_time), (Some(limit), None), (None, work_time), (None, None)] {
        let context = HopContext {
            is_root: true,
            inherited: InheritedContext { priority: 2, position: 255, is_retry: true, admitted_permille: 250 },
            max_wait: Duration::from_millis(330),
            store_view: StoreView {
                replica: ReplicaState { position: Position { era: 2, revision: 77 }, version: 12 },
                store_unreachable: true,
            },
            edge_ip: IpAddr::from([10, 1, 0, 8]),
            is_over_limit: true,
            rate_limit,
            work_time,
        };
        assert_eq!(HopContext::decode(&context.encode()), Some(context));
    }
}

#[test]
fn a_hop_report_round_trips() {
    let current_target = LocalTarget { id: "i-1".to_owned(), service: "alpha".to_owned() };
    for outcome in GateOutcome::ALL {
        let proof = FreshnessProof { version: 17, age_at_arrival_ms: -250 };
        let rate_limit = KnownLimit::Limited(RateLimitReport {
            limit: AnnouncedLimit { per_second: 4.1, running_at: RunningAt(1_790_000_000_001) },
            share: 0.0625,
        });
        for (current_target, proof, rate_limit) in [
            (None, Some(proof), rate_limit),
            (Some(current_target.clone()), None, rate_limit),
            (Some(current_target.clone()), Some(proof), KnownLimit::Unlimited(RunningAt(1_790_000_000_002))),
            (None, None, KnownLimit::Unknown),
        ] {
            let report = HopReport {
                outcome,
                load: GateLoad { running: 3, limit: 36, waiting: 144 },
                admission_level: AdmissionLevel::from_priority_share(0.125),
                health: 0.75,
                caller_kind: CallerKind::TargetsOnly,
                store_view: StoreView { replica: ReplicaState::default(), store_unreachable: false },
                proof,
                current_target,
                rate_limit,
                drain_notice: proof.map(|_| RunningAt(1_790_000_000_000)),
                retry_level: proof.map_or(AdmissionLevel::FULL, |_| AdmissionLevel::from_priority_share(0.25)),
            };
            assert_eq!(HopReport::decode(&report.encode()), Some(report));
        }
    }
}

#[test]
fn a_retry_level_that_has_almost_recovered_takes_no_bytes_of_a_hop_report() {
    let full = HopReport::decode("a;3;36;144;1250;75;1;0.0,0;").expect("a report");
    let recovered = HopReport { retry_level: AdmissionLevel::from_priority_share(0.999_99), ..full.clone() };
    assert_eq!(recovered.encode(), full.encode());
}

#[test]
fn a_hop_report_without_the_fields_of_newer_nodes_is_decoded() {
    let report = HopReport::decode("a;3;36;144;1250;75;1;0.0,0;").expect("a report");
    assert_eq!((report.current_target, report.rate_limit, report.drain_notice), (None, KnownLimit::Unknown, None));
    assert_eq!(report.retry_level, AdmissionLevel::FULL);
}

#[test_case("")]
#[test_case("1;2")]
#[test_case("x;1;2;3;4;5;6;7,0")]
#[test_case("a;1;2;3;4;5;-6;7,0")]
#[test_case("a;1;2;3;4;5;6;7")]
#[test_case("a;1;2;3;4;5;6;7,0"; "no field for the proof")]
#[test_case("a;1;2;3;4;5;6;7,0;17"; "incomplete proof")]
#[test_case("a;1;2;3;4;5;6;7,0;17,1.5"; "fractional age")]
fn an_invalid_hop_header_is_rejected(text: &str) {
    assert_eq!(HopReport::decode(text), None);
    assert_eq!(HopContext::decode(text), None);
}

fn head_length(text: &str) -> Option<usize> {
    match parse_next_request(text.as_bytes()) {
        NextRequest::WithoutBody(length, _) => Some(length),
        _ => None,
    }
}

#[test]
fn a_request_without_a_body_ends_with_its_head() {
    let first = "GET /a?x=1 HTTP/1.1\r\nHost: h\r\nX: a\r\nX: b\r\n\r\n";
    assert_eq!(head_length(&format!("{first}GET /b HTTP/1.1\r\n")), Some(first.len()));
    let NextRequest::WithoutBody(_, parts) = parse_next_request(first.as_bytes()) else { panic!("a request") };
    assert_eq!((parts.method.as_str(), parts.uri.to_string().as_str()), ("GET", "/a?x=1"));
    assert_eq!(parts.headers.get_all("x").iter().count(), 2);
}

#[test_case("GET / HTTP/1.1\r\nHost: h\r\n"; "incomplete head")]
#[test_case(""; "nothing")]
fn an_incomplete_head_needs_more_bytes(text: &str) {
    assert!(matches!(parse_next_request(text.as_bytes()), NextRequest::Incomplete));
}

#[test_case("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"; "a body with a length")]
#[test_case("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"; "chunked body")]
#[test_case("GET / HTTP/1.0\r\n\r\n"; "older protocol version")]
#[test_case("GET / HTTP/1.1\r\nUpgrade: x\r\n\r\n"; "an upgrade")]
#[test_case("nonsense\r\n\r\n"; "no request")]
fn other_requests_are_left_to_hyper(text: &str) {
    assert!(matches!(parse_next_request(text.as_bytes()), NextRequest::Unsupported));
}

#[test]
fn two_lengths_are_ambiguous() {
    let text = "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert!(matches!(parse_next_request(text.as_bytes()), NextRequest::Ambiguous));
}

#[test]
fn the_rate_of_log_lines_is_bounded() {
    let mut rate = LineRateLimit::new(5.0);
    let allowed = (0..1_000).filter(|_| rate.allows()).count();
    assert!((5..=6).contains(&allowed), "{allowed}");
    std::thread::sleep(Duration::from_millis(450));
    let allowed = (0..1_000).filter(|_| rate.allows()).count();
    assert!((2..=4).contains(&allowed), "{allowed}");
}

#[test]
fn counters_are_rendered_in_the_prometheus_format() {
    let counters = Counters::default();
    counters.count_edge_call("answered", Duration::from_millis(30));
    counters.count_edge_call("shed", Duration::from_millis(1));
    counters.count_gate_call("full");
    let text = counters.render(&[("ready", 1.0)], 7);
    for line in [
        "quillhatch_edge_calls_total{outcome=\"answered\"} 1",
        "quillhatch_edge_calls_total{outcome=\"shed\"} 1",
        "quillhatch_gate_calls_total{outcome=\"full\"} 1",
        "quillhatch_log_lines_dropped_total 7",
        "quillhatch_ready 1",
        "quillhatch_edge_call_seconds_bucket{le=\"0.01\"} 1",
        "quillhatch_edge_call_seconds_bucket{le=\"0.05\"} 2",
        "quillhatch_edge_call_seconds_count 2",
    ] {
        assert!(text.lines().any(|known| known == line), "{line} in\n{text}");
    }
}

proptest! {
    #[test]
    fn no_hop_header_causes_a_panic(text in ".{0,120}", numbers in "[a-z0-9;,.-]{0,80}") {
        for text in [&text, &numbers] {
            let _ = HopReport::decode(text);
            let _ = HopContext::decode(text);
        }
    }

    #[test]
    fn no_datagram_causes_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = quillhatch_messages::decode::<LimitMessage>(&bytes);
        let _ = quillhatch_messages::decode::<QuarantineMessage>(&bytes);
    }
}
