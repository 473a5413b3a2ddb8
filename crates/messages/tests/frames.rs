//! Frames between nodes: which are accepted and which are rejected.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillhatch_messages::{
    FleetKey, FleetKeys, FrameError, FrameOpener, FrameSealer, KeyId, KeySetError, Payload, PayloadKind,
    MAX_FRAME_BYTES, MAX_PAYLOAD_BYTES,
};
use quillhatch_types::{DeploymentName, Incarnation, NodeAddress, NodeId, Revision, ServiceName};
use test_case::test_case;

fn node(port: u16, incarnation: u64) -> NodeId {
    NodeId { address: NodeAddress(([127, 0, 0, 1], port).into()), incarnation: Incarnation(incarnation) }
}

fn key(id: u32) -> FleetKey {
    FleetKey { id: KeyId(id), secret: vec![id as u8; 32] }
}

fn keys(accepted: &[u32], sending: u32) -> FleetKeys {
    FleetKeys::new(accepted.iter().map(|id| key(*id)).collect(), KeyId(sending)).unwrap()
}

fn deployment(name: &str) -> DeploymentName {
    DeploymentName::new(name).unwrap()
}

fn payload(bytes: Vec<u8>) -> Payload {
    Payload { kind: PayloadKind::Group, service: Some(ServiceName::new("giving").unwrap()), bytes }
}

fn seal(sealer: &mut FrameSealer, receiver: NodeId) -> Vec<u8> {
    sealer.seal(receiver.address, Some(receiver.incarnation), payload(vec![1, 2, 3]), Revision(7), None).unwrap()
}

const SENDER: u16 = 1001;
const RECEIVER: u16 = 1002;

fn sealer(sending: u32) -> FrameSealer {
    FrameSealer::new(node(SENDER, 5), deployment("fleet"), keys(&[1, 2], sending))
}

fn opener(accepted: &[u32]) -> FrameOpener {
    FrameOpener::new(node(RECEIVER, 6), deployment("fleet"), keys(accepted, accepted[0]))
}

#[test]
fn an_opened_frame_has_the_sealed_content() {
    let opened = opener(&[1]).open(&seal(&mut sealer(1), node(RECEIVER, 6))).unwrap();
    assert_eq!(opened.sender, node(SENDER, 5));
    assert_eq!(opened.revision, Revision(7));
    assert_eq!(opened.payload, payload(vec![1, 2, 3]));
}

#[test]
fn keys_are_rotated_without_a_rejected_frame() {
    let mut opener = opener(&[1, 2]);
    let mut sealer = sealer(1);
    assert!(opener.open(&seal(&mut sealer, node(RECEIVER, 6))).is_ok());
    sealer.set_keys(keys(&[1, 2], 2));
    assert!(opener.open(&seal(&mut sealer, node(RECEIVER, 6))).is_ok());
    opener.set_keys(keys(&[2], 2));
    sealer.set_keys(keys(&[1], 1));
    assert_eq!(opener.open(&seal(&mut sealer, node(RECEIVER, 6))), Err(FrameError::UnknownKey { key: KeyId(1) }));
}

#[test]
fn a_frame_is_accepted_once() {
    let frame = seal(&mut sealer(1), node(RECEIVER, 6));
    let mut opener = opener(&[1]);
    assert!(opener.open(&frame).is_ok());
    assert_eq!(opener.open(&frame), Err(FrameError::Replayed { sender: node(SENDER, 5) }));
}

#[test]
fn frames_out_of_order_are_accepted_within_the_window() {
    let mut sealer = sealer(1);
    let frames: Vec<Vec<u8>> = (0..100).map(|_| seal(&mut sealer, node(RECEIVER, 6))).collect();
    let mut opener = opener(&[1]);
    assert!(opener.open(&frames[99]).is_ok());
    assert!(opener.open(&frames[50]).is_ok());
    assert!(opener.open(&frames[50]).is_err());
    assert!(opener.open(&frames[10]).is_err(), "below the window: unknown whether it was received");
}

#[test_case(node(RECEIVER, 7) => FrameError::WrongReceiver; "another incarnation of the receiver")]
#[test_case(node(1003, 6) => FrameError::WrongReceiver; "another node")]
fn a_frame_for_another_receiver_is_rejected(receiver: NodeId) -> FrameError {
    opener(&[1]).open(&seal(&mut sealer(1), receiver)).unwrap_err()
}

#[test]
fn a_frame_of_another_deployment_is_rejected() {
    let mut sealer = FrameSealer::new(node(SENDER, 5), deployment("other"), keys(&[1], 1));
    let error = opener(&[1]).open(&seal(&mut sealer, node(RECEIVER, 6))).unwrap_err();
    assert_eq!(error, FrameError::ForeignDeployment);
}

#[test]
fn a_different_secret_under_a_known_key_number_is_rejected() {
    let forged_keys = FleetKeys::new(vec![FleetKey { id: KeyId(1), secret: vec![9; 32] }], KeyId(1)).unwrap();
    let mut sealer = FrameSealer::new(node(SENDER, 5), deployment("fleet"), forged_keys);
    assert_eq!(opener(&[1]).open(&seal(&mut sealer, node(RECEIVER, 6))), Err(FrameError::WrongTag));
}

#[test]
fn sizes_are_limited_when_sealing_and_opening() {
    let receiver = node(RECEIVER, 6);
    let oversized = payload(vec![0; MAX_PAYLOAD_BYTES + 1]);
    assert!(matches!(
        sealer(1).seal(receiver.address, None, oversized, Revision(1), None),
        Err(FrameError::Oversized { .. })
    ));
    let largest = payload(vec![0; MAX_PAYLOAD_BYTES]);
    let frame = sealer(1).seal(receiver.address, None, largest, Revision(1), None).unwrap();
    assert!(opener(&[1]).open(&frame).is_ok());
    assert!(matches!(opener(&[1]).open(&vec![0; MAX_FRAME_BYTES + 1]), Err(FrameError::Oversized { .. })));
}

#[test]
fn invalid_key_sets_are_rejected() {
    assert_eq!(FleetKeys::new(vec![key(1)], KeyId(2)).unwrap_err(), KeySetError::SendingKeyMissing { id: KeyId(2) });
    let short = FleetKey { id: KeyId(3), secret: vec![1; 31] };
    assert_eq!(FleetKeys::new(vec![short], KeyId(3)).unwrap_err(), KeySetError::SecretTooShort { id: KeyId(3) });
}

proptest! {
    #![proptest_config(Config { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Config::default() })]

    #[test]
    fn arbitrary_bytes_are_never_accepted(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(opener(&[1]).open(&bytes).is_err());
        let _ = quillhatch_messages::decode::<quillhatch_messages::generated::frame::Envelope>(&bytes);
    }

    #[test]
    fn a_modified_or_truncated_frame_is_rejected(
        position in any::<prop::sample::Index>(),
        bit in 0u8..8,
        truncate in any::<bool>(),
    ) {
        let mut frame = seal(&mut sealer(1), node(RECEIVER, 6));
        let position = position.index(frame.len());
        if truncate {
            frame.truncate(position);
        } else {
            frame[position] ^= 1 << bit;
        }
        prop_assert!(opener(&[1]).open(&frame).is_err());
    }
}

/// The length of a nested field exceeds its message, on which the reader of quick-protobuf panics.
#[test]
fn a_nested_length_beyond_its_message_is_malformed() {
    use quillhatch_messages::generated::frame::Envelope;
    let bytes = [1, 90, 0, 0, 0, 0, 0];
    assert!(quillhatch_messages::decode::<Envelope>(&bytes).is_err());
}
