//! Headers that belong to one connection only.

use hyper::header::{self, HeaderMap, HeaderName};

/// Headers that belong to one connection only (RFC 9110, section 7.6.1), and the length, which hyper sets.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Removes the headers that belong to one connection.
pub fn remove(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS).chain([&KEEP_ALIVE]) {
        headers.remove(name);
    }
}
