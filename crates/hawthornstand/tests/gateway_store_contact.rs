//! Which failed reads of the store are an outage, in which entries of live backend servers may lapse.

use std::time::Duration;

use hawthornstand::gateway::protocol::StoreError;
use hawthornstand::gateway::store_contact::{ReadFailure, StoreContact, judge};
use rstest::rstest;
use tokio::time::Instant;

const HEARTBEAT: Duration = Duration::from_millis(1200);
const MS: Duration = Duration::from_millis(1);
/// Time for which an entry that lapsed may be missing after an outage, as the store's users are told.
const RETURN_TIME: Duration = Duration::from_secs(2);

fn refused() -> StoreError {
    StoreError::Refused { era: None, status: 503 }
}

fn broken() -> StoreError {
    StoreError::Broken("reset".to_string())
}

fn connect_failed() -> StoreError {
    StoreError::ConnectFailed("refused".to_string())
}

fn malformed() -> StoreError {
    StoreError::Malformed("no JSON".to_string())
}

/// Guards against watches that are cut being taken for an outage: the first kinds show that the store is there.
#[rstest]
#[case::stalled(StoreError::WatchStalled, 0, ReadFailure::Answered)]
#[case::history_gone(StoreError::HistoryGone { era: None }, 0, ReadFailure::Answered)]
#[case::restored(StoreError::RestoredMeanwhile { era: 2 }, 0, ReadFailure::Answered)]
#[case::broken_while_waiting(broken(), 300, ReadFailure::Cut)]
#[case::rejected_while_waiting(refused(), 300, ReadFailure::Cut)]
#[case::broken_at_once(broken(), 3, ReadFailure::Unanswered)]
#[case::rejected_at_once(refused(), 3, ReadFailure::Unanswered)]
#[case::not_connected(connect_failed(), 1000, ReadFailure::Unanswered)]
#[case::timed_out(StoreError::TimedOut, 21_500, ReadFailure::Unanswered)]
#[case::malformed_while_waiting(malformed(), 300, ReadFailure::Unanswered)]
fn failed_read(#[case] error: StoreError, #[case] waited_ms: u32, #[case] expected: ReadFailure) {
    assert_eq!(judge(&error, waited_ms * MS), expected);
}

/// Guards against an outage that is concluded from a failure although the store answered before and after it.
///
/// Entries are removed after three heartbeats of silence, so that two have to be lost.
#[rstest]
#[case::cut_and_next_call_answered(ReadFailure::Cut, 1500, 50, false)]
#[case::cut_after_a_long_wait(ReadFailure::Cut, 3500, 50, false)]
#[case::refused_once(ReadFailure::Unanswered, 1000, 50, false)]
#[case::down_for_a_heartbeat(ReadFailure::Cut, 1500, 1200, false)]
#[case::down_for_two_heartbeats(ReadFailure::Cut, 1500, 2400, true)]
#[case::refused_for_two_heartbeats(ReadFailure::Unanswered, 10, 2400, true)]
#[case::answered_long_before_the_failure(ReadFailure::Unanswered, 2400, 50, true)]
fn entries_may_lapse(
    #[case] failure: ReadFailure,
    #[case] answered_before_ms: u32,
    #[case] answered_after_ms: u32,
    #[case] expected: bool,
) {
    let start = Instant::now();
    let mut contact = StoreContact::new(HEARTBEAT, start);
    let answered = start + Duration::from_secs(60);
    contact.record_answer(answered);
    let failed = answered + answered_before_ms * MS;
    contact.record_failure(failure, failed);
    assert_eq!(contact.available_since(failed), None);
    let back = failed + answered_after_ms * MS;
    contact.record_answer(back);
    assert_eq!(contact.may_lack_entries(back), expected);
    assert_eq!(contact.may_lack_entries(back + RETURN_TIME), expected);
    assert!(!contact.may_lack_entries(back + RETURN_TIME * 2));
    assert_eq!(contact.available_since(back), Some(if expected { back } else { start }));
}

/// Guards against requests to removed servers without end: short failures in a row must not put off the end of lapsed
/// entries.
#[test]
fn failures_after_an_outage_do_not_put_off_its_end() {
    let start = Instant::now();
    let mut contact = StoreContact::new(HEARTBEAT, start);
    contact.record_answer(start);
    contact.record_failure(ReadFailure::Unanswered, start);
    let back = start + Duration::from_secs(10);
    contact.record_answer(back);
    for index in 1..20 {
        let at = back + index * 300 * MS;
        contact.record_failure(ReadFailure::Unanswered, at);
        contact.record_answer(at + 100 * MS);
        assert_eq!(contact.available_since(at + 100 * MS), Some(back));
    }
}

/// Guards against a removed server being used on because the store turned only this VM away.
#[test]
fn vm_that_the_store_turns_away_alone_sees_no_outage() {
    let start = Instant::now();
    let mut contact = StoreContact::new(HEARTBEAT, start);
    contact.record_answer(start);
    contact.record_failure(ReadFailure::Unanswered, start);
    let second = Duration::from_secs(1);
    for index in 1..10 {
        contact.record_sign(start + index * second);
        assert_eq!(contact.available_since(start + index * second), Some(start));
    }
    let back = start + second * 10;
    contact.record_answer(back);
    assert!(!contact.may_lack_entries(back));
}

/// A VM that starts during an outage cannot tell how long it has been.
#[test]
fn failure_before_the_first_answer_is_an_outage() {
    let start = Instant::now();
    let mut contact = StoreContact::new(HEARTBEAT, start);
    contact.record_failure(ReadFailure::Unanswered, start);
    assert!(contact.may_lack_entries(start));
    contact.record_answer(start + MS);
    assert!(contact.may_lack_entries(start + MS));
}
