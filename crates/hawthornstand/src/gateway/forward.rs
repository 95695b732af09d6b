//! Forwards a request to one backend server.

use std::sync::Arc;
use std::time::Duration;

use crate::error::{ErrorKind, Failure};
use crate::gateway::attempts::{self, AttemptsError, ServiceCapacity};
use crate::gateway::call::Answer;
use crate::gateway::context::GatewayContext;
use crate::gateway::directory::Service;
use crate::gateway::model::Route;
use crate::gateway::not_run_promise;
use crate::gateway::outbound_request::OutboundRequest;
use crate::gateway::time_budget::TimeBudget;

/// Returns the answer of a backend server.
///
/// # Errors
///
/// Returns the failure that is reported to the caller if no backend server of the service answered.
pub async fn run(
    route: &Route,
    service: &Service,
    request: &Arc<OutboundRequest>,
    time_budget: &TimeBudget,
    context: &GatewayContext,
) -> Result<Answer, Failure> {
    match attempts::run(service, request, route, time_budget, context).await {
        Ok(answer) => Ok(answer),
        Err(AttemptsError::TimedOut | AttemptsError::OutcomeUnknown(_))
            if request.attempt_outcomes.seal_if_not_run() =>
        {
            Err(Failure::new(ErrorKind::Overloaded, "no backend server was reached in time"))
        }
        // A failure that the backend server signed is forwarded as its answer.
        Err(AttemptsError::Failed(answer)) if !answer.head.signature.is_empty() => {
            not_run_promise::check(answer.status, answer.head.kind)?;
            Ok(*answer)
        }
        Err(AttemptsError::QueueTooLong { expected_wait }) => Err(Failure::new(
            ErrorKind::Overloaded,
            "too many requests wait for the backend servers",
        )
        .with_retry_after_ms(expected_wait.as_millis() as u64)),
        Err(AttemptsError::NoRoom { retry_after }) => Err(no_room(retry_after)),
        Err(AttemptsError::Failed(_)) => {
            Err(Failure::new(ErrorKind::OutcomeUnknown, "the backend server failed"))
        }
        Err(AttemptsError::NoServer) => {
            Err(Failure::new(ErrorKind::NoReplica, "no backend server can be used"))
        }
        Err(AttemptsError::Refused) => match attempts::capacity(service) {
            ServiceCapacity::NoRoom { retry_after } => Err(no_room(retry_after)),
            _ => Err(Failure::new(ErrorKind::Overloaded, "the backend servers refused")),
        },
        Err(AttemptsError::TimedOut) => {
            Err(Failure::new(ErrorKind::DeadlineExceeded, "no answer in time"))
        }
        Err(AttemptsError::OutcomeUnknown(reason)) => {
            Err(Failure::new(ErrorKind::OutcomeUnknown, reason))
        }
    }
}

/// Returns the failure of a request for which what the backend servers say of themselves leaves no room.
fn no_room(retry_after: Duration) -> Failure {
    Failure::new(ErrorKind::Overloaded, "the backend servers have no room for now")
        .with_retry_after_ms(retry_after.as_millis() as u64)
}
