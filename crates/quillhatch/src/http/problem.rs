//! Responses that a node generates itself when it refuses a call: status code, `Outcome`, `Retry-After` and a problem
//! document (RFC 9457).

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

/// The prefix of problem types; the refusal reason follows it.
const TYPE_PREFIX: &str = "urn:quillhatch:refusal:";

/// A problem document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The problem type: `urn:quillhatch:refusal:` followed by the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// A summary for people.
    pub title: String,
    /// The status code of the response.
    pub status: u16,
    /// Whether the call ran, as far as this is known.
    pub outcome: Outcome,
    /// Why the call was refused.
    pub reason: RefusalReason,
    /// What is wrong with this particular request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// The call's identifier in hexadecimal, with which an operator can query why it was refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub call: Option<String>,
}

/// A refusal with the status code and details to send to the caller.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{refusal}")]
pub struct Rejection {
    /// The refusal.
    pub refusal: Refusal,
    /// The status code.
    pub status: StatusCode,
    /// What is wrong with this particular request.
    pub detail: Option<String>,
    /// The call, if the request was refused after it got an identifier.
    pub call: Option<CallId>,
}

impl Rejection {
    /// Rejects a request that was not run, with `status` instead of the default status of `reason`.
    pub fn not_run(status: StatusCode, reason: RefusalReason, detail: impl Into<String>) -> Self {
        Rejection { refusal: Refusal::not_run(reason), status, detail: Some(detail.into()), call: None }
    }

    /// Rejects a malformed request.
    pub fn bad_request(detail: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, RefusalReason::BadRequest, detail)
    }

    /// Creates the response for the caller.
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

/// The default status code of a refusal.
///
/// Many clients automatically retry after 503, so a call that may have run is never answered with it.
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

/// Adds the header field with the gate's refusal, which the edge reads, to `headers`.
pub fn write_refusal(headers: &mut HeaderMap, refusal: &Refusal) {
    let retry_after = refusal.retry_after.map_or(0, |after| after.as_millis());
    let text = format!("{} {} {retry_after}", refusal.outcome, refusal.reason);
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(REFUSAL, value);
    }
}

/// Reads the gate's refusal; `None` if there is none. A refusal that this release does not understand is returned with
/// an unknown outcome.
pub fn read_refusal(headers: &HeaderMap) -> Option<Refusal> {
    let text = headers.get(REFUSAL)?;
    let parsed = text.to_str().ok().and_then(parse_refusal);
    // A newer gate may send a reason that is not known here, and it is then also unknown whether the call ran.
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

/// Rounds up to whole seconds for `Retry-After`; rounding down would make callers retry too early.
fn whole_seconds(duration: Duration) -> u64 {
    let seconds = duration.as_millis().div_ceil(1_000);
    u64::try_from(seconds).unwrap_or(u64::MAX).max(1)
}
