//! Headers that a node takes off, and how values are read.

use hyper::header::{HeaderMap, HeaderName, CONNECTION, CONTENT_LENGTH};

/// Headers that speak of one connection only.
fn is_connection_header(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection" | "keep-alive" | "proxy-connection" | "te" | "trailer" | "transfer-encoding" | "upgrade"
    )
}

/// Takes off the headers that speak of one connection, and those that `Connection` names.
pub fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|token| token.trim().to_ascii_lowercase()))
        .filter(|token| !token.is_empty() && token != "close" && token != "keep-alive")
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    let connection: Vec<HeaderName> = headers.keys().filter(|name| is_connection_header(name)).cloned().collect();
    for name in connection {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}

/// A header's value, if it is there and text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
