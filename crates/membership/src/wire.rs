//! Conversion of membership messages to and from protobuf.

use quillhatch_messages::generated::membership as proto;
use quillhatch_messages::{decode, encode};
use quillhatch_types::{Incarnation, NodeAddress, NodeId, ServiceName, SiteName, ZoneName};

use crate::error::MessageError;
use crate::member::{MemberInfo, MemberRecord, MemberStatus, ZoneId};
use crate::message::{MembershipMessage, MessageBody, ZoneDigest, ZoneRecord};

const PING: u32 = 1;
const ACKNOWLEDGE: u32 = 2;
const PING_REQUEST: u32 = 3;
const SYNC_REQUEST: u32 = 4;
const SYNC_ANSWER: u32 = 5;

impl MembershipMessage {
    /// Encodes the message as protobuf bytes.
    pub fn encode(&self) -> Vec<u8> {
        let (kind, subject, digests) = match &self.body {
            MessageBody::Ping => (PING, None, Vec::new()),
            MessageBody::Acknowledge { subject } => (ACKNOWLEDGE, subject.as_ref().map(info_to_wire), Vec::new()),
            MessageBody::PingRequest { subject } => (PING_REQUEST, Some(info_to_wire(subject)), Vec::new()),
            MessageBody::SyncRequest { digests } => (SYNC_REQUEST, None, digests.iter().map(digest_to_wire).collect()),
            MessageBody::SyncAnswer => (SYNC_ANSWER, None, Vec::new()),
        };
        encode(&proto::MembershipMessage {
            kind,
            sequence: self.sequence,
            sender: Some(record_to_wire(&self.sender)),
            subject,
            members: self.members.iter().map(record_to_wire).collect(),
            zones: self.zones.iter().map(zone_to_wire).collect(),
            digests,
        })
    }

    /// Decodes a message from protobuf bytes.
    ///
    /// # Errors
    ///
    /// Returns an error for the first field that is not valid.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let message: proto::MembershipMessage = decode(bytes)?;
        let subject = message.subject.as_ref().map(info_from_wire).transpose()?;
        let body = match message.kind {
            PING => MessageBody::Ping,
            ACKNOWLEDGE => MessageBody::Acknowledge { subject },
            PING_REQUEST => {
                MessageBody::PingRequest { subject: subject.ok_or(MessageError::Field { field: "subject" })? }
            }
            SYNC_REQUEST => {
                let digests = message.digests.iter().map(digest_from_wire).collect::<Result<_, _>>()?;
                MessageBody::SyncRequest { digests }
            }
            SYNC_ANSWER => MessageBody::SyncAnswer,
            _ => return Err(MessageError::Field { field: "kind" }),
        };
        Ok(MembershipMessage {
            sequence: message.sequence,
            sender: record_from_wire(message.sender.as_ref().ok_or(MessageError::Field { field: "sender" })?)?,
            body,
            members: message.members.iter().map(record_from_wire).collect::<Result<_, _>>()?,
            zones: message.zones.iter().map(zone_from_wire).collect::<Result<_, _>>()?,
        })
    }
}

fn info_to_wire(info: &MemberInfo) -> proto::MemberRecord {
    proto::MemberRecord {
        address: info.node.address.to_string(),
        incarnation: info.node.incarnation.0,
        site: info.zone.site.as_str().to_owned(),
        zone: info.zone.zone.as_str().to_owned(),
        service: info.service.as_ref().map(|service| service.as_str().to_owned()).unwrap_or_default(),
        refutation: 0,
        status: status_to_wire(MemberStatus::Alive),
    }
}

fn record_to_wire(record: &MemberRecord) -> proto::MemberRecord {
    proto::MemberRecord {
        refutation: record.refutation,
        status: status_to_wire(record.status),
        ..info_to_wire(&record.info)
    }
}

fn info_from_wire(record: &proto::MemberRecord) -> Result<MemberInfo, MessageError> {
    let service = match record.service.as_str() {
        "" => None,
        name => Some(ServiceName::new(name)?),
    };
    Ok(MemberInfo {
        node: node_from_wire(&record.address, record.incarnation)?,
        zone: zone_id_from_wire(&record.site, &record.zone)?,
        service,
    })
}

fn record_from_wire(record: &proto::MemberRecord) -> Result<MemberRecord, MessageError> {
    Ok(MemberRecord {
        info: info_from_wire(record)?,
        refutation: record.refutation,
        status: status_from_wire(record.status)?,
    })
}

fn status_to_wire(status: MemberStatus) -> u32 {
    match status {
        MemberStatus::Alive => 1,
        MemberStatus::Suspected => 2,
        MemberStatus::Failed => 3,
        MemberStatus::Left => 4,
    }
}

fn status_from_wire(status: u32) -> Result<MemberStatus, MessageError> {
    match status {
        1 => Ok(MemberStatus::Alive),
        2 => Ok(MemberStatus::Suspected),
        3 => Ok(MemberStatus::Failed),
        4 => Ok(MemberStatus::Left),
        _ => Err(MessageError::Field { field: "status" }),
    }
}

fn zone_to_wire(record: &ZoneRecord) -> proto::ZoneRecord {
    proto::ZoneRecord {
        observer_address: record.observer.address.to_string(),
        observer_incarnation: record.observer.incarnation.0,
        site: record.zone.site.as_str().to_owned(),
        zone: record.zone.zone.as_str().to_owned(),
        version: record.version,
        reachable: record.reachable,
    }
}

fn zone_from_wire(record: &proto::ZoneRecord) -> Result<ZoneRecord, MessageError> {
    Ok(ZoneRecord {
        observer: node_from_wire(&record.observer_address, record.observer_incarnation)?,
        zone: zone_id_from_wire(&record.site, &record.zone)?,
        version: record.version,
        reachable: record.reachable,
    })
}

fn digest_to_wire(digest: &ZoneDigest) -> proto::ZoneDigest {
    proto::ZoneDigest {
        site: digest.zone.site.as_str().to_owned(),
        zone: digest.zone.zone.as_str().to_owned(),
        digest: digest.digest,
    }
}

fn digest_from_wire(digest: &proto::ZoneDigest) -> Result<ZoneDigest, MessageError> {
    Ok(ZoneDigest { zone: zone_id_from_wire(&digest.site, &digest.zone)?, digest: digest.digest })
}

fn zone_id_from_wire(site: &str, zone: &str) -> Result<ZoneId, MessageError> {
    Ok(ZoneId { site: SiteName::new(site)?, zone: ZoneName::new(zone)? })
}

fn node_from_wire(address: &str, incarnation: u64) -> Result<NodeId, MessageError> {
    let address = address.parse().map_err(|_| MessageError::Address)?;
    Ok(NodeId { address: NodeAddress(address), incarnation: Incarnation(incarnation) })
}
