//! The interface to callers.

#[cfg(feature = "own-interface")]
pub mod caller_http;
pub mod request_headers;
