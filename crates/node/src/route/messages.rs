//! Routing of messages from other nodes, and of claim messages between the owner and voters of this node.

use quillhatch_claims::{ClaimMessage, ClaimRole, ClaimVoter, OwnerInput, VoterSettings};
use quillhatch_control::io::GroupFrame;
use quillhatch_control::message::ControlMessage;
use quillhatch_control::ControlInput;
use quillhatch_membership::{MembershipInput, MembershipMessage};
use quillhatch_messages::{Payload, PayloadKind};
use quillhatch_types::{NodeId, ServiceName, Timestamp};

use crate::inbox::Inbox;
use crate::io::{NodeEvent, NodeOutput};
use crate::node::Node;

impl Node {
    pub(crate) fn route_payload(
        &mut self,
        from: NodeId,
        payload: Payload,
        inbox: &mut Inbox,
        outputs: &mut Vec<NodeOutput>,
    ) {
        if self.try_route_payload(from, &payload, inbox).is_none() {
            self.undecodable += 1;
            outputs.push(NodeOutput::Event(NodeEvent::Undecodable { kind: payload.kind, sender: from }));
        }
    }

    fn try_route_payload(&mut self, from: NodeId, payload: &Payload, inbox: &mut Inbox) -> Option<()> {
        match payload.kind {
            PayloadKind::Membership => {
                let message = MembershipMessage::decode(&payload.bytes).ok()?;
                // The sender's record of itself must carry the node ID of the authenticated frame.
                (message.sender.info.node == from).then_some(())?;
                inbox.push(MembershipInput::Message(Box::new(message)));
            }
            PayloadKind::Control => {
                let message = Box::new(ControlMessage::decode(&payload.bytes).ok()?);
                inbox.push(ControlInput::Message { from, message });
            }
            PayloadKind::Group => {
                let frame = Box::new(GroupFrame::decode(&payload.bytes).ok()?);
                inbox.push(ControlInput::Group { from, frame });
            }
            PayloadKind::Claims => {
                let message = ClaimMessage::decode(&payload.bytes).ok()?;
                self.route_claim_message(from, message, inbox);
            }
        }
        Some(())
    }

    fn route_claim_message(&mut self, from: NodeId, message: ClaimMessage, inbox: &mut Inbox) {
        match message.role() {
            ClaimRole::Voter => inbox.push(crate::inbox::PartInput::Voter { from, message }),
            ClaimRole::Owner => {
                if self.gate.as_ref().is_some_and(|part| part.service == message.service) {
                    inbox.push(OwnerInput::Message { from, message });
                }
            }
        }
    }

    pub(crate) fn send_claim_message(
        &mut self,
        to: NodeId,
        message: ClaimMessage,
        inbox: &mut Inbox,
        outputs: &mut Vec<NodeOutput>,
    ) {
        if to == self.options.node {
            self.route_claim_message(to, message, inbox);
            return;
        }
        let payload =
            Payload { kind: PayloadKind::Claims, service: Some(message.service.clone()), bytes: message.encode() };
        outputs.push(NodeOutput::Send { to: to.address, incarnation: Some(to.incarnation), payload });
    }

    pub(crate) fn step_voter(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: ClaimMessage,
        inbox: &mut Inbox,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let mut replies = Vec::new();
        self.voter(&message.service.clone()).handle(now, from, message, &mut replies);
        for (to, reply) in replies {
            self.send_claim_message(to, reply, inbox, outputs);
        }
    }

    /// The voter of a service, created empty if missing. That is safe because owners address it by the incarnation that
    /// the group agreed on.
    fn voter(&mut self, service: &ServiceName) -> &mut ClaimVoter {
        let configured = self.configuration.as_ref().and_then(|configuration| configuration.services.get(service));
        let settings = configured.map(VoterSettings::from_configuration).unwrap_or_default();
        let mechanisms = self.options.mechanisms.claims;
        self.voters
            .entry(service.clone())
            .or_insert_with(|| ClaimVoter::with_mechanisms(service.clone(), settings, mechanisms))
    }
}
