//! Encodes and decodes messages about claims.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_messages::generated::claims as wire;
use quillhatch_messages::generated::claims::mod_ClaimMessage::OneOfbody;
use quillhatch_types::{
    Digest, Epoch, HeaderField, Incarnation, RecordedAnswer, RequestKey, RootId, ServiceName, SlotId,
};

use crate::claim::{recorded_size, ClaimEntry, ClaimOrigin, ClaimStatus};
use crate::error::ClaimMessageError;
use crate::message::{ClaimBody, ClaimMessage, RecordId, RecordKind, Verdict, MAX_ANSWER_BYTES, MAX_PAGE_CLAIMS};

/// The maximum size of an encoded message that is decoded, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

impl ClaimMessage {
    /// Encodes the message as the payload of a frame.
    pub fn encode(&self) -> Vec<u8> {
        quillhatch_messages::encode(&wire::ClaimMessage {
            service: self.service.as_str().to_owned(),
            slot: u32::from(self.slot.0),
            epoch: self.epoch.0,
            body: encode_body(&self.body),
        })
    }

    /// Decodes and validates a message.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` are malformed, exceed a limit or have an invalid field.
    pub fn decode(bytes: &[u8]) -> Result<Self, ClaimMessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(ClaimMessageError::Oversized);
        }
        let message: wire::ClaimMessage = quillhatch_messages::decode(bytes)?;
        let slot = u16::try_from(message.slot).map_err(|_| ClaimMessageError::OutOfRange { field: "slot" })?;
        Ok(ClaimMessage {
            service: ServiceName::new(&message.service)?,
            slot: SlotId(slot),
            epoch: Epoch(message.epoch),
            body: decode_body(message.body)?,
        })
    }
}

/// Encodes one page of claims for a transfer between sites; see [`pages_of`](crate::pages_of).
pub fn encode_claims(claims: &[ClaimEntry]) -> Vec<u8> {
    quillhatch_messages::encode(&wire::ClaimPage { claims: claims.iter().map(encode_entry).collect() })
}

/// Decodes and validates one page of claims.
///
/// # Errors
///
/// Returns an error if `bytes` are malformed, exceed a limit or have an invalid field.
pub fn decode_claims(bytes: &[u8]) -> Result<Vec<ClaimEntry>, ClaimMessageError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(ClaimMessageError::Oversized);
    }
    let page: wire::ClaimPage = quillhatch_messages::decode(bytes)?;
    decode_entries(page.claims)
}

fn encode_body(body: &ClaimBody) -> OneOfbody {
    match body {
        ClaimBody::Record { id, claims } => {
            let claims = claims.iter().map(encode_entry).collect();
            OneOfbody::record(wire::Record { id: Some(encode_id(id)), claims })
        }
        ClaimBody::RecordReply { id, verdict } => {
            let (verdict, promised) = encode_verdict(*verdict);
            OneOfbody::record_reply(wire::RecordReply { id: Some(encode_id(id)), verdict, promised })
        }
        ClaimBody::Collect { export, after } => {
            OneOfbody::collect(wire::Collect { export: *export, after: encode_key(after) })
        }
        ClaimBody::CollectReply { after, verdict, claims, more } => {
            let (verdict, promised) = encode_verdict(*verdict);
            let claims = claims.iter().map(encode_entry).collect();
            let after = encode_key(after);
            OneOfbody::collect_reply(wire::CollectReply { after, verdict, promised, claims, more: *more })
        }
        ClaimBody::Settled(entry) => OneOfbody::settled(encode_entry(entry)),
    }
}

fn decode_body(body: OneOfbody) -> Result<ClaimBody, ClaimMessageError> {
    Ok(match body {
        OneOfbody::record(record) => {
            ClaimBody::Record { id: decode_id(record.id)?, claims: decode_entries(record.claims)? }
        }
        OneOfbody::record_reply(reply) => {
            ClaimBody::RecordReply { id: decode_id(reply.id)?, verdict: decode_verdict(reply.verdict, reply.promised)? }
        }
        OneOfbody::collect(collect) => {
            ClaimBody::Collect { export: collect.export, after: decode_key(&collect.after)? }
        }
        OneOfbody::collect_reply(reply) => ClaimBody::CollectReply {
            after: decode_key(&reply.after)?,
            verdict: decode_verdict(reply.verdict, reply.promised)?,
            claims: decode_entries(reply.claims)?,
            more: reply.more,
        },
        OneOfbody::settled(entry) => ClaimBody::Settled(decode_entry(entry)?),
        OneOfbody::None => return Err(ClaimMessageError::Missing { field: "body" }),
    })
}

fn encode_id(id: &RecordId) -> wire::RecordId {
    let mut encoded = wire::RecordId::default();
    match id {
        RecordId::Claim { kind: RecordKind::New, origin } => encoded.new = Some(encode_origin(origin)),
        RecordId::Claim { kind: RecordKind::Settle, origin } => encoded.settle = Some(encode_origin(origin)),
        RecordId::Page { round, number, through } => {
            encoded.page = Some(wire::Page { round: round.0, number: *number, through: encode_key(through) });
        }
    }
    encoded
}

fn decode_id(id: Option<wire::RecordId>) -> Result<RecordId, ClaimMessageError> {
    let id = id.ok_or(ClaimMessageError::Missing { field: "id" })?;
    match (id.new, id.settle, id.page) {
        (Some(origin), None, None) => Ok(RecordId::Claim { kind: RecordKind::New, origin: decode_origin(&origin) }),
        (None, Some(origin), None) => Ok(RecordId::Claim { kind: RecordKind::Settle, origin: decode_origin(&origin) }),
        (None, None, Some(page)) => {
            let through = decode_key(&page.through)?;
            Ok(RecordId::Page { round: Epoch(page.round), number: page.number, through })
        }
        _ => Err(ClaimMessageError::OutOfRange { field: "id" }),
    }
}

