//! Makes one call of a load with its retries and checks the response.

use std::sync::Arc;
use std::time::Instant;

use futures::StreamExt;
use tokio::sync::mpsc::UnboundedSender;

use super::arrivals::PlannedCall;
use super::options::{LoadOptions, RequestKind, TrafficShare};
use super::summary::{CallEnd, CallReport};
use crate::backend::RunAnswer;
use crate::content::{ContentChecker, GeneratedFile};

const IDENTITY_HEADER: &str = "x-request-identity";
const OUTCOME_HEADER: &str = "outcome";
const NOT_RUN: &str = "not-run";

/// Makes one call and reports its result.
pub async fn call(
    client: reqwest::Client,
    options: Arc<LoadOptions>,
    planned: PlannedCall,
    planned_start: Instant,
    reports: UnboundedSender<CallReport>,
) {
    let share = &options.shares[planned.share];
    let identity = format!("{:x}-{}", options.seed, planned.number);
    let mut attempts = 0;
    let mut reported_not_run = true;
    let end = loop {
        let target = options.targets[(planned.number + attempts) as usize % options.targets.len()];
        let request = build_request(&client, target, share, &planned, &identity).timeout(options.timeout);
        let end = check_response(request.send().await, share, &planned, &identity).await;
        attempts += 1;
        reported_not_run &= matches!(&end, CallEnd::Refused { outcome: Some(outcome), .. } if outcome == NOT_RUN);
        let retryable = matches!(end, CallEnd::Refused { .. } | CallEnd::TimedOut);
        if !retryable || attempts > u64::from(options.retries) {
            break end;
        }
    };
    let report = CallReport {
        identity,
        share: planned.share,
        end,
        attempts,
        reported_not_run,
        latency: planned_start.elapsed(),
    };
    // The collector receives until all callers have ended.
    let _ = reports.send(report);
}

fn requested_file(bytes: u64, planned: &PlannedCall) -> GeneratedFile {
    GeneratedFile { seed: planned.random % 1_000, length: bytes }
}

fn build_request(
    client: &reqwest::Client,
    target: std::net::SocketAddr,
    share: &TrafficShare,
    planned: &PlannedCall,
    identity: &str,
) -> reqwest::RequestBuilder {
    let url = format!("http://{target}{}", share.path);
    let request = match &share.kind {
        RequestKind::Lookup => client.get(url),
        RequestKind::Keyed => client.post(url).header("Idempotency-Key", identity).body(identity.to_owned()),
        RequestKind::Download { bytes } => {
            let file = requested_file(*bytes, planned);
            client.get(format!("{url}/files/{}/{}", file.seed, file.length))
        }
    };
    request.header(IDENTITY_HEADER, identity)
}

async fn check_response(
    response: Result<reqwest::Response, reqwest::Error>,
    share: &TrafficShare,
    planned: &PlannedCall,
    identity: &str,
) -> CallEnd {
    let response = match response {
        Ok(response) => response,
        Err(error) if error.is_timeout() => return CallEnd::TimedOut,
        Err(error) => return CallEnd::Broken { what: error.to_string() },
    };
    if !response.status().is_success() {
        let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
        return CallEnd::Refused { status: response.status().as_u16(), outcome: header(OUTCOME_HEADER) };
    }
    match &share.kind {
        RequestKind::Download { bytes } => check_file(response, requested_file(*bytes, planned)).await,
        RequestKind::Lookup | RequestKind::Keyed => check_run(response, identity).await,
    }
}

async fn check_run(response: reqwest::Response, identity: &str) -> CallEnd {
    match response.json::<RunAnswer>().await {
        Ok(run) if run.identity == identity => CallEnd::Whole,
        Ok(run) => CallEnd::Foreign { identity: run.identity },
        Err(error) if error.is_timeout() => CallEnd::TimedOut,
        Err(error) => CallEnd::Broken { what: error.to_string() },
    }
}

async fn check_file(response: reqwest::Response, file: GeneratedFile) -> CallEnd {
    let mut checker = ContentChecker::new(file);
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        match chunk {
            Ok(chunk) => checker.update(&chunk),
            Err(error) if error.is_timeout() => return CallEnd::TimedOut,
            Err(error) => return CallEnd::Broken { what: error.to_string() },
        }
    }
    if checker.is_whole() {
        return CallEnd::Whole;
    }
    if checker.is_prefix() {
        return CallEnd::Partial;
    }
    CallEnd::Foreign { identity: "other content".to_owned() }
}
