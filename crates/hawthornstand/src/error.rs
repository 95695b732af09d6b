//! Error kinds and the response to each of them.

use displaydoc::Display;

use crate::ids::UnixMs;
use crate::messages::{Outcome, Refusal};

/// Kinds of error that a caller can receive.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum ErrorKind {
    /// the body is not a valid request
    BadBody,
    /// a header is malformed
    BadHeader,
    /// the body is larger than the limit
    BodyTooLarge,
    /// the body did not arrive in time
    BodyTooSlow,
    /// the deadline passed before the answer was there
    DeadlineExceeded,
    /// the deadline lies in the past
    DeadlinePassed,
    /// the answer would lack slices and the caller asked for all of them
    Incomplete,
    /// no backend server can take the request
    NoReplica,
    /// there is nothing at this path
    NotFound,
    /// this VM has no accepted configuration yet
    NotReady,
    /// the request was handed over and its outcome is not known
    OutcomeUnknown,
    /// the backend servers are saturated
    Overloaded,
    /// the request crashed backend servers and is refused for a while
    Quarantined,
    /// too many shards gave no answer
    ShardsLost,
    /// this VM stops before the request could be answered
    Stopping,
    /// the request was running when a backend server was lost and is being checked
    Suspect,
    /// the ticket has expired
    TicketExpired,
    /// the ticket was not issued by this fleet
    TicketForged,
    /// the ticket was used with another request
    TicketMismatch,
    /// a ticket is needed
    TicketRequired,
    /// this VM holds too many bodies
    TooManyBodies,
    /// the service is not published
    UnknownService,
}

/// Response to one kind of error.
pub struct ErrorResponse {
    pub kind: ErrorKind,
    pub status: u16,
    pub outcome: Outcome,
    pub retry_after_ms: u64,
}

const fn response(
    kind: ErrorKind,
    status: u16,
    outcome: Outcome,
    retry_after_ms: u64,
) -> ErrorResponse {
    ErrorResponse { kind, status, outcome, retry_after_ms }
}

/// Response to each kind of error; a retry-after of 0 means that the same request will fail again.
pub const ERROR_RESPONSES: &[ErrorResponse] = &[
    response(ErrorKind::BadBody, 400, Outcome::NotRun, 0),
    response(ErrorKind::BadHeader, 400, Outcome::NotRun, 0),
    response(ErrorKind::BodyTooLarge, 413, Outcome::NotRun, 0),
    response(ErrorKind::BodyTooSlow, 408, Outcome::NotRun, 100),
    response(ErrorKind::DeadlineExceeded, 504, Outcome::MaybeRun, 100),
    response(ErrorKind::DeadlinePassed, 400, Outcome::NotRun, 0),
    response(ErrorKind::Incomplete, 503, Outcome::MaybeRun, 500),
    response(ErrorKind::NoReplica, 503, Outcome::NotRun, 1000),
    response(ErrorKind::NotFound, 404, Outcome::NotRun, 0),
    response(ErrorKind::NotReady, 503, Outcome::NotRun, 1000),
    response(ErrorKind::OutcomeUnknown, 502, Outcome::MaybeRun, 1000),
    response(ErrorKind::Overloaded, 503, Outcome::NotRun, 250),
    response(ErrorKind::Quarantined, 422, Outcome::NotRun, 60_000),
    response(ErrorKind::ShardsLost, 502, Outcome::MaybeRun, 100),
    response(ErrorKind::Stopping, 503, Outcome::NotRun, 10),
    response(ErrorKind::Suspect, 503, Outcome::NotRun, 1000),
    response(ErrorKind::TicketExpired, 410, Outcome::MaybeRun, 0),
    response(ErrorKind::TicketForged, 400, Outcome::NotRun, 0),
    response(ErrorKind::TicketMismatch, 422, Outcome::NotRun, 0),
    response(ErrorKind::TicketRequired, 428, Outcome::NotRun, 1),
    response(ErrorKind::TooManyBodies, 503, Outcome::NotRun, 250),
    response(ErrorKind::UnknownService, 404, Outcome::NotRun, 0),
];

/// Error returned to a caller instead of an answer.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{kind}: {message}")]
pub struct Failure {
    pub kind: ErrorKind,
    pub message: String,
    pub outcome: Outcome,
    pub retry_after_ms: u64,
    pub settled_after_unix_ms: UnixMs,
    pub ticket: String,
}

impl Failure {
    /// Creates a failure with the outcome and retry-after of its kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        let response = error_response(kind);
        Self {
            kind,
            message: message.into(),
            outcome: response.outcome,
            retry_after_ms: response.retry_after_ms,
            settled_after_unix_ms: 0,
            ticket: String::new(),
        }
    }

    /// Replaces the outcome where it is known more precisely than from the kind.
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets the time after which to retry.
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }

    /// Sets the time after which the request can no longer run.
    pub fn settled_after(mut self, unix_ms: UnixMs) -> Self {
        self.settled_after_unix_ms = unix_ms;
        self
    }

    /// Returns the HTTP status of the response.
    pub fn status(&self) -> u16 {
        error_response(self.kind).status
    }

    /// Converts the failure to its wire form.
    pub fn to_refusal(&self) -> Refusal {
        Refusal {
            error: format!("{:?}", self.kind),
            message: self.to_string(),
            outcome: self.outcome,
            retry_after_ms: self.retry_after_ms,
            settled_after_unix_ms: self.settled_after_unix_ms,
            ticket: self.ticket.clone(),
        }
    }

    /// Converts a refusal received from another VM; an unknown error kind becomes `OutcomeUnknown`.
    pub fn from_refusal(refusal: Refusal) -> Self {
        let kind = ERROR_RESPONSES
            .iter()
            .map(|response| response.kind)
            .find(|kind| format!("{kind:?}") == refusal.error)
            .unwrap_or(ErrorKind::OutcomeUnknown);
        let message = refusal
            .message
            .strip_prefix(&format!("{kind}: "))
            .unwrap_or(&refusal.message)
            .to_string();
        Self {
            kind,
            message,
            outcome: refusal.outcome,
            retry_after_ms: refusal.retry_after_ms,
            settled_after_unix_ms: refusal.settled_after_unix_ms,
            ticket: refusal.ticket,
        }
    }
}

/// Returns the response to a kind of error; the table is sorted by kind.
fn error_response(kind: ErrorKind) -> &'static ErrorResponse {
    let index = ERROR_RESPONSES.partition_point(|response| response.kind < kind);
    &ERROR_RESPONSES[index]
}