fn encode_verdict(verdict: Verdict) -> (wire::Verdict, u64) {
    match verdict {
        Verdict::Accepted => (wire::Verdict::ACCEPTED, 0),
        Verdict::Fenced { promised } => (wire::Verdict::FENCED, promised.0),
        Verdict::Full => (wire::Verdict::FULL, 0),
    }
}

fn decode_verdict(verdict: wire::Verdict, promised: u64) -> Result<Verdict, ClaimMessageError> {
    match verdict {
        wire::Verdict::ACCEPTED => Ok(Verdict::Accepted),
        wire::Verdict::FENCED => Ok(Verdict::Fenced { promised: Epoch(promised) }),
        wire::Verdict::FULL => Ok(Verdict::Full),
        wire::Verdict::VERDICT_UNKNOWN => Err(ClaimMessageError::Missing { field: "verdict" }),
    }
}

/// Encodes `None` as an empty string, because no valid key is empty.
fn encode_key(key: &Option<RequestKey>) -> String {
    key.as_ref().map_or_else(String::new, |key| key.as_str().to_owned())
}

fn decode_key(text: &str) -> Result<Option<RequestKey>, ClaimMessageError> {
    if text.is_empty() {
        return Ok(None);
    }
    Ok(Some(RequestKey::new(text)?))
}

fn encode_origin(origin: &ClaimOrigin) -> wire::Origin {
    wire::Origin { epoch: origin.epoch.0, sequence: origin.sequence, incarnation: origin.incarnation.0 }
}

fn decode_origin(origin: &wire::Origin) -> ClaimOrigin {
    ClaimOrigin { epoch: Epoch(origin.epoch), sequence: origin.sequence, incarnation: Incarnation(origin.incarnation) }
}

fn encode_entry(entry: &ClaimEntry) -> wire::Claim {
    let (status, answer) = match &entry.status {
        ClaimStatus::Claimed => (wire::Status::CLAIMED, None),
        ClaimStatus::Released => (wire::Status::RELEASED, None),
        ClaimStatus::Finished(answer) => (wire::Status::FINISHED, answer.as_deref().map(encode_answer)),
    };
    wire::Claim {
        key: entry.key.as_str().to_owned(),
        origin: Some(encode_origin(&entry.origin)),
        digest: entry.digest.map_or_else(Vec::new, |digest| digest.0.to_be_bytes().to_vec()),
        root: entry.root.0.to_be_bytes().to_vec(),
        status,
        answer,
        kept_for_us: u64::try_from(entry.remaining_retention.as_micros()).unwrap_or(u64::MAX),
    }
}

fn decode_entries(entries: Vec<wire::Claim>) -> Result<Vec<ClaimEntry>, ClaimMessageError> {
    if entries.len() > MAX_PAGE_CLAIMS {
        return Err(ClaimMessageError::Oversized);
    }
    entries.into_iter().map(decode_entry).collect()
}

fn decode_entry(claim: wire::Claim) -> Result<ClaimEntry, ClaimMessageError> {
    let origin = claim.origin.ok_or(ClaimMessageError::Missing { field: "origin" })?;
    let digest = if claim.digest.is_empty() { None } else { Some(Digest(decode_u128(&claim.digest, "digest")?)) };
    let status = match (claim.status, claim.answer) {
        (wire::Status::CLAIMED, None) => ClaimStatus::Claimed,
        (wire::Status::RELEASED, None) => ClaimStatus::Released,
        (wire::Status::FINISHED, answer) => ClaimStatus::Finished(answer.map(decode_answer).transpose()?.map(Arc::new)),
        (wire::Status::STATUS_UNKNOWN, _) => return Err(ClaimMessageError::Missing { field: "status" }),
        _ => return Err(ClaimMessageError::OutOfRange { field: "answer" }),
    };
    Ok(ClaimEntry {
        key: RequestKey::new(&claim.key)?,
        origin: decode_origin(&origin),
        digest,
        root: RootId(decode_u128(&claim.root, "root")?),
        status,
        remaining_retention: Duration::from_micros(claim.kept_for_us),
    })
}

fn decode_u128(bytes: &[u8], field: &'static str) -> Result<u128, ClaimMessageError> {
    let bytes = <[u8; 16]>::try_from(bytes).map_err(|_| ClaimMessageError::OutOfRange { field })?;
    Ok(u128::from_be_bytes(bytes))
}

fn encode_answer(answer: &RecordedAnswer) -> wire::Answer {
    let field = |field: &HeaderField| wire::AnswerField { name: field.name.clone(), value: field.value.clone() };
    wire::Answer {
        status: u32::from(answer.status),
        headers: answer.headers.iter().map(field).collect(),
        body: answer.body.clone(),
    }
}

fn decode_answer(answer: wire::Answer) -> Result<RecordedAnswer, ClaimMessageError> {
    let status = u16::try_from(answer.status).map_err(|_| ClaimMessageError::OutOfRange { field: "answer status" })?;
    let headers = answer.headers.into_iter().map(|field| HeaderField { name: field.name, value: field.value });
    let answer = RecordedAnswer { status, headers: headers.collect(), body: answer.body };
    if recorded_size(&answer) > MAX_ANSWER_BYTES {
        return Err(ClaimMessageError::Oversized);
    }
    Ok(answer)
}
