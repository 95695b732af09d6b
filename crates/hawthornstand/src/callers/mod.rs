//! What callers meet.

#[cfg(feature = "own-interface")]
pub mod caller_http;
pub mod request_headers;
