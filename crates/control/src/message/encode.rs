//! Messages to bytes.

use quillhatch_messages::generated::control as wire;
use quillhatch_messages::generated::control::mod_Control::OneOfbody as Body;
use quillhatch_messages::{encode, Payload, PayloadKind};
use serde::Serialize;

use crate::convert::{
    assignment_to_wire, gate_to_wire, limits_to_wire, load_to_wire, optional_plan_to_wire, run_to_wire, runs_to_wire,
};
use crate::io::{ControlPayload, GroupFrame};
use crate::message::{ConfigurationContent, ControlMessage, GroupBody, Heartbeat, OfferOutcome, Readiness, SlotClaims};
use crate::state::RetryLimits;
use quillhatch_types::{Revision, ServiceTable};

impl ControlPayload {
    /// Encodes the payload for a frame.
    pub fn encode(&self) -> Payload {
        match self {
            ControlPayload::Control(message) => {
                let service = match message.as_ref() {
                    ControlMessage::Group { service, .. } => Some(service.clone()),
                    _ => None,
                };
                Payload { kind: PayloadKind::Control, service, bytes: message.encode() }
            }
            ControlPayload::Group(frame) => {
                Payload { kind: PayloadKind::Group, service: Some(frame.service.clone()), bytes: frame.encode() }
            }
        }
    }
}

impl GroupFrame {
    /// Encodes the frame's payload.
    pub fn encode(&self) -> Vec<u8> {
        encode(&wire::GroupFrame {
            service: self.service.to_string(),
            site: self.site.to_string(),
            message: self.message.encode(),
        })
    }
}

impl ControlMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut control = wire::Control::default();
        control.body = match self {
            ControlMessage::AskConfiguration { revision } => {
                Body::ask_configuration(wire::AskConfiguration { revision: revision.0 })
            }
            ControlMessage::OfferConfiguration { revision, content, page, pages } => {
                let offer = offer_to_wire(*revision, content);
                Body::offer_configuration(wire::OfferConfiguration { page: *page, pages: *pages, ..offer })
            }
            ControlMessage::Group { service, site, body } => {
                control.service = service.to_string();
                control.site = site.to_string();
                body_to_wire(body)
            }
        };
        encode(&control)
    }
}

// Types of this workspace always have a JSON form; an empty document would be refused by the receiver.
fn document<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn offer_to_wire(revision: Revision, content: &ConfigurationContent) -> wire::OfferConfiguration {
    let mut offer = wire::OfferConfiguration { revision: revision.0, ..Default::default() };
    match content {
        ConfigurationContent::Nothing => {}
        ConfigurationContent::Whole(configuration) => offer.configuration = document(configuration),
        ConfigurationContent::Difference { base, changed, removed } => {
            offer.base = base.0;
            offer.configuration = document(changed);
            offer.removed = document(removed);
        }
    }
    offer
}

fn body_to_wire(body: &GroupBody) -> Body {
    match body {
        GroupBody::AskTable { generation, epoch } => {
            Body::ask_table(wire::AskTable { generation: generation.0, epoch: epoch.0 })
        }
        GroupBody::Table { table, retries } => Body::table(table_to_wire(table, retries)),
        GroupBody::Heartbeat(heartbeat) => Body::heartbeat(heartbeat_to_wire(heartbeat)),
        GroupBody::HeartbeatAnswer { sequence, lease, generation, epoch } => {
            Body::heartbeat_answer(wire::HeartbeatAnswer {
                sequence: *sequence,
                lease_milliseconds: u32::try_from(lease.as_millis()).unwrap_or(0),
                generation: generation.0,
                epoch: epoch.0,
            })
        }
        GroupBody::NotLeader { leader } => Body::not_leader(wire::NotLeader { leader: leader.map(run_to_wire) }),
        GroupBody::SlotImported { slot, epoch } => {
            Body::slot_imported(wire::SlotImported { slot: u32::from(slot.0), epoch: epoch.0 })
        }
        GroupBody::VotersSettled { epoch } => Body::voters_settled(wire::VotersSettled { epoch: epoch.0 }),
        GroupBody::SettledKnown { epoch } => Body::settled_known(wire::VotersSettled { epoch: epoch.0 }),
        GroupBody::Export { slot, epoch } => {
            Body::export_slot(wire::Export { slot: u32::from(slot.0), epoch: epoch.0 })
        }
        GroupBody::Exported(claims) => Body::exported(claims_to_wire(claims)),
        GroupBody::Import(claims) => Body::import_slot(claims_to_wire(claims)),
        GroupBody::Request { number, request } => {
            Body::request(wire::Forwarded { number: *number, body: document(request) })
        }
        GroupBody::Reply { number, reply } => Body::reply(wire::Forwarded { number: *number, body: document(reply) }),
        GroupBody::SetRetries { plan, limits } => {
            Body::set_retries(wire::SetRetries { plan: plan.to_string(), limits: Some(limits_to_wire(limits)) })
        }
        GroupBody::SetRetriesAnswer { plan, limits } => Body::set_retries_answer(wire::SetRetriesAnswer {
            plan: plan.to_string(),
            limits: Some(limits_to_wire(limits)),
        }),
        between_sites => transfer_to_wire(between_sites),
    }
}

