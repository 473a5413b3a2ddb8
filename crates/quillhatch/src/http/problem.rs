//! Answers in the place of a back end: status code, `Outcome`, `Retry-After` and a problem document (RFC 9457).

use std::time::Duration;

use derive_more::{Display, Error};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use quillhatch_types::{CallId, Outcome, Refusal, RefusalReason};
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::headers::{OUTCOME, REFUSAL};
use super::{body, Answer};

#[cfg(test)]
mod tests;

/// The media type of problem documents.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// The prefix of the problem types; the reason follows.
const TYPE_PREFIX: &str = "urn:quillhatch:refusal:";

/// A problem document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Which problem it is; `urn:quillhatch:refusal:` and the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// What it means, for people.
    pub title: String,
    /// The status code of the answer.
    pub status: u16,
    /// What is known of whether the call ran.
    pub outcome: Outcome,
    /// Why the back end did not answer.
    pub reason: RefusalReason,
    /// What is wrong with this request in particular.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// The call, in hexadecimal, for an operator's question why it was refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub call: Option<String>,
}

/// A refusal with the status code and the words that the caller gets.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{refusal}")]
pub struct Rejection {
    /// The refusal.
    pub refusal: Refusal,
    /// The status code.
    pub status: StatusCode,
    /// What is wrong with this request in particular.
    pub detail: Option<String>,
    /// The call, if it came so far as to have a number.
    pub call: Option<CallId>,
}

impl Rejection {
    /// The request is refused before anything was done, with `status` in place of the reason's own.
    pub fn not_run(status: StatusCode, reason: RefusalReason, detail: impl Into<String>) -> Self {
        Rejection { refusal: Refusal::not_run(reason), status, detail: Some(detail.into()), call: None }
    }

    /// The request is malformed.
    pub fn bad_request(detail: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, RefusalReason::BadRequest, detail)
    }

    /// The answer that a caller gets.
    pub fn answer(&self) -> Answer {
        let problem = Problem {
            kind: format!("{TYPE_PREFIX}{}", self.refusal.reason),
            title: title(&self.refusal),
            status: self.status.as_u16(),
            outcome: self.refusal.outcome,
            reason: self.refusal.reason,
            detail: self.detail.clone(),
            call: self.call.map(|call| call.to_string()),
        };
        let document = serde_json::to_vec(&problem).unwrap_or_default();
        let mut answer = Response::new(body::full(document.clone()));
        *answer.status_mut() = self.status;
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
        headers.insert(CONTENT_LENGTH, HeaderValue::from(document.len()));
        headers.insert(OUTCOME, HeaderValue::from_static(outcome_text(self.refusal.outcome)));
        if let Some(after) = self.refusal.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(after)));
        }
        answer
    }
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        Rejection { refusal, status: status_of(&refusal), detail: None, call: None }
    }
}

/// The status code of a refusal.
///
/// Many clients repeat a request on 503 without asking; a call that may have run therefore never gets it.
pub fn status_of(refusal: &Refusal) -> StatusCode {
    use RefusalReason as Reason;
    let status = match refusal.reason {
        Reason::Overloaded
        | Reason::QueueTimeout
        | Reason::Draining
        | Reason::Stopping
        | Reason::NotReady
        | Reason::NotOwner
        | Reason::SlotMoving
        | Reason::ClaimNotRecorded
        | Reason::ClaimStoreFull
        | Reason::ClaimsLost
        | Reason::RetriesExhausted
        | Reason::NoTarget
        | Reason::ConnectFailed
        | Reason::Cancelled => StatusCode::SERVICE_UNAVAILABLE,
        Reason::DeadlineTooShort | Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Reason::KeyInProgress | Reason::AnswerNotKept => StatusCode::CONFLICT,
        Reason::KeyConflict => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::CallerRate => StatusCode::TOO_MANY_REQUESTS,
        Reason::ConnectionLost | Reason::AnswerBroken => StatusCode::BAD_GATEWAY,
        Reason::TooDeep => StatusCode::LOOP_DETECTED,
        Reason::NoRoute => StatusCode::NOT_FOUND,
        Reason::BadRequest => StatusCode::BAD_REQUEST,
    };
    if status == StatusCode::SERVICE_UNAVAILABLE && refusal.outcome != Outcome::NotRun {
        return StatusCode::BAD_GATEWAY;
    }
    status
}

/// Writes a gate's own refusal for the edge into `headers`.
pub fn write_refusal(headers: &mut HeaderMap, refusal: &Refusal) {
    let retry_after = refusal.retry_after.map_or(0, |after| after.as_millis());
    let text = format!("{} {} {retry_after}", refusal.outcome, refusal.reason);
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(REFUSAL, value);
    }
}

/// Reads a gate's own refusal; `None` if there is none, and `unknown` if this release does not know the words.
pub fn read_refusal(headers: &HeaderMap) -> Option<Refusal> {
    let text = headers.get(REFUSAL)?;
    let parsed = text.to_str().ok().and_then(parse_refusal);
    // A newer gate may have a reason that is not known here. What it proves is not known either.
    Some(parsed.unwrap_or_else(|| Refusal::unknown(RefusalReason::ConnectionLost)))
}

fn parse_refusal(text: &str) -> Option<Refusal> {
    let mut words = text.split(' ');
    let outcome = parse_word(words.next()?)?;
    let reason = parse_word(words.next()?)?;
    let milliseconds: u64 = words.next()?.parse().ok()?;
    let retry_after = (milliseconds > 0).then(|| Duration::from_millis(milliseconds));
    Some(Refusal { outcome, reason, retry_after })
}

fn parse_word<T: DeserializeOwned>(word: &str) -> Option<T> {
    serde_json::from_value(serde_json::Value::from(word)).ok()
}

fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
        Outcome::Failed => "failed",
    }
}

fn title(refusal: &Refusal) -> String {
    let outcome = match refusal.outcome {
        Outcome::NotRun => "The request was not run",
        Outcome::Unknown => "The request may have run",
        Outcome::Failed => "The request ran, and its answer could not be delivered whole",
    };
    format!("{outcome}: {}", refusal.reason)
}

/// `Retry-After` counts whole seconds; rounding down would ask callers back too early.
fn whole_seconds(span: Duration) -> u64 {
    let seconds = span.as_millis().div_ceil(1_000);
    u64::try_from(seconds).unwrap_or(u64::MAX).max(1)
}
