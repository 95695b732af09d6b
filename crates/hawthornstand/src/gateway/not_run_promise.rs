//! Decides which answers of backend servers may tell a caller that its request has not run.

use hyper::StatusCode;

use crate::error::{ErrorKind, Failure};
use crate::gateway::protocol::{AnswerKind, HttpProtocol};
use crate::gateway::relays::messages::ForwardedAnswer;
use crate::gateway::relays::offer;

/// Statuses by which callers understand that the request has not run and never will.
const PROMISING_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Returns whether a status promises that the request has not run, but the backend server did not state that.
pub fn is_unfounded(status: StatusCode, kind: AnswerKind) -> bool {
    let states_not_run = match kind {
        AnswerKind::Misdirected | AnswerKind::Refused => true,
        AnswerKind::Failed | AnswerKind::Succeeded => false,
    };
    !states_not_run && PROMISING_STATUSES.contains(&status)
}

/// Checks that an answer promises its caller no more than the backend server stated.
///
/// # Errors
///
/// Returns the failure to report instead, without anything that the backend server sent.
pub fn check(status: StatusCode, kind: AnswerKind) -> Result<(), Failure> {
    if !is_unfounded(status, kind) {
        return Ok(());
    }
    let message = format!("the backend server answered {} and may have run it", status.as_u16());
    // Another backend server may answer at once.
    Err(Failure::new(ErrorKind::OutcomeUnknown, message).with_retry_after_ms(0))
}

/// Checks an answer that another VM passes on: earlier builds pass on any answer with a signature.
///
/// # Errors
///
/// Returns the failure to report instead.
pub fn check_forwarded(
    answer: &ForwardedAnswer,
    protocol: &dyn HttpProtocol,
) -> Result<(), Failure> {
    let malformed = || Failure::new(ErrorKind::OutcomeUnknown, "the answer is malformed");
    let status = StatusCode::from_u16(answer.status).map_err(|_| malformed())?;
    let headers = offer::header_map(&answer.headers).ok_or_else(malformed)?;
    check(status, protocol.read_answer_head(status, &headers).kind)
}
