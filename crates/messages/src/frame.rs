//! Builds and checks the authenticated frames between nodes.
//!
//! A frame is `key number (4 bytes, big endian) | HMAC-SHA-256 tag (32 bytes) | envelope (protobuf)`. The outer part has a
//! fixed layout so that nothing is parsed before it is authenticated.
//!
//! A frame is bound to its sender's run, its receiver, its deployment and a sequence number, so that a stranger cannot
//! forge one, and a recorded one cannot be played again to the same run of a node.

use std::collections::BTreeMap;

use quillhatch_types::{DeploymentName, Incarnation, NodeAddress, NodeId, Revision, ServiceName};

use crate::error::FrameError;
use crate::generated::frame::{Envelope, FrameNode};
use crate::key::{FleetKeys, KeyId};
use crate::payload::{Payload, PayloadKind};
use crate::replay::ReplayWindow;
use crate::version::{negotiate_version, ProtocolVersion, NEWEST_VERSION, OLDEST_VERSION};
use crate::wire::{decode, encode};

/// The largest payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 256 * 1024;

/// The largest frame, in bytes: the payload and room for the envelope around it.
pub const MAX_FRAME_BYTES: usize = MAX_PAYLOAD_BYTES + 4 * 1024;

const KEY_ID_BYTES: usize = 4;
const TAG_BYTES: usize = 32;

/// The number of senders whose sequence numbers are remembered; beyond it the sender heard least recently is dropped.
pub const MAX_SENDERS: usize = 32 * 1024;

/// Seals payloads into frames for other nodes.
#[derive(Debug)]
pub struct FrameSealer {
    node: NodeId,
    deployment: DeploymentName,
    keys: FleetKeys,
    sequences: BTreeMap<NodeAddress, u64>,
}

impl FrameSealer {
    /// A sealer for the run `node` of a deployment.
    pub fn new(node: NodeId, deployment: DeploymentName, keys: FleetKeys) -> Self {
        FrameSealer { node, deployment, keys, sequences: BTreeMap::new() }
    }

    /// Replaces the keys, as a rotation does.
    pub fn set_keys(&mut self, keys: FleetKeys) {
        self.keys = keys;
    }

    /// Seals `payload` for `receiver`; an `incarnation` of `None` reaches any run at the address.
    ///
    /// `peer_newest` is the newest version that the receiver is known to read.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Oversized`] if the payload is larger than [`MAX_PAYLOAD_BYTES`].
    pub fn seal(
        &mut self,
        receiver: NodeAddress,
        incarnation: Option<Incarnation>,
        payload: Payload,
        revision: Revision,
        peer_newest: Option<ProtocolVersion>,
    ) -> Result<Vec<u8>, FrameError> {
        if payload.bytes.len() > MAX_PAYLOAD_BYTES {
            return Err(FrameError::Oversized { size: payload.bytes.len(), maximum: MAX_PAYLOAD_BYTES });
        }
        let sequence = self.sequences.entry(receiver).or_insert(0);
        *sequence += 1;
        let envelope = Envelope {
            version: negotiate_version(peer_newest).0,
            newest: NEWEST_VERSION.0,
            sender: Some(node_to_wire(self.node)),
            receiver: Some(FrameNode {
                address: receiver.to_string(),
                incarnation: incarnation.map_or(0, |incarnation| incarnation.0),
            }),
            deployment: self.deployment.as_str().to_owned(),
            sequence: *sequence,
            kind: payload.kind.to_wire(),
            service: payload.service.map(String::from).unwrap_or_default(),
            revision: revision.0,
            payload: payload.bytes,
        };
        let envelope = encode(&envelope);
        let mut frame = Vec::with_capacity(KEY_ID_BYTES + TAG_BYTES + envelope.len());
        frame.extend_from_slice(&self.keys.sending_key_id().0.to_be_bytes());
        frame.extend_from_slice(&self.keys.sign(&envelope));
        frame.extend_from_slice(&envelope);
        Ok(frame)
    }
}

/// A frame that passed every check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenedFrame {
    /// Who sent it.
    pub sender: NodeId,
    /// The newest version that the sender reads.
    pub sender_newest_version: ProtocolVersion,
    /// The configuration revision that the sender has in force.
    pub revision: Revision,
    /// What it carries.
    pub payload: Payload,
}

