//! Whether a request has certainly not run, which callers are told so that they may send it again.

use hawthornstand::gateway::attempt_outcomes::AttemptOutcomes;

#[test]
fn request_without_a_sent_attempt_has_not_run_and_never_will() {
    let outcomes = AttemptOutcomes::default();
    assert!(outcomes.seal_if_not_run());
    assert!(!outcomes.begin_send(), "no attempt may be sent after the caller was told");
}

#[test]
fn request_whose_attempt_is_sent_may_have_run() {
    let outcomes = AttemptOutcomes::default();
    assert!(outcomes.begin_send());
    assert!(!outcomes.seal_if_not_run());
    assert!(outcomes.begin_send(), "a retry may follow");
}

#[test]
fn refused_attempts_have_not_run() {
    let outcomes = AttemptOutcomes::default();
    assert!(outcomes.begin_send() && outcomes.begin_send());
    outcomes.record_not_run();
    assert!(!outcomes.seal_if_not_run(), "one of two attempts may have run");
    outcomes.record_not_run();
    assert!(outcomes.seal_if_not_run());
}
