//! Checks which answers of backend servers may promise a caller that its request has not run.

use hawthornstand::error::ErrorKind;
use hawthornstand::gateway::not_run_promise;
use hawthornstand::gateway::protocol::AnswerKind;
use hawthornstand::messages::Outcome;
use hyper::StatusCode;
use rstest::rstest;

// Guards against: a failure of a run reaches its caller with a status that promises that nothing ran.
#[rstest]
fn failure_of_a_run_promises_nothing(
    #[values(408, 421, 429, 503)] status: u16,
    #[values(AnswerKind::Failed, AnswerKind::Succeeded)] kind: AnswerKind,
) {
    let status = StatusCode::from_u16(status).expect("invalid status code");
    let failure = not_run_promise::check(status, kind).expect_err("the promise is unfounded");
    assert_eq!((failure.kind, failure.status()), (ErrorKind::OutcomeUnknown, 502));
    assert_eq!((failure.outcome, failure.retry_after_ms), (Outcome::MaybeRun, 0));
}

#[rstest]
fn backend_server_may_state_that_it_has_not_run_the_request(
    #[values(408, 421, 429, 503)] status: u16,
    #[values(AnswerKind::Misdirected, AnswerKind::Refused)] kind: AnswerKind,
) {
    let status = StatusCode::from_u16(status).expect("invalid status code");
    assert_eq!(not_run_promise::check(status, kind), Ok(()));
}

#[rstest]
fn other_statuses_promise_nothing(
    #[values(200, 204, 302, 400, 404, 409, 413, 425, 431, 500, 501, 502, 504, 599)] status: u16,
    #[values(
        AnswerKind::Failed,
        AnswerKind::Misdirected,
        AnswerKind::Refused,
        AnswerKind::Succeeded
    )]
    kind: AnswerKind,
) {
    let status = StatusCode::from_u16(status).expect("invalid status code");
    assert_eq!(not_run_promise::check(status, kind), Ok(()));
}
