//! Plans as text, as JSON, and by their id.

use quillhatch_types::{Epoch, Generation, NodeAddress, Revision, ServiceName, SiteName, SlotId};

use crate::operator::{
    ExpectedLoad, Intent, OperatorReply, OperatorRequest, Plan, PlanBasis, PlanDraft, PlanStep, StepAction,
};

fn draft() -> PlanDraft {
    let (old, new) = (SiteName::new("old").unwrap(), SiteName::new("new").unwrap());
    let service = ServiceName::new("giving").unwrap();
    PlanDraft {
        intent: Intent::MoveShare { service: service.clone(), from: old.clone(), to: new.clone(), percent: 25 },
        service,
        site: old,
        basis: PlanBasis { generation: Generation(1), epoch: Epoch(7), revision: Revision(3) },
        steps: vec![PlanStep {
            number: 1,
            action: StepAction::MoveSlots { slots: vec![SlotId(1), SlotId(2)], to: new.clone() },
        }],
        loads: vec![ExpectedLoad {
            site: new,
            target: NodeAddress(([10, 0, 0, 1], 7000).into()),
            running: Some(4),
            expected: Some(9),
            limit: Some(8),
        }],
        risks: vec!["the link may be cut".into()],
        undo: "cancel the plan".into(),
    }
}

#[test]
fn the_text_of_a_plan_says_all_that_an_operator_must_know() {
    let plan = draft().seal();
    let text = plan.to_string();
    let parts = [
        plan.id.as_str(),
        "move 25 percent of giving from old to new",
        "generation 1, epoch 7, revision 3",
        "1. move 2 slots to new",
        "new 10.0.0.1:7000: now 4, expected 9, limit 8  ABOVE ITS LIMIT",
        "- the link may be cut",
        "undo: cancel the plan",
        "nothing has changed",
    ];
    for part in parts {
        assert!(text.contains(part), "{part} is missing in:\n{text}");
    }
}

#[test]
fn the_id_is_a_hash_over_everything_in_the_plan() {
    let plan = draft().seal();
    assert_eq!(plan, draft().seal());
    let changes: [fn(&mut PlanDraft); 4] = [
        |draft| draft.basis.epoch = Epoch(8),
        |draft| draft.steps[0].number = 2,
        |draft| draft.loads[0].expected = Some(10),
        |draft| draft.undo.push('!'),
    ];
    for change in changes {
        let mut other = draft();
        change(&mut other);
        assert_ne!(other.seal().id, plan.id);
    }
}

#[test]
fn requests_and_replies_survive_their_json() {
    let plan: Plan = draft().seal();
    let request = OperatorRequest::Plan { intent: plan.draft.intent.clone() };
    let text = serde_json::to_string(&request).unwrap();
    assert_eq!(serde_json::from_str::<OperatorRequest>(&text).unwrap(), request);
    let reply = OperatorReply::Planned { plan: Box::new(plan) };
    let text = serde_json::to_string(&reply).unwrap();
    assert_eq!(serde_json::from_str::<OperatorReply>(&text).unwrap(), reply);
}
