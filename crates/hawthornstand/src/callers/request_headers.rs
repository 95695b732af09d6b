//! Request headers sent by callers.

use hyper::HeaderMap;

use crate::backends::backend_client::{DEADLINE_HEADER, TRACEPARENT_HEADER};
use crate::derives::value_types;
use crate::error::{ErrorKind, Failure};
use crate::ids::UnixMs;
use crate::process::clock::Clock;

/// Header that selects whether a partial answer is acceptable: `partial` or `complete`.
pub const COVERAGE_HEADER: &str = "coverage";
/// Header with the ticket of a booking.
pub const TICKET_HEADER: &str = "ticket";
/// Header with the time allowed for the request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "timeout-ms";

/// Longest time allowed for a request; later deadlines are shortened to it.
const MAX_TIMEOUT_MS: u64 = 600_000;

value_types! {
    /// Parsed headers of a request.
    pub struct RequestHeaders {
        pub complete_only: bool,
        pub deadline_unix_ms: UnixMs,
        pub ticket: String,
        pub traceparent: String,
    }
}

/// Parses the headers of a request.
pub fn parse(
    headers: &HeaderMap,
    clock: &dyn Clock,
    default_timeout_ms: u64,
) -> Result<RequestHeaders, Failure> {
    let now = clock.unix_ms();
    let timeout_ms = number(headers, TIMEOUT_HEADER)?;
    let deadline = number(headers, DEADLINE_HEADER)?;
    let deadline_unix_ms = match (deadline, timeout_ms) {
        (Some(_), Some(_)) => {
            let message = format!("send either {DEADLINE_HEADER} or {TIMEOUT_HEADER}, not both");
            return Err(Failure::new(ErrorKind::BadHeader, message));
        }
        (Some(deadline), None) => deadline,
        (None, timeout) => now + timeout.unwrap_or(default_timeout_ms).min(MAX_TIMEOUT_MS),
    };
    if deadline_unix_ms <= now {
        return Err(Failure::new(
            ErrorKind::DeadlinePassed,
            format!("{deadline_unix_ms} is not after {now}"),
        ));
    }
    let complete_only = match text(headers, COVERAGE_HEADER)? {
        None | Some("partial") => false,
        Some("complete") => true,
        Some(other) => {
            let message =
                format!("{COVERAGE_HEADER}: found {other:?}; allowed: complete or partial");
            return Err(Failure::new(ErrorKind::BadHeader, message));
        }
    };
    Ok(RequestHeaders {
        complete_only,
        deadline_unix_ms: deadline_unix_ms.min(now + MAX_TIMEOUT_MS),
        ticket: text(headers, TICKET_HEADER)?.unwrap_or_default().to_string(),
        traceparent: text(headers, TRACEPARENT_HEADER)?.unwrap_or_default().to_string(),
    })
}

/// Reads a header as text.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(text) => Ok(Some(text.trim())),
        Err(_) => Err(Failure::new(
            ErrorKind::BadHeader,
            format!("{name}: found bytes that are not text"),
        )),
    }
}

/// Reads a header as a non-negative integer.
fn number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Failure> {
    let Some(text) = text(headers, name)? else { return Ok(None) };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(Failure::new(
            ErrorKind::BadHeader,
            format!("{name}: found {text:?}; allowed: a whole number of milliseconds"),
        )),
    }
}
