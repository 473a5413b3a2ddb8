//! The platform over HTTP: `GET /configuration` with an `ETag`, and `GET /machines`.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use hyper::header::{HeaderValue, ETAG, IF_NONE_MATCH};
use hyper::StatusCode;
use quillhatch_control::io::Machine;
use quillhatch_settings::parse_configuration;
use quillhatch_types::{Configuration, Findings};

use super::{Platform, ReadError};

/// The largest answer that is read, in bytes.
const MAXIMUM_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A platform that is read over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    client: reqwest::Client,
    urls: Vec<String>,
    timeout: Duration,
    /// The tag and the verdict of the document read last.
    known: Option<(HeaderValue, Result<(), Findings>)>,
}

impl HttpPlatform {
    /// A platform at any of the base URLs `urls`, tried in order, each for up to `timeout`.
    pub fn new(client: reqwest::Client, urls: Vec<String>, timeout: Duration) -> Self {
        HttpPlatform { client, urls, timeout, known: None }
    }

    /// The first answer that is a success or "not modified".
    async fn get(&self, path: &str, known: Option<&HeaderValue>) -> Result<(String, Answer), ReadError> {
        let mut problem = "no address is configured".to_owned();
        for base in &self.urls {
            let url = format!("{base}{path}");
            match tokio::time::timeout(self.timeout, self.get_one(&url, known)).await {
                Ok(Ok(answer)) => return Ok((url, answer)),
                Ok(Err(ReadError::Unreachable { problem: found })) => problem = format!("{url}: {found}"),
                Ok(Err(error)) => return Err(error),
                Err(_) => problem = format!("{url}: no whole answer within {} ms", self.timeout.as_millis()),
            }
        }
        Err(ReadError::Unreachable { problem })
    }

    async fn get_one(&self, url: &str, known: Option<&HeaderValue>) -> Result<Answer, ReadError> {
        let mut request = self.client.get(url);
        if let Some(tag) = known {
            request = request.header(IF_NONE_MATCH, tag);
        }
        let response = request.send().await.map_err(|error| unreachable_because(describe(&error)))?;
        let status = response.status();
        if status == StatusCode::NOT_MODIFIED && known.is_some() {
            return Ok(Answer::Unchanged);
        }
        if status != StatusCode::OK {
            return Err(unreachable_because(format!("status {status}")));
        }
        let tag = response.headers().get(ETAG).cloned();
        let body = read_bounded(response).await?;
        Ok(Answer::Document { tag, body })
    }
}

enum Answer {
    Unchanged,
    Document { tag: Option<HeaderValue>, body: Vec<u8> },
}

async fn read_bounded(response: reqwest::Response) -> Result<Vec<u8>, ReadError> {
    let mut body = Vec::new();
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|error| unreachable_because(describe(&error)))?;
        if body.len() + chunk.len() > MAXIMUM_ANSWER_BYTES {
            return Err(ReadError::TooLarge { maximum: MAXIMUM_ANSWER_BYTES });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

fn unreachable_because(problem: String) -> ReadError {
    ReadError::Unreachable { problem }
}

/// What went wrong, without the address and port numbers that would make each failure look new.
fn describe(error: &reqwest::Error) -> String {
    let kind = if error.is_connect() { "cannot connect" } else { "the answer broke off" };
    kind.to_owned()
}

impl Platform for HttpPlatform {
    async fn configuration(&mut self) -> Result<Option<Arc<Configuration>>, ReadError> {
        let known = self.known.as_ref().map(|(tag, _)| tag.clone());
        let (url, answer) = self.get("/configuration", known.as_ref()).await?;
        let (tag, body) = match answer {
            Answer::Unchanged => return self.verdict_of_known(),
            Answer::Document { tag, body } => (tag, body),
        };
        let text = String::from_utf8_lossy(&body);
        let parsed = parse_configuration(&url, &text);
        let verdict = parsed.as_ref().map(|_| ()).map_err(Clone::clone);
        self.known = tag.map(|tag| (tag, verdict));
        match parsed {
            Ok((configuration, _)) => Ok(Some(Arc::new(configuration))),
            Err(findings) => Err(ReadError::Refused(findings)),
        }
    }

    async fn machines(&mut self) -> Result<Vec<Machine>, ReadError> {
        let (_, answer) = self.get("/machines", None).await?;
        match answer {
            Answer::Unchanged => Ok(Vec::new()),
            Answer::Document { body, .. } => {
                serde_json::from_slice(&body).map_err(|error| ReadError::Machines { problem: error.to_string() })
            }
        }
    }
}

impl HttpPlatform {
    fn verdict_of_known(&self) -> Result<Option<Arc<Configuration>>, ReadError> {
        match &self.known {
            Some((_, Err(findings))) => Err(ReadError::Refused(findings.clone())),
            _ => Ok(None),
        }
    }
}
