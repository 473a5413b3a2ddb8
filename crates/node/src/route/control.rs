//! Routing of the outputs of control and membership.

use std::sync::Arc;

use quillhatch_calls::edge::EdgeInput;
use quillhatch_calls::gate::GateInput;
use quillhatch_claims::{decode_claims, OwnerInput, VoterSettings};
use quillhatch_control::io::{EncodedClaim, MemberChange as ControlMember, MemberStatus as ControlStatus, Recipient};
use quillhatch_control::{ControlInput, ControlOutput};
use quillhatch_membership::{MemberChange, MemberStatus, MembershipInput, MembershipOutput};
use quillhatch_messages::{Payload, PayloadKind};
use quillhatch_types::{Configuration, ServiceName, ServiceTable, Timestamp};

use crate::inbox::Inbox;
use crate::io::{NodeEvent, NodeOutput};
use crate::node::Node;

impl Node {
    pub(crate) fn step_control(
        &mut self,
        now: Timestamp,
        input: ControlInput,
        inbox: &mut Inbox,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let mut control_outputs = Vec::new();
        self.control.step(now, input, &mut control_outputs);
        for output in control_outputs {
            self.route_control(output, inbox, outputs);
        }
    }

    fn route_control(&mut self, output: ControlOutput, inbox: &mut Inbox, outputs: &mut Vec<NodeOutput>) {
        match output {
            ControlOutput::Send { to, payload } => {
                let incarnation = match to {
                    Recipient::Run(node) => Some(node.incarnation),
                    Recipient::Address(_) => None,
                };
                outputs.push(NodeOutput::Send { to: to.address(), incarnation, payload: payload.encode() });
            }
            ControlOutput::Operator { request, reply } => outputs.push(NodeOutput::Operator { request, reply }),
            ControlOutput::Table(table) => self.distribute_table(table, inbox),
            ControlOutput::Configuration(configuration) => self.distribute_configuration(configuration, inbox),
            ControlOutput::Lease { service, until } => {
                if self.is_own_service(&service) {
                    inbox.push(OwnerInput::Lease { until });
                }
            }
            ControlOutput::CloseGate { reason } => inbox.push(GateInput::Close { reason }),
            ControlOutput::OpenGate => inbox.push(GateInput::Open),
            ControlOutput::ExportSlot { service, slot, .. } => {
                if self.is_own_service(&service) {
                    inbox.push(OwnerInput::ExportSlot { slot });
                }
            }
            ControlOutput::ImportSlot { service, slot, epoch, claims } => {
                let claims =
                    claims.iter().map(|EncodedClaim(bytes)| decode_claims(bytes)).collect::<Result<Vec<_>, _>>();
                match claims {
                    Ok(claims) if self.is_own_service(&service) => {
                        let claims = claims.into_iter().flatten().collect();
                        inbox.push(OwnerInput::ImportSlot { slot, epoch, claims });
                    }
                    // A slot whose claims cannot be decoded stays sealed: opening it could execute a key twice.
                    _ => self.undecodable += 1,
                }
            }
            ControlOutput::Ready => outputs.push(NodeOutput::Ready),
            ControlOutput::ReadyToExit => {
                self.exiting = true;
                inbox.push(MembershipInput::Leave);
            }
            ControlOutput::Event(event) => outputs.push(NodeOutput::Event(NodeEvent::Control(event))),
        }
    }

    fn is_own_service(&self, service: &ServiceName) -> bool {
        self.gate.as_ref().is_some_and(|part| part.service == *service)
    }

    fn distribute_table(&mut self, table: Arc<ServiceTable>, inbox: &mut Inbox) {
        if table.site == self.options.site && self.is_own_service(&table.service) {
            self.set_gate_epoch(table.epoch);
            inbox.push(OwnerInput::Table(table.clone()));
        }
        inbox.push(EdgeInput::Table(table));
    }

    fn distribute_configuration(&mut self, configuration: Arc<Configuration>, inbox: &mut Inbox) {
        self.configuration = Some(configuration.clone());
        if let Some(part) = &mut self.gate {
            part.gate.set_revision(configuration.revision);
            inbox.push(GateInput::Configuration(configuration.clone()));
            if let Some(input) = part.claims.configure(&configuration) {
                inbox.push(input);
            }
        }
        for (service, voter) in &mut self.voters {
            if let Some(service) = configuration.services.get(service) {
                voter.set_settings(VoterSettings::from_configuration(service));
            }
        }
        inbox.push(EdgeInput::Configuration(configuration));
    }

    pub(crate) fn step_membership(
        &mut self,
        now: Timestamp,
        input: MembershipInput,
        inbox: &mut Inbox,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let mut membership_outputs = Vec::new();
        let leaving = input == MembershipInput::Leave;
        self.membership.step(now, input, &mut membership_outputs);
        for output in membership_outputs {
            match output {
                MembershipOutput::Send { to, message } => {
                    let payload = Payload { kind: PayloadKind::Membership, service: None, bytes: message.encode() };
                    outputs.push(NodeOutput::Send { to, incarnation: None, payload });
                }
                MembershipOutput::Changed(change) => report_member_change(change, inbox, outputs),
            }
        }
        // The messages to other members are output first, so that they do not detect the exit as a failure.
        if leaving && self.exiting {
            outputs.push(NodeOutput::ReadyToExit);
        }
    }
}

fn report_member_change(change: MemberChange, inbox: &mut Inbox, outputs: &mut Vec<NodeOutput>) {
    let node = change.member.node;
    let status = change.status;
    outputs.push(NodeOutput::Event(NodeEvent::Member { node, status }));
    inbox.push(EdgeInput::Suspicion { node: node.address, suspected: status != MemberStatus::Alive });
    inbox.push(ControlInput::Member(ControlMember {
        node,
        site: change.member.zone.site,
        zone: change.member.zone.zone,
        service: change.member.service,
        status: match status {
            MemberStatus::Alive => ControlStatus::Alive,
            MemberStatus::Suspected => ControlStatus::Suspected,
            MemberStatus::Failed => ControlStatus::Failed,
            MemberStatus::Left => ControlStatus::Left,
        },
    }));
}
