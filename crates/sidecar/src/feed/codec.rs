//! Encodes and decodes the messages between replicas.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use quillhatch_mesh::configuration::Configuration;
use quillhatch_mesh::replica::{Change, Position, RevisedChange, Update, UpdateScope};
use quillhatch_mesh::targets::{parse_target_id, Registration, Target};
use quillhatch_messages::generated::replica as wire;
use quillhatch_platform::configuration::read_configuration;
use quillhatch_types::Timestamp;

/// Why an update from another node can't be decoded.
#[derive(Debug, Display)]
pub(super) enum MalformedUpdate {
    /// It has no position.
    #[display("no position")]
    NoPosition,
    /// A target's address can't be parsed.
    #[display("target {_0}: {_1:?} is not an IP address with a port")]
    Address(String, String),
    /// The configuration is invalid.
    #[display("configuration: {_0}")]
    Configuration(String),
}

pub(super) fn encode_position(position: Position) -> wire::Position {
    wire::Position { era: position.era, revision: position.revision }
}

pub(super) fn decode_position(position: &wire::Position) -> Position {
    Position { era: position.era, revision: position.revision }
}

pub(super) fn encode_update(update: &Update) -> wire::ReplicaUpdate {
    let mut message = wire::ReplicaUpdate {
        after: match update.scope {
            UpdateScope::Full => None,
            UpdateScope::After(position) => Some(encode_position(position)),
        },
        position: Some(encode_position(update.position)),
        ..Default::default()
    };
    for RevisedChange { revision, change } in &update.changes {
        let revision = *revision;
        match change {
            Change::Configuration(configuration) => {
                message.configuration = Some(encode_configuration(revision, configuration));
            }
            Change::Target(id, registration) => message.targets.push(encode_target(revision, id, registration)),
            Change::TargetRemoved(id) => message.gone.push(wire::GoneTarget { id: id.to_string(), revision }),
            // A replica never contains unusable entries.
            Change::UnusableConfiguration(_) | Change::UnusableTarget(..) => {}
        }
    }
    message
}

pub(super) fn encode_configuration(revision: u64, configuration: &Configuration) -> wire::ConfigurationDocument {
    wire::ConfigurationDocument { revision, document: configuration.document.0.to_vec() }
}

/// Encodes a target without a registration that is retained until `until`.
pub(super) fn encode_retained(target: &Target, until: Timestamp, now: Timestamp) -> wire::KeptTarget {
    let left_ms = u32::try_from(now.until(until).as_millis()).unwrap_or(u32::MAX);
    wire::KeptTarget { target: Some(encode_target(0, &target.id, &target.registration_at(now))), left_ms }
}

fn encode_target(revision: u64, id: &str, registration: &Registration) -> wire::RegisteredTarget {
    wire::RegisteredTarget {
        id: id.to_owned(),
        service: registration.service.to_string(),
        address: registration.address.to_string(),
        zone: registration.zone.to_string(),
        slots: registration.slots,
        draining: registration.draining,
        cold_ms: u32::try_from(registration.cold_for.as_millis()).unwrap_or(u32::MAX),
        started: registration.started,
        sequence: registration.sequence,
        revision,
    }
}

/// Decodes an update.
///
/// # Errors
///
/// Returns the first malformed part. No part of such an update should be used.
pub(super) fn decode_update(message: &wire::ReplicaUpdate) -> Result<Update, MalformedUpdate> {
    let position = message.position.as_ref().map(decode_position).ok_or(MalformedUpdate::NoPosition)?;
    let scope = message.after.as_ref().map_or(UpdateScope::Full, |after| UpdateScope::After(decode_position(after)));
    let mut changes = Vec::with_capacity(message.targets.len() + message.gone.len() + 1);
    if let Some(document) = &message.configuration {
        let change = Change::Configuration(decode_configuration(document)?);
        changes.push(RevisedChange { revision: document.revision, change });
    }
    // A node of an earlier version also sends names that can't be a target's. They say nothing about the others.
    for target in &message.targets {
        let Ok(id) = parse_target_id(&target.id) else { continue };
        changes.push(RevisedChange { revision: target.revision, change: Change::Target(id, decode_target(target)?) });
    }
    for gone in &message.gone {
        let Ok(id) = parse_target_id(&gone.id) else { continue };
        changes.push(RevisedChange { revision: gone.revision, change: Change::TargetRemoved(id) });
    }
    changes.sort_by_key(|revised| revised.revision);
    Ok(Update { scope, position, changes })
}

/// Decodes a configuration.
///
/// # Errors
///
/// Returns all errors in the document.
pub(super) fn decode_configuration(
    configuration: &wire::ConfigurationDocument,
) -> Result<Arc<Configuration>, MalformedUpdate> {
    let read = read_configuration(&configuration.document).map_err(|findings| {
        let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
        MalformedUpdate::Configuration(findings.join("; "))
    })?;
    Ok(Arc::new(read))
}

pub(super) fn decode_target(target: &wire::RegisteredTarget) -> Result<Registration, MalformedUpdate> {
    let malformed = |_| MalformedUpdate::Address(target.id.clone(), target.address.clone());
    Ok(Registration {
        service: Arc::from(target.service.as_str()),
        address: target.address.parse().map_err(malformed)?,
        zone: Arc::from(target.zone.as_str()),
        slots: target.slots,
        draining: target.draining,
        cold_for: Duration::from_millis(u64::from(target.cold_ms)),
        started: target.started,
        sequence: target.sequence,
    })
}
