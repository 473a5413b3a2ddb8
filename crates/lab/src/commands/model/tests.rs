use quillhatch_model::{Exploration, Property, Trace};
use test_case::test_case;

use super::{as_expected, render_findings, without_violation, Finding, Task};

fn finding(mutation: Option<&'static str>, violated: bool) -> Finding {
    let steps = vec!["a message is lost".to_owned()];
    let violation = violated.then_some(Trace { property: Property("at most one run"), steps });
    let exploration = Exploration { states: 7, depth: 2, complete: true, violation };
    Finding { task: Task { model: "claims", mutation }, exploration }
}

#[test_case(None, false, true; "a model that holds")]
#[test_case(None, true, false; "a model that is violated")]
#[test_case(Some("no-fence"), true, true; "a mutation that is caught")]
#[test_case(Some("no-fence"), false, false; "a mutation that is not caught")]
fn all_expects_models_to_hold_and_mutations_to_be_caught(
    mutation: Option<&'static str>,
    violated: bool,
    expected: bool,
) {
    assert_eq!(as_expected(&finding(mutation, violated)), expected);
}

#[test]
fn a_violation_is_shown_with_its_trace() {
    let finding = finding(Some("no-fence"), true);
    assert!(!without_violation(&finding));
    let text = render_findings(&[finding], false);
    assert!(text.contains("claims with no-fence taken out: at most one run is violated:"), "{text}");
    assert!(text.contains("1. a message is lost"), "{text}");
}
