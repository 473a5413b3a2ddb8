//! An HTTP client of the platform: `GET /configuration` with an `ETag`, and `GET /machines`.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use hyper::header::{HeaderValue, ETAG, IF_NONE_MATCH};
use hyper::StatusCode;
use quillhatch_control::io::Machine;
use quillhatch_settings::parse_configuration;
use quillhatch_types::{Configuration, Findings};

use super::{Platform, PlatformError};

/// The maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// A platform service reached over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    client: reqwest::Client,
    urls: Vec<String>,
    timeout: Duration,
    /// The entity tag of the last document and the result of checking it.
    cached: Option<(HeaderValue, Result<(), Findings>)>,
}

impl HttpPlatform {
    /// Creates a client of the platform at the base URLs `urls`, which are tried in order, each for up to `timeout`.
    pub fn new(client: reqwest::Client, urls: Vec<String>, timeout: Duration) -> Self {
        HttpPlatform { client, urls, timeout, cached: None }
    }

    /// Requests `path` from each base URL in order and returns the first response with status 200 or 304, and its URL.
    async fn get(&self, path: &str, cached_tag: Option<&HeaderValue>) -> Result<(String, Response), PlatformError> {
        let mut problem = "no address is configured".to_owned();
        for base in &self.urls {
            let url = format!("{base}{path}");
            match tokio::time::timeout(self.timeout, self.get_url(&url, cached_tag)).await {
                Ok(Ok(response)) => return Ok((url, response)),
                Ok(Err(PlatformError::Unreachable { problem: cause })) => problem = format!("{url}: {cause}"),
                Ok(Err(error)) => return Err(error),
                Err(_) => problem = format!("{url}: no complete response within {} ms", self.timeout.as_millis()),
            }
        }
        Err(PlatformError::Unreachable { problem })
    }

    async fn get_url(&self, url: &str, cached_tag: Option<&HeaderValue>) -> Result<Response, PlatformError> {
        let mut request = self.client.get(url);
        if let Some(tag) = cached_tag {
            request = request.header(IF_NONE_MATCH, tag);
        }
        let response = request.send().await.map_err(|error| unreachable_error(describe(&error)))?;
        let status = response.status();
        if status == StatusCode::NOT_MODIFIED && cached_tag.is_some() {
            return Ok(Response::NotModified);
        }
        if status != StatusCode::OK {
            return Err(unreachable_error(format!("status {status}")));
        }
        let tag = response.headers().get(ETAG).cloned();
        let body = read_bounded(response).await?;
        Ok(Response::Document { tag, body })
    }
}

enum Response {
    NotModified,
    Document { tag: Option<HeaderValue>, body: Vec<u8> },
}

async fn read_bounded(response: reqwest::Response) -> Result<Vec<u8>, PlatformError> {
    let mut body = Vec::new();
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|error| unreachable_error(describe(&error)))?;
        if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return Err(PlatformError::TooLarge { max_bytes: MAX_RESPONSE_BYTES });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

fn unreachable_error(problem: String) -> PlatformError {
    PlatformError::Unreachable { problem }
}

/// Describes the error without its details: addresses and port numbers in them would make every failure look like a change,
/// and changes are logged.
fn describe(error: &reqwest::Error) -> String {
    let kind = if error.is_connect() { "cannot connect" } else { "the response was incomplete" };
    kind.to_owned()
}

impl Platform for HttpPlatform {
    async fn configuration(&mut self) -> Result<Option<Arc<Configuration>>, PlatformError> {
        let cached_tag = self.cached.as_ref().map(|(tag, _)| tag.clone());
        let (url, response) = self.get("/configuration", cached_tag.as_ref()).await?;
        let (tag, body) = match response {
            Response::NotModified => return self.cached_result(),
            Response::Document { tag, body } => (tag, body),
        };
        let text = String::from_utf8_lossy(&body);
        let parsed = parse_configuration(&url, &text);
        let check_result = parsed.as_ref().map(|_| ()).map_err(Clone::clone);
        self.cached = tag.map(|tag| (tag, check_result));
        match parsed {
            Ok((configuration, _)) => Ok(Some(Arc::new(configuration))),
            Err(findings) => Err(PlatformError::RejectedConfiguration(findings)),
        }
    }

    async fn machines(&mut self) -> Result<Vec<Machine>, PlatformError> {
        let (_, response) = self.get("/machines", None).await?;
        match response {
            Response::NotModified => Ok(Vec::new()),
            Response::Document { body, .. } => serde_json::from_slice(&body)
                .map_err(|error| PlatformError::MalformedMachineList { problem: error.to_string() }),
        }
    }
}

impl HttpPlatform {
    fn cached_result(&self) -> Result<Option<Arc<Configuration>>, PlatformError> {
        match &self.cached {
            Some((_, Err(findings))) => Err(PlatformError::RejectedConfiguration(findings.clone())),
            _ => Ok(None),
        }
    }
}
