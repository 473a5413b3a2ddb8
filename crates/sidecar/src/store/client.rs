//! Single calls of the platform's store.

use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use http_body_util::BodyExt;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use quillhatch_platform::headers;
use quillhatch_platform::store::{Page, PageError};
use tokio::time::timeout;

use crate::body::Body;
use crate::counters::Counters;
use crate::headers::text;
use crate::node::Node;
use crate::pool::ExchangeError;

/// Why the store could not be read.
#[derive(Debug, Display)]
pub(super) enum StoreError {
    /// There was no whole answer.
    #[display("{_0}")]
    Exchange(ExchangeError),
    /// There was no answer in time.
    #[display("no answer in time")]
    TimedOut,
    /// The store refused the call.
    #[display("status {_0}")]
    Status(StatusCode),
    /// The answer can't be understood.
    #[display("{_0}")]
    Answer(PageError),
    /// The store has come back from an older copy, or the answer is from before it did.
    #[display("the answer is of another era")]
    OtherEra,
}

impl StoreError {
    /// Whether the same call may succeed later. Else the changes asked for are not to be had, and everything is read anew.
    pub(super) fn is_outage(&self) -> bool {
        match self {
            StoreError::Exchange(_) | StoreError::TimedOut => true,
            StoreError::Status(status) => status.is_server_error() || *status == StatusCode::TOO_MANY_REQUESTS,
            StoreError::Answer(_) | StoreError::OtherEra => false,
        }
    }
}

/// An answer of the store.
pub(super) struct StoreAnswer {
    /// The era in which it was given; zero if it is not told.
    pub era: u64,
    /// What it holds.
    pub page: Page,
}

/// Asks the store for `path` and reads its answer with `read`.
pub(super) async fn get(
    node: &Rc<Node>,
    path: &str,
    longest: Duration,
    read: impl Fn(&[u8]) -> Result<Page, PageError>,
) -> Result<StoreAnswer, StoreError> {
    Counters::add(&node.counters.store_requests);
    let address = node.settings.store;
    let request = Request::get(path).header(HOST, address.to_string()).body(Body::empty());
    let request = request.expect("the path and the host are made of plain characters");
    let exchange = async {
        let (response, lease) = node.store.exchange(address, request).await.map_err(StoreError::Exchange)?;
        let status = response.status();
        let era = text(response.headers(), headers::STORE_ERA).and_then(|text| text.parse().ok()).unwrap_or_default();
        let body = response.into_body().collect().await;
        let bytes =
            body.map_err(|error| StoreError::Exchange(ExchangeError::NoResponse(error.to_string())))?.to_bytes();
        lease.release();
        if status != StatusCode::OK {
            return Err(StoreError::Status(status));
        }
        let page = read(&bytes).map_err(StoreError::Answer)?;
        Ok(StoreAnswer { era, page })
    };
    timeout(longest, exchange).await.unwrap_or(Err(StoreError::TimedOut))
}
