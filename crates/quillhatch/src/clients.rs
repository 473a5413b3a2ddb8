//! The HTTP clients towards gates, back ends, peers and the platform.

use std::time::Duration;

/// The longest time for opening a connection to another machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The time after which an unused connection is closed; shorter than the listeners' own, so that a node never sends on a
/// connection that its peer is just closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A client that passes requests and answers on as they are: no redirects, no proxy, no decoding.
///
/// # Errors
///
/// Returns an error if the client cannot be set up.
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
