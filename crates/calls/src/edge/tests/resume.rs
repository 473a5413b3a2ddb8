//! An interrupted download is resumed from another target, or the caller's stream is aborted.

use quillhatch_types::{AttemptId, RefusalReason};
use test_case::test_case;

use super::harness::{arrival, at, refused, Harness, ANSWERED};
use crate::edge::{AttemptResult, BodyState, EdgeInput, EdgeOutput, StrongValidator};

fn interrupted_at(received: u64) -> BodyState {
    BodyState { received, length: Some(1_000), validator: Some(StrongValidator("\"v1\"".to_owned())) }
}

/// A call whose answer is being relayed, and its attempt.
fn relayed(harness: &mut Harness, class: &str) -> AttemptId {
    harness.arrive(1, arrival(1, class));
    let attempt = harness.sent_one().1.attempt_id();
    harness.answer(2, attempt, ANSWERED);
    assert!(harness.is_relayed());
    attempt
}

fn aborts_stream(harness: &Harness) -> bool {
    harness.outputs.iter().any(|output| matches!(output, EdgeOutput::AbortStream { .. }))
}

fn end_body(harness: &mut Harness, now: u64, attempt: AttemptId, incomplete: Option<BodyState>) {
    harness.step(at(now), EdgeInput::BodyEnded { attempt, incomplete });
}

#[test]
fn an_interrupted_download_is_resumed_elsewhere_without_a_second_answer() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, arrival(1, "archive"));
    let (first_target, context) = harness.sent_one();
    harness.answer(2, context.attempt_id(), ANSWERED);
    end_body(&mut harness, 5_000, context.attempt_id(), Some(interrupted_at(400)));
    let (target, resumed) = harness.sent_one();
    assert_ne!(target, first_target);
    assert!(matches!(&harness.outputs[..], [EdgeOutput::Resume { offset: 400, .. }]));
    assert_eq!(resumed.rank, context.rank, "the resumed attempt is not ranked as a retry");
    assert!(harness.answer(5_001, resumed.attempt_id(), ANSWERED).is_empty());
    end_body(&mut harness, 5_002, resumed.attempt_id(), None);
    assert!(harness.outputs.is_empty());
    assert_eq!(harness.edge.calls_in_progress(), 0);
}

#[test]
fn the_number_of_resumes_is_bounded() {
    let mut harness = Harness::new(|settings, configuration| {
        settings.retry.maximum_resumes = 2;
        for service in configuration.services.values_mut() {
            service.classes.iter_mut().for_each(|class| class.retry_budget = 100);
        }
    });
    let mut attempt = relayed(&mut harness, "archive");
    for round in 0..2 {
        end_body(&mut harness, 10 + round, attempt, Some(interrupted_at(400 + round)));
        attempt = harness.sent_one().1.attempt_id();
        harness.answer(10 + round, attempt, ANSWERED);
    }
    end_body(&mut harness, 20, attempt, Some(interrupted_at(500)));
    assert!(aborts_stream(&harness));
}

#[test_case("archive", BodyState { validator: None, ..interrupted_at(400) }; "no strong validator")]
#[test_case("archive", BodyState { length: None, ..interrupted_at(400) }; "length not known")]
#[test_case("archive", interrupted_at(1_000); "nothing is missing")]
#[test_case("pledge", interrupted_at(400); "may not run again")]
fn aborts_downloads_that_cannot_be_resumed(class: &str, state: BodyState) {
    let mut harness = Harness::new(|_, _| {});
    let attempt = relayed(&mut harness, class);
    end_body(&mut harness, 10, attempt, Some(state));
    assert!(aborts_stream(&harness) && harness.sent().is_empty());
    assert_eq!(harness.edge.calls_in_progress(), 0);
}

#[test_case(AttemptResult::ResumeRefused; "another version")]
#[test_case(AttemptResult::Lost; "lost")]
#[test_case(refused(RefusalReason::Overloaded); "overloaded")]
fn a_failed_resume_is_retried_at_the_third_target(result: AttemptResult) {
    let mut harness = Harness::new(|_, _| {});
    let attempt = relayed(&mut harness, "archive");
    end_body(&mut harness, 10, attempt, Some(interrupted_at(400)));
    let (second, resumed) = harness.sent_one();
    harness.answer(11, resumed.attempt_id(), result);
    let (third, _) = harness.sent_one();
    assert_ne!(second, third);
}

#[test]
fn a_resume_without_an_answer_aborts_the_stream_at_its_deadline() {
    let mut harness = Harness::new(|_, _| {});
    let attempt = relayed(&mut harness, "archive");
    end_body(&mut harness, 10, attempt, Some(interrupted_at(400)));
    let resumed = harness.sent_one().1.attempt_id();
    let outputs = harness.run_until(10_000);
    assert_eq!(outputs[0], EdgeOutput::CancelAttempt { attempt: resumed });
    assert!(aborts_stream(&harness));
}

#[test]
fn without_the_resume_mechanism_interrupted_downloads_are_aborted() {
    let mut harness = Harness::new(|settings, _| settings.mechanisms.resume = false);
    let attempt = relayed(&mut harness, "archive");
    end_body(&mut harness, 10, attempt, Some(interrupted_at(400)));
    assert!(aborts_stream(&harness));
}

#[test]
fn a_disconnected_caller_cancels_the_download() {
    let mut harness = Harness::new(|_, _| {});
    let attempt = relayed(&mut harness, "archive");
    let outputs = harness.step(at(10), EdgeInput::CallerDisconnected { call: attempt.call });
    assert_eq!(outputs, [EdgeOutput::CancelAttempt { attempt }]);
    end_body(&mut harness, 11, attempt, Some(interrupted_at(400)));
    assert!(harness.outputs.is_empty());
}
