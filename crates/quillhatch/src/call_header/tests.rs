//! Tests of the authenticated header and the feedback header.

use std::time::Duration;

use quillhatch_messages::FleetKey;
use quillhatch_types::{AdmissionRank, CallId, ClassName, Epoch, NodeAddress, Priority, Revision, RootId, ServiceName};
use test_case::test_case;

use super::*;

fn keys(id: u32, byte: u8) -> FleetKeys {
    FleetKeys::new(vec![FleetKey { id: KeyId(id), secret: vec![byte; 32] }], KeyId(id)).expect("keys")
}

fn gate(incarnation: u64) -> NodeId {
    NodeId { address: NodeAddress("127.0.0.1:7001".parse().expect("address")), incarnation: Incarnation(incarnation) }
}

fn request(incarnation: u64) -> SignedRequest<'static> {
    SignedRequest { receiver: gate(incarnation), method: "POST", path: "/pledge?a=1" }
}

fn context() -> CallContext {
    CallContext {
        call: CallId(5),
        root: RootId(6),
        attempt: 1,
        depth: 2,
        tokens: 3,
        service: ServiceName::new("giving").expect("name"),
        class: ClassName::new("pledge").expect("name"),
        priority: Priority::Protected,
        rank: AdmissionRank::new(Priority::Protected, true, 9),
        repeatable: true,
        key: None,
        key_from_caller: false,
        digest: None,
        remaining: Duration::from_millis(250),
    }
}

#[test_case(7, 7; "this incarnation")]
#[test_case(0, 7; "any incarnation")]
fn a_signed_header_yields_its_context(addressed: u64, receiver: u64) {
    let value = sign_context(&keys(1, 1), request(addressed), &context());
    assert_eq!(verify_context(&keys(1, 1), request(receiver), value.as_ref()), Ok(context()));
}

#[test]
fn a_header_is_rejected_for_another_key_gate_or_request() {
    let value = sign_context(&keys(1, 1), request(7), &context());
    let verify_context = |keys: &FleetKeys, request| verify_context(keys, request, value.as_ref());
    let other_address = NodeId { address: NodeAddress("127.0.0.1:7002".parse().expect("address")), ..gate(7) };
    assert_eq!(verify_context(&keys(1, 2), request(7)), Err(CallHeaderError::WrongTag));
    assert_eq!(verify_context(&keys(2, 1), request(7)), Err(CallHeaderError::UnknownKey));
    assert_eq!(verify_context(&keys(1, 1), request(8)), Err(CallHeaderError::WrongRun));
    let elsewhere = SignedRequest { receiver: other_address, ..request(7) };
    assert_eq!(verify_context(&keys(1, 1), elsewhere), Err(CallHeaderError::WrongTag));
    let other_path = SignedRequest { path: "/pledge?a=2", ..request(7) };
    assert_eq!(verify_context(&keys(1, 1), other_path), Err(CallHeaderError::WrongTag));
    let other_method = SignedRequest { method: "GET", ..request(7) };
    assert_eq!(verify_context(&keys(1, 1), other_method), Err(CallHeaderError::WrongTag));
}

#[test_case(""; "empty")]
#[test_case("2.1.7.AAAA.AAAA"; "another version")]
#[test_case("1.1.7.AAAA"; "a part is missing")]
#[test_case("1.1.7.AAAA.AAAA.AAAA"; "a part too many")]
#[test_case("1.x.7.AAAA.AAAA"; "no key number")]
#[test_case("1.1.7.%%.AAAA"; "no base64url")]
fn malformed_headers_are_rejected(text: &str) {
    let value = HeaderValue::from_str(text).expect("value");
    assert_eq!(verify_context(&keys(1, 1), request(7), Some(&value)), Err(CallHeaderError::Malformed));
}

#[test]
fn feedback_round_trips_through_its_header() {
    let feedback = Feedback { limit: 12, epoch: Epoch(3), revision: Revision(4), ..Feedback::default() };
    let value = encode_feedback(&feedback).expect("value");
    assert_eq!(decode_feedback(&value), Some(feedback));
    assert_eq!(decode_feedback(&HeaderValue::from_static("%")), None);
}
