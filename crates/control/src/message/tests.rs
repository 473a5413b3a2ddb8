//! Messages survive the wire whole, and damaged ones are errors.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{
    ClassName, Epoch, GateEntry, GateStatus, Generation, Incarnation, NodeAddress, NodeId, PlanId, Revision,
    ServiceName, ServiceTable, SiteName, SlotAssignment, SlotId, SlotState, Timestamp, ZoneName,
};

use crate::io::{EncodedClaim, LoadReport};
use crate::message::{ConfigurationContent, ControlMessage, GroupBody, Heartbeat, OfferOutcome, Readiness, SlotClaims};
use crate::operator::{OperatorReply, OperatorRequest};
use crate::state::RetryLimits;

fn node(number: u8) -> NodeId {
    NodeId { address: NodeAddress(([10, 0, 0, number], 1).into()), incarnation: Incarnation(u64::MAX) }
}

fn site(name: &str) -> SiteName {
    SiteName::new(name).unwrap()
}

fn plan() -> PlanId {
    PlanId::new("0011-aabb").unwrap()
}

fn limits() -> RetryLimits {
    RetryLimits { class: ClassName::new("pledge").unwrap(), budget: 3, ratio_percent: 10 }
}

fn load() -> LoadReport {
    LoadReport { running: 3, limit: 8, completions_per_second: 41.5, protected_refusals: 2 }
}

fn claims() -> SlotClaims {
    let claims = vec![EncodedClaim(vec![1, 2, 3]), EncodedClaim(vec![])];
    SlotClaims { slot: SlotId(3), epoch: Epoch(9), page: 1, pages: 2, claims }
}

fn table() -> ServiceTable {
    let states = [
        SlotState::Owned { owner: node(1) },
        SlotState::Sealed { destination: site("there") },
        SlotState::Elsewhere { site: site("there") },
        SlotState::Vacant,
    ];
    let slot = |(state, number): (SlotState, u16)| SlotAssignment { slot: SlotId(number), epoch: Epoch(4), state };
    ServiceTable {
        service: ServiceName::new("giving").unwrap(),
        site: site("here"),
        generation: Generation(2),
        epoch: Epoch(7),
        slots: states.into_iter().zip(0..).map(slot).collect(),
        gates: vec![GateEntry {
            node: node(1),
            zone: ZoneName::new("a").unwrap(),
            status: GateStatus::Draining,
            connections: 100,
        }],
        voters: vec![node(1), node(2)],
        previous_voters: vec![node(3)],
        claims_lost: true,
    }
}

fn bodies() -> Vec<GroupBody> {
    let (slot, epoch, seal_epoch) = (SlotId(5), Epoch(6), Epoch(7));
    let offer_answer = |outcome| GroupBody::OfferAnswer { slot, seal_epoch, outcome };
    let heartbeat = Heartbeat {
        sequence: 9,
        zone: ZoneName::new("a").unwrap(),
        connections: 7,
        leaving: true,
        idle: true,
        load: load(),
    };
    let readiness = Readiness {
        asked: Timestamp(12),
        epoch,
        serving: 2,
        protected_refusals: 1,
        plan: Some(plan()),
        started: true,
        loads: vec![(node(1).address, load())],
    };
    vec![
        GroupBody::AskTable { generation: Generation(1), epoch },
        GroupBody::Table { table: Arc::new(table()), retries: vec![limits()] },
        GroupBody::Heartbeat(heartbeat),
        GroupBody::HeartbeatAnswer { sequence: 9, lease: Duration::from_millis(700), generation: Generation(1), epoch },
        GroupBody::NotLeader { leader: Some(node(4)) },
        GroupBody::NotLeader { leader: None },
        GroupBody::SlotImported { slot, epoch },
        GroupBody::VotersSettled { epoch },
        GroupBody::SettledKnown { epoch },
        GroupBody::Export { slot, epoch },
        GroupBody::Exported(claims()),
        GroupBody::Import(claims()),
        GroupBody::Probe { from: site("there"), asked: Timestamp(12) },
        GroupBody::ProbeAnswer(readiness),
        GroupBody::Offer { from: site("there"), claims: claims() },
        GroupBody::Withdraw { from: site("there"), slot, seal_epoch },
        offer_answer(OfferOutcome::Held { pages: 3 }),
        offer_answer(OfferOutcome::Accepted { epoch }),
        offer_answer(OfferOutcome::Refused),
        GroupBody::ReturnSlots { to: site("there"), slots: vec![(slot, epoch)] },
        GroupBody::SetRetries { plan: plan(), limits: limits() },
        GroupBody::SetRetriesAnswer { plan: plan(), limits: limits() },
        GroupBody::Request { number: 4, request: Box::new(OperatorRequest::Plans) },
        GroupBody::Reply { number: 4, reply: Box::new(OperatorReply::refused("plan", "no", "yes")) },
    ]
}

fn messages() -> Vec<ControlMessage> {
    let revision = Revision(8);
    let configuration = vec![
        ControlMessage::AskConfiguration { revision },
        ControlMessage::OfferConfiguration { revision, content: ConfigurationContent::Nothing, page: 0, pages: 1 },
    ];
    let group = |body| ControlMessage::Group { service: table().service, site: site("here"), body };
    configuration.into_iter().chain(bodies().into_iter().map(group)).collect()
}

#[test]
fn every_message_survives_the_wire() {
    for message in messages() {
        assert_eq!(ControlMessage::decode(&message.encode()).unwrap(), message);
    }
}

#[test]
fn damaged_messages_are_errors_and_never_crash_the_node() {
    let mut refused = 0;
    for message in messages() {
        let bytes = message.encode();
        for position in 0..bytes.len() {
            refused += usize::from(ControlMessage::decode(&bytes[..position]).is_err());
            let mut damaged = bytes.clone();
            damaged[position] ^= 0xff;
            refused += usize::from(ControlMessage::decode(&damaged).is_err());
        }
    }
    assert!(refused > 0);
}

#[test]
fn an_answer_that_says_both_accepted_and_refused_is_an_error() {
    use quillhatch_messages::generated::control as wire;
    let answer = wire::OfferAnswer { accepted: 3, refused: true, ..Default::default() };
    let body = wire::mod_Control::OneOfbody::offer_answer(answer);
    let control = wire::Control { service: "giving".into(), site: "here".into(), body };
    assert!(ControlMessage::decode(&quillhatch_messages::encode(&control)).is_err());
}
