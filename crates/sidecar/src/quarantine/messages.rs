//! Encodes and decodes the messages between gates.

use std::time::Duration;

use quillhatch_mesh::quarantine::{CrashId, SignatureKey, SuspectRecord};
use quillhatch_messages::generated::quarantine as wire;

/// A message from the gate of a target of `service`.
pub(super) fn message(service: &str, suspects: &[SuspectRecord], cleared: &[SignatureKey]) -> wire::QuarantineMessage {
    wire::QuarantineMessage {
        service: service.to_owned(),
        suspects: suspects.iter().map(encode_record).collect(),
        cleared: cleared.iter().map(|key| key.0).collect(),
        asks: false,
    }
}

fn encode_record(record: &SuspectRecord) -> wire::SuspectRecord {
    wire::SuspectRecord {
        key: record.key.0,
        ends: record.crashes.iter().map(|crash| crash.0).collect(),
        age_ms: record.age.as_millis() as u64,
    }
}

/// Decodes a record.
pub(super) fn decode_record(record: &wire::SuspectRecord) -> SuspectRecord {
    SuspectRecord {
        key: SignatureKey(record.key),
        crashes: record.ends.iter().map(|crash| CrashId(*crash)).collect(),
        age: Duration::from_millis(record.age_ms),
    }
}
