//! Bytes to messages; everything in them is checked.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_group::GroupMessage;
use quillhatch_messages::decode;
use quillhatch_messages::generated::control as wire;
use quillhatch_messages::generated::control::mod_Control::OneOfbody as Body;
use quillhatch_types::{
    Configuration, Epoch, Generation, PlanId, Revision, ServiceName, ServiceTable, SiteName, SlotId, SlotState,
    Timestamp, ZoneName,
};

use crate::convert::{
    address_from_wire, assignment_from_wire, gate_from_wire, limits_from_wire, load_from_wire, optional_plan_from_wire,
    run_from_wire, runs_from_wire, slot_from_wire,
};
use crate::error::{field, DecodeError};
use crate::io::{EncodedClaim, GroupFrame};
use crate::message::{
    ConfigurationContent, ControlMessage, GroupBody, Heartbeat, OfferOutcome, Readiness, SlotClaims, MAXIMUM_PAGES,
    MAXIMUM_PAGE_BYTES,
};

type Decoded<T> = Result<T, DecodeError>;

impl GroupFrame {
    /// Decodes the payload of a frame of kind `GROUP`.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the bytes.
    pub fn decode(bytes: &[u8]) -> Decoded<Self> {
        let frame: wire::GroupFrame = decode(bytes)?;
        Ok(GroupFrame {
            service: ServiceName::new(&frame.service)?,
            site: SiteName::new(&frame.site)?,
            message: GroupMessage::decode(&frame.message).map_err(|_| field("message"))?,
        })
    }
}

impl ControlMessage {
    /// Decodes the payload of a frame of kind `CONTROL`.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the bytes.
    pub fn decode(bytes: &[u8]) -> Decoded<Self> {
        let control: wire::Control = decode(bytes)?;
        match &control.body {
            Body::ask_configuration(ask) => Ok(ControlMessage::AskConfiguration { revision: Revision(ask.revision) }),
            Body::offer_configuration(offer) => offer_from_wire(offer),
            body => {
                let service = ServiceName::new(&control.service)?;
                let site = SiteName::new(&control.site)?;
                let body = body_from_wire(body, &service, &site)?;
                Ok(ControlMessage::Group { service, site, body })
            }
        }
    }
}

fn offer_from_wire(offer: &wire::OfferConfiguration) -> Decoded<ControlMessage> {
    if offer.pages == 0 || offer.pages > MAXIMUM_PAGES || offer.page >= offer.pages {
        return Err(field("pages"));
    }
    let revision = Revision(offer.revision);
    let content = content_from_wire(offer)?;
    Ok(ControlMessage::OfferConfiguration { revision, content, page: offer.page, pages: offer.pages })
}

fn content_from_wire(offer: &wire::OfferConfiguration) -> Decoded<ConfigurationContent> {
    if offer.configuration.is_empty() {
        return Ok(ConfigurationContent::Nothing);
    }
    let configuration: Configuration = serde_json::from_slice(&offer.configuration)?;
    if configuration.revision.0 != offer.revision {
        return Err(field("revision"));
    }
    if offer.base == 0 {
        return Ok(ConfigurationContent::Whole(Arc::new(configuration)));
    }
    Ok(ConfigurationContent::Difference {
        base: Revision(offer.base),
        changed: Arc::new(configuration),
        removed: serde_json::from_slice(&offer.removed)?,
    })
}

fn body_from_wire(body: &Body, service: &ServiceName, site: &SiteName) -> Decoded<GroupBody> {
    Ok(match body {
        Body::ask_table(ask) => GroupBody::AskTable { generation: Generation(ask.generation), epoch: Epoch(ask.epoch) },
        Body::table(table) => GroupBody::Table {
            table: Arc::new(table_from_wire(table, service, site)?),
            retries: table.retries.iter().map(limits_from_wire).collect::<Decoded<_>>()?,
        },
        Body::heartbeat(heartbeat) => GroupBody::Heartbeat(heartbeat_from_wire(heartbeat)?),
        Body::heartbeat_answer(answer) => GroupBody::HeartbeatAnswer {
            sequence: answer.sequence,
            lease: Duration::from_millis(u64::from(answer.lease_milliseconds)),
            generation: Generation(answer.generation),
            epoch: Epoch(answer.epoch),
        },
        Body::not_leader(answer) => {
            GroupBody::NotLeader { leader: answer.leader.as_ref().map(run_from_wire).transpose()? }
        }
        Body::slot_imported(opened) => {
            GroupBody::SlotImported { slot: slot_from_wire(opened.slot)?, epoch: Epoch(opened.epoch) }
        }
        Body::voters_settled(settled) => GroupBody::VotersSettled { epoch: Epoch(settled.epoch) },
        Body::settled_known(settled) => GroupBody::SettledKnown { epoch: Epoch(settled.epoch) },
        Body::export_slot(export) => {
            GroupBody::Export { slot: slot_from_wire(export.slot)?, epoch: Epoch(export.epoch) }
        }
        Body::exported(claims) => GroupBody::Exported(claims_from_wire(claims)?),
        Body::import_slot(claims) => GroupBody::Import(claims_from_wire(claims)?),
        Body::set_retries(set) => GroupBody::SetRetries {
            plan: PlanId::new(&set.plan)?,
            limits: limits_from_wire(set.limits.as_ref().ok_or(field("limits"))?)?,
        },
        Body::set_retries_answer(answer) => GroupBody::SetRetriesAnswer {
            plan: PlanId::new(&answer.plan)?,
            limits: limits_from_wire(answer.limits.as_ref().ok_or(field("limits"))?)?,
        },
        Body::request(request) => {
            GroupBody::Request { number: request.number, request: serde_json::from_slice(&request.body)? }
        }
        Body::reply(reply) => GroupBody::Reply { number: reply.number, reply: serde_json::from_slice(&reply.body)? },
        between_sites => transfer_from_wire(between_sites)?,
    })
}

