//! Builds and verifies the authenticated frames between nodes. Frames are not encrypted.
//!
//! A frame is `key number (4 bytes, big endian) | HMAC-SHA-256 tag (32 bytes) | envelope (protobuf)`. The key
//! number and the tag have a fixed layout, so that the envelope is authenticated before it is parsed.
//!
//! The tag covers the sender with its incarnation, the receiver, the deployment and a sequence number. An attacker
//! without the key can't forge a frame, and can't replay a recorded frame to the same incarnation of a node.

use std::collections::BTreeMap;

use quillhatch_types::{DeploymentName, Incarnation, NodeAddress, NodeId, Revision, ServiceName};

use crate::error::FrameError;
use crate::generated::frame::{Envelope, FrameNode};
use crate::key::{FleetKeys, KeyId};
use crate::payload::{Payload, PayloadKind};
use crate::replay::ReplayWindow;
use crate::version::{negotiate_version, ProtocolVersion, NEWEST_VERSION, OLDEST_VERSION};
use crate::wire::{decode, encode};

/// The maximum size of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 256 * 1024;

/// The maximum size of a frame, in bytes: the payload, and 4 KiB for the other fields.
pub const MAX_FRAME_BYTES: usize = MAX_PAYLOAD_BYTES + 4 * 1024;

const KEY_ID_BYTES: usize = 4;
const TAG_BYTES: usize = 32;

/// The maximum number of senders whose sequence numbers are tracked. When it is exceeded, the sender from which no
/// frame has been received for the longest time is evicted.
pub const MAX_SENDERS: usize = 32 * 1024;

/// Builds authenticated frames for other nodes.
#[derive(Debug)]
pub struct FrameSealer {
    node: NodeId,
    deployment: DeploymentName,
    keys: FleetKeys,
    /// The last sequence number that was sent to each receiver.
    last_sequences: BTreeMap<NodeAddress, u64>,
}

impl FrameSealer {
    /// Creates a sealer for frames sent by `node`.
    pub fn new(node: NodeId, deployment: DeploymentName, keys: FleetKeys) -> Self {
        FrameSealer { node, deployment, keys, last_sequences: BTreeMap::new() }
    }

    /// Replaces the keys, for key rotation.
    pub fn set_keys(&mut self, keys: FleetKeys) {
        self.keys = keys;
    }

    /// Builds a frame with `payload` for `receiver`. With an `incarnation` of `None`, any incarnation at the address
    /// accepts the frame.
    ///
    /// `peer_newest` is the newest protocol version that the receiver is known to support.
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
        let sequence = self.last_sequences.entry(receiver).or_insert(0);
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

/// The content of a frame that passed all checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenedFrame {
    /// The sender.
    pub sender: NodeId,
    /// The newest protocol version that the sender supports.
    pub sender_newest_version: ProtocolVersion,
    /// The configuration revision that the sender has in force.
    pub revision: Revision,
    /// The payload.
    pub payload: Payload,
}

/// Verifies frames from other nodes and decodes their envelopes.
#[derive(Debug)]
pub struct FrameOpener {
    node: NodeId,
    deployment: DeploymentName,
    keys: FleetKeys,
    senders: BTreeMap<NodeId, SenderState>,
    /// The number of sequence numbers checked so far; the logical clock for `SenderState::last_received`.
    checked_frames: u64,
}

#[derive(Debug, Default)]
struct SenderState {
    window: ReplayWindow,
    last_received: u64,
}

impl FrameOpener {
    /// Creates an opener for frames addressed to `node`.
    pub fn new(node: NodeId, deployment: DeploymentName, keys: FleetKeys) -> Self {
        FrameOpener { node, deployment, keys, senders: BTreeMap::new(), checked_frames: 0 }
    }

    /// Replaces the keys, for key rotation.
    pub fn set_keys(&mut self, keys: FleetKeys) {
        self.keys = keys;
    }

    /// Verifies a frame and decodes its envelope.
    ///
    /// # Errors
    ///
    /// Returns why the frame is rejected. A frame that is not authenticated does not change the state of the opener.
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
        let any_incarnation = receiver.incarnation.0 == 0;
        if receiver.address != self.node.address || !(any_incarnation || receiver.incarnation == self.node.incarnation)
        {
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
        self.checked_frames += 1;
        if !self.senders.contains_key(&sender) && self.senders.len() >= MAX_SENDERS {
            self.evict_least_recent_sender();
        }
        let state = self.senders.entry(sender).or_default();
        state.last_received = self.checked_frames;
        state.window.accept(sequence)
    }

    fn evict_least_recent_sender(&mut self) {
        let least_recent = self.senders.iter().min_by_key(|(_, state)| state.last_received).map(|(sender, _)| *sender);
        if let Some(sender) = least_recent {
            self.senders.remove(&sender);
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
