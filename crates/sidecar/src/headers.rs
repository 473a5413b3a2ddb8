//! Removal of hop-by-hop headers, and access to header values.

use hyper::header::{HeaderMap, HeaderName, CONNECTION, CONTENT_LENGTH};

/// Whether a header is a hop-by-hop header, which applies to a single connection.
fn is_hop_by_hop_header(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection" | "keep-alive" | "proxy-connection" | "te" | "trailer" | "transfer-encoding" | "upgrade"
    )
}

/// Removes hop-by-hop headers, the headers that `Connection` names, and `Content-Length`.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
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
    let connection: Vec<HeaderName> = headers.keys().filter(|name| is_hop_by_hop_header(name)).cloned().collect();
    for name in connection {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}

/// The value of a header, if it is present and valid text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