/// Checks frames from other nodes and opens them.
#[derive(Debug)]
pub struct FrameOpener {
    node: NodeId,
    deployment: DeploymentName,
    keys: FleetKeys,
    windows: BTreeMap<NodeId, SenderState>,
    clock: u64,
}

#[derive(Debug, Default)]
struct SenderState {
    window: ReplayWindow,
    heard: u64,
}

impl FrameOpener {
    /// An opener for the run `node` of a deployment.
    pub fn new(node: NodeId, deployment: DeploymentName, keys: FleetKeys) -> Self {
        FrameOpener { node, deployment, keys, windows: BTreeMap::new(), clock: 0 }
    }

    /// Replaces the keys, as a rotation does.
    pub fn set_keys(&mut self, keys: FleetKeys) {
        self.keys = keys;
    }

    /// Opens a frame.
    ///
    /// # Errors
    ///
    /// Returns why the frame is refused; nothing is remembered of a frame that was not authenticated.
    pub fn open(&mut self, bytes: &[u8]) -> Result<OpenedFrame, FrameError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::Oversized { size: bytes.len(), maximum: MAX_FRAME_BYTES });
        }
        let (key, rest) = bytes.split_first_chunk::<KEY_ID_BYTES>().ok_or(FrameError::Malformed)?;
        let (tag, envelope) = rest.split_first_chunk::<TAG_BYTES>().ok_or(FrameError::Malformed)?;
        let key = KeyId(u32::from_be_bytes(*key));
        match self.keys.verify(key, envelope, tag) {
            None => return Err(FrameError::UnknownKey { key }),
            Some(false) => return Err(FrameError::WrongTag),
            Some(true) => {}
        }
        let envelope: Envelope = decode(envelope).map_err(|_| FrameError::Malformed)?;
        self.open_envelope(envelope)
    }

    fn open_envelope(&mut self, envelope: Envelope) -> Result<OpenedFrame, FrameError> {
        if envelope.deployment != self.deployment.as_str() {
            return Err(FrameError::ForeignDeployment);
        }
        let receiver = node_from_wire(envelope.receiver.as_ref())?;
        let any_run = receiver.incarnation.0 == 0;
        if receiver.address != self.node.address || !(any_run || receiver.incarnation == self.node.incarnation) {
            return Err(FrameError::WrongReceiver);
        }
        let version = ProtocolVersion(envelope.version);
        if !(OLDEST_VERSION..=NEWEST_VERSION).contains(&version) {
            return Err(FrameError::UnsupportedVersion { version });
        }
        let sender = node_from_wire(envelope.sender.as_ref())?;
        if !self.accept_sequence(sender, envelope.sequence) {
            return Err(FrameError::Replayed { sender });
        }
        let kind = PayloadKind::from_wire(envelope.kind).ok_or(FrameError::UnknownKind)?;
        let service = match envelope.service.as_str() {
            "" => None,
            name => Some(ServiceName::new(name).map_err(|_| FrameError::Malformed)?),
        };
        Ok(OpenedFrame {
            sender,
            sender_newest_version: ProtocolVersion(envelope.newest),
            revision: Revision(envelope.revision),
            payload: Payload { kind, service, bytes: envelope.payload },
        })
    }

    fn accept_sequence(&mut self, sender: NodeId, sequence: u64) -> bool {
        self.clock += 1;
        if !self.windows.contains_key(&sender) && self.windows.len() >= MAX_SENDERS {
            self.forget_least_recent();
        }
        let state = self.windows.entry(sender).or_default();
        state.heard = self.clock;
        state.window.accept(sequence)
    }

    fn forget_least_recent(&mut self) {
        let least_recent = self.windows.iter().min_by_key(|(_, state)| state.heard).map(|(sender, _)| *sender);
        if let Some(sender) = least_recent {
            self.windows.remove(&sender);
        }
    }
}

fn node_to_wire(node: NodeId) -> FrameNode {
    FrameNode { address: node.address.to_string(), incarnation: node.incarnation.0 }
}

fn node_from_wire(node: Option<&FrameNode>) -> Result<NodeId, FrameError> {
    let node = node.ok_or(FrameError::Malformed)?;
    let address = node.address.parse().map_err(|_| FrameError::Malformed)?;
    Ok(NodeId { address: NodeAddress(address), incarnation: Incarnation(node.incarnation) })
}