fn transfer_from_wire(body: &Body) -> Decoded<GroupBody> {
    Ok(match body {
        Body::probe(probe) => GroupBody::Probe { from: SiteName::new(&probe.from)?, asked: Timestamp(probe.asked) },
        Body::probe_answer(answer) => GroupBody::ProbeAnswer(readiness_from_wire(answer)?),
        Body::offer(offer) => GroupBody::Offer {
            from: SiteName::new(&offer.from)?,
            claims: claims_from_wire(offer.claims.as_ref().ok_or(field("claims"))?)?,
        },
        Body::withdraw(withdraw) => GroupBody::Withdraw {
            from: SiteName::new(&withdraw.from)?,
            slot: slot_from_wire(withdraw.slot)?,
            seal_epoch: Epoch(withdraw.seal_epoch),
        },
        Body::offer_answer(answer) => GroupBody::OfferAnswer {
            slot: slot_from_wire(answer.slot)?,
            seal_epoch: Epoch(answer.seal_epoch),
            outcome: outcome_from_wire(answer)?,
        },
        Body::return_slots(back) => {
            GroupBody::ReturnSlots { to: SiteName::new(&back.to)?, slots: returned_slots(back)? }
        }
        _ => return Err(field("body")),
    })
}

fn returned_slots(back: &wire::ReturnSlots) -> Decoded<Vec<(SlotId, Epoch)>> {
    if back.slots.len() != back.seal_epochs.len() {
        return Err(field("seal_epochs"));
    }
    let pair = |(slot, epoch): (&u32, &u64)| Ok((slot_from_wire(*slot)?, Epoch(*epoch)));
    back.slots.iter().zip(&back.seal_epochs).map(pair).collect()
}

fn outcome_from_wire(answer: &wire::OfferAnswer) -> Decoded<OfferOutcome> {
    // An answer that claims both must not be believed: one of the two could give the slot two owners.
    match (answer.refused, answer.accepted) {
        (true, 0) => Ok(OfferOutcome::Refused),
        (false, 0) => Ok(OfferOutcome::Held { pages: answer.pages }),
        (false, epoch) => Ok(OfferOutcome::Accepted { epoch: Epoch(epoch) }),
        (true, _) => Err(field("refused")),
    }
}

fn heartbeat_from_wire(heartbeat: &wire::Heartbeat) -> Decoded<Heartbeat> {
    Ok(Heartbeat {
        sequence: heartbeat.sequence,
        zone: ZoneName::new(&heartbeat.zone)?,
        connections: heartbeat.connections,
        leaving: heartbeat.leaving,
        idle: heartbeat.idle,
        load: load_from_wire(heartbeat.load.as_ref().ok_or(field("load"))?)?,
    })
}

fn claims_from_wire(claims: &wire::SlotClaims) -> Decoded<SlotClaims> {
    let size: usize = claims.claims.iter().map(Vec::len).sum();
    if size > 2 * MAXIMUM_PAGE_BYTES {
        return Err(field("claims"));
    }
    if claims.pages == 0 || claims.pages > MAXIMUM_PAGES || claims.page >= claims.pages {
        return Err(field("pages"));
    }
    Ok(SlotClaims {
        slot: slot_from_wire(claims.slot)?,
        epoch: Epoch(claims.epoch),
        page: claims.page,
        pages: claims.pages,
        claims: claims.claims.iter().cloned().map(EncodedClaim).collect(),
    })
}

fn readiness_from_wire(answer: &wire::ProbeAnswer) -> Decoded<Readiness> {
    let load = |target: &wire::TargetLoad| {
        let load = load_from_wire(target.load.as_ref().ok_or(field("load"))?)?;
        Ok((address_from_wire(&target.address)?, load))
    };
    Ok(Readiness {
        asked: Timestamp(answer.asked),
        epoch: Epoch(answer.epoch),
        serving: answer.serving,
        protected_refusals: answer.protected_refusals,
        plan: optional_plan_from_wire(&answer.plan)?,
        started: answer.started,
        loads: answer.loads.iter().map(load).collect::<Decoded<_>>()?,
    })
}

fn table_from_wire(table: &wire::Table, service: &ServiceName, site: &SiteName) -> Decoded<ServiceTable> {
    let slots = table.slots.iter().enumerate().map(|(number, slot)| assignment_from_wire(number, slot));
    let slots: Vec<_> = slots.collect::<Decoded<_>>()?;
    let epoch = Epoch(table.epoch);
    // A slot newer than its table, or sealed towards its own site, can only come from a broken sender.
    let consistent = slots.iter().all(|slot| match &slot.state {
        SlotState::Sealed { destination: other } | SlotState::Elsewhere { site: other } => other != site,
        SlotState::Owned { .. } | SlotState::Vacant => slot.epoch <= epoch,
    });
    if !consistent {
        return Err(field("slots"));
    }
    Ok(ServiceTable {
        service: service.clone(),
        site: site.clone(),
        generation: Generation(table.generation),
        epoch,
        slots,
        gates: table.gates.iter().map(gate_from_wire).collect::<Decoded<_>>()?,
        voters: runs_from_wire(&table.voters)?,
        previous_voters: runs_from_wire(&table.previous_voters)?,
        claims_lost: table.claims_lost,
    })
}