fn transfer_to_wire(body: &GroupBody) -> Body {
    match body {
        GroupBody::Probe { from, asked } => Body::probe(wire::Probe { from: from.to_string(), asked: asked.0 }),
        GroupBody::ProbeAnswer(readiness) => Body::probe_answer(readiness_to_wire(readiness)),
        GroupBody::Offer { from, claims } => {
            Body::offer(wire::Offer { from: from.to_string(), claims: Some(claims_to_wire(claims)) })
        }
        GroupBody::Withdraw { from, slot, seal_epoch } => {
            Body::withdraw(wire::Withdraw { from: from.to_string(), slot: u32::from(slot.0), seal_epoch: seal_epoch.0 })
        }
        GroupBody::OfferAnswer { slot, seal_epoch, outcome } => {
            let mut answer =
                wire::OfferAnswer { slot: u32::from(slot.0), seal_epoch: seal_epoch.0, ..Default::default() };
            match outcome {
                OfferOutcome::Held { pages } => answer.pages = *pages,
                OfferOutcome::Accepted { epoch } => answer.accepted = epoch.0,
                OfferOutcome::Refused => answer.refused = true,
            }
            Body::offer_answer(answer)
        }
        GroupBody::ReturnSlots { to, slots } => Body::return_slots(wire::ReturnSlots {
            to: to.to_string(),
            slots: slots.iter().map(|(slot, _)| u32::from(slot.0)).collect(),
            seal_epochs: slots.iter().map(|(_, epoch)| epoch.0).collect(),
        }),
        _ => Body::None,
    }
}

fn heartbeat_to_wire(heartbeat: &Heartbeat) -> wire::Heartbeat {
    wire::Heartbeat {
        sequence: heartbeat.sequence,
        zone: heartbeat.zone.to_string(),
        connections: heartbeat.connections,
        leaving: heartbeat.leaving,
        idle: heartbeat.idle,
        load: Some(load_to_wire(&heartbeat.load)),
    }
}

fn claims_to_wire(claims: &SlotClaims) -> wire::SlotClaims {
    wire::SlotClaims {
        slot: u32::from(claims.slot.0),
        epoch: claims.epoch.0,
        page: claims.page,
        pages: claims.pages,
        claims: claims.claims.iter().map(|claim| claim.0.clone()).collect(),
    }
}

fn readiness_to_wire(readiness: &Readiness) -> wire::ProbeAnswer {
    let load = |(address, load): &(quillhatch_types::NodeAddress, crate::io::LoadReport)| wire::TargetLoad {
        address: address.to_string(),
        load: Some(load_to_wire(load)),
    };
    wire::ProbeAnswer {
        asked: readiness.asked.0,
        epoch: readiness.epoch.0,
        serving: readiness.serving,
        protected_refusals: readiness.protected_refusals,
        plan: optional_plan_to_wire(&readiness.plan),
        started: readiness.started,
        loads: readiness.loads.iter().map(load).collect(),
    }
}

fn table_to_wire(table: &ServiceTable, retries: &[RetryLimits]) -> wire::Table {
    wire::Table {
        generation: table.generation.0,
        epoch: table.epoch.0,
        slots: table.slots.iter().map(assignment_to_wire).collect(),
        gates: table.gates.iter().map(gate_to_wire).collect(),
        voters: runs_to_wire(&table.voters),
        previous_voters: runs_to_wire(&table.previous_voters),
        claims_lost: table.claims_lost,
        retries: retries.iter().map(limits_to_wire).collect(),
    }
}
