//! Single calls to the platform's store.

use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use quillhatch_mesh::store_reader::StalledListing;
use quillhatch_platform::headers;
use quillhatch_platform::store::{Page, PageError};
use tokio::time::timeout;

use crate::body::{read_whole, Body};
use crate::counters::Counters;
use crate::headers::header_text;
use crate::logging::JsonText;
use crate::node::Node;
use crate::pool::ExchangeError;

/// The maximum size of a response of the store, in bytes: a watch may return several configurations of a megabyte each.
const MAX_PAGE_BYTES: usize = 32 * 1024 * 1024;

/// Why a call to the store has failed.
#[derive(Debug, Display)]
pub(super) enum StoreError {
    /// The request can't be built.
    #[display("{_0}")]
    Request(hyper::http::Error),
    /// The request failed, or the response ended early.
    #[display("{_0}")]
    Exchange(ExchangeError),
    /// The call timed out.
    #[display("the call to the store timed out")]
    TimedOut,
    /// The store responded with an error status.
    #[display("status {_0}")]
    Status(StatusCode),
    /// The response can't be parsed.
    #[display("{_0}")]
    Page(PageError),
    /// The store was restored from a backup, or the response is from before the restore.
    #[display("the response is from another era of the store")]
    OtherEra,
    /// The pages of a list repeat.
    #[display("{_0}")]
    Stalled(StalledListing),
}

impl StoreError {
    /// Whether the same call may succeed later. Otherwise the requested changes are unavailable, and everything must be
    /// listed again.
    pub(super) fn is_outage(&self) -> bool {
        match self {
            StoreError::Exchange(_) | StoreError::TimedOut => true,
            StoreError::Status(status) => status.is_server_error() || *status == StatusCode::TOO_MANY_REQUESTS,
            StoreError::Request(_) | StoreError::Page(_) | StoreError::OtherEra | StoreError::Stalled(_) => false,
        }
    }
}

/// A response of the store.
pub(super) struct StoreResponse {
    /// The era of the store in which it was sent; zero if the response names none.
    pub era: u64,
    /// Its content.
    pub page: Page,
}

/// Requests `path` from the store and parses the response with `parse`. Fails if the whole response has not arrived
/// within `time_limit`.
pub(super) async fn get(
    node: &Rc<Node>,
    path: &str,
    time_limit: Duration,
    parse: impl Fn(&[u8]) -> Result<Page, PageError>,
) -> Result<StoreResponse, StoreError> {
    Counters::increment(&node.counters.store_requests);
    let address = node.settings.store;
    let request = Request::get(path).header(HOST, address.to_string()).body(Body::empty());
    let request = request.map_err(StoreError::Request)?;
    let exchange = async {
        let (response, lease) = node.store.exchange(address, request).await.map_err(StoreError::Exchange)?;
        let status = response.status();
        let era =
            header_text(response.headers(), headers::STORE_ERA).and_then(|text| text.parse().ok()).unwrap_or_default();
        let body = read_whole(response.into_body(), MAX_PAGE_BYTES).await;
        let bytes = body.map_err(|error| StoreError::Exchange(ExchangeError::NoResponse(error.to_string())))?;
        lease.release();
        if status != StatusCode::OK {
            return Err(StoreError::Status(status));
        }
        let page = parse(&bytes).map_err(StoreError::Page)?;
        for item in &page.invalid_items {
            node.log_failure(|| format!("\"event\":\"store-item-invalid\",\"why\":{}", JsonText(item)));
        }
        Ok(StoreResponse { era, page })
    };
    timeout(time_limit, exchange).await.unwrap_or(Err(StoreError::TimedOut))
}
