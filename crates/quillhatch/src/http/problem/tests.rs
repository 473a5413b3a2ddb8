//! Tests of status codes and of the header field for refusals.

use quillhatch_types::{Outcome, Refusal, RefusalReason};
use test_case::test_case;

use super::*;

#[test_case(Refusal::not_run(RefusalReason::Overloaded), 503)]
#[test_case(Refusal::not_run(RefusalReason::Stopping), 503)]
#[test_case(Refusal::unknown(RefusalReason::Overloaded), 502; "a call that may have run never gets 503")]
#[test_case(Refusal::unknown(RefusalReason::ConnectionLost), 502)]
#[test_case(Refusal::unknown(RefusalReason::DeadlinePassed), 504)]
#[test_case(Refusal::unknown(RefusalReason::KeyInProgress), 409)]
#[test_case(Refusal::not_run(RefusalReason::KeyConflict), 422)]
#[test_case(Refusal::not_run(RefusalReason::CallerRate), 429)]
#[test_case(Refusal::not_run(RefusalReason::NoRoute), 404)]
fn refusals_map_to_status_codes(refusal: Refusal, status: u16) {
    assert_eq!(status_of(&refusal).as_u16(), status);
}

#[test]
fn a_refusal_round_trips_through_its_header() {
    let refusal = Refusal::not_run(RefusalReason::SlotMoving).with_retry_after(Duration::from_millis(1_500));
    let mut headers = HeaderMap::new();
    write_refusal(&mut headers, &refusal);
    assert_eq!(read_refusal(&headers), Some(refusal));
}

#[test]
fn an_unknown_reason_is_read_as_an_unknown_outcome() {
    let mut headers = HeaderMap::new();
    headers.insert(REFUSAL, HeaderValue::from_static("not-run reason-of-a-later-release 0"));
    assert_eq!(read_refusal(&headers).map(|refusal| refusal.outcome), Some(Outcome::Unknown));
}
