//! The HTTP clients for requests to gates, back ends, peers and the platform.

use std::time::Duration;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The time after which an idle connection is closed. It is shorter than the idle timeout of the listeners, so that a
/// node does not send a request on a connection that its peer is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Creates a client that forwards requests and responses unchanged: it follows no redirects, uses no proxy and decodes
/// nothing.
///
/// # Errors
///
/// Returns an error if the client cannot be created.
pub fn transparent() -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .http1_only()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .tcp_nodelay(true)
        .build()
}
