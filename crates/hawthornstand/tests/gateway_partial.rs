//! The policy for partial answers: the next step of a search for its progress and the time it has waited.

use std::time::Duration;

use hawthornstand::gateway::partial::{
    CALLER_OVERHEAD, PartialAnswerPolicy, Progress, Step, min_shards, next_step,
};
use rstest::rstest;

const TARGET_LATENCY: Duration = Duration::from_millis(150);
const POLICY: PartialAnswerPolicy = PartialAnswerPolicy {
    target_latency: TARGET_LATENCY,
    min_shards: 9,
    time_limit: Duration::from_millis(2500),
};

/// Returns the next step of a search whose last part has just arrived.
fn step(answered: usize, failed: usize, waited_ms: u64) -> Step {
    step_with_enough_after(answered, failed, waited_ms, waited_ms)
}

/// Returns the next step of a search that may have had enough parts before.
fn step_with_enough_after(answered: usize, failed: usize, enough_ms: u64, waited_ms: u64) -> Step {
    let enough_after = (answered >= POLICY.min_shards).then_some(Duration::from_millis(enough_ms));
    let progress = Progress { answered, enough_after, failed, shards: 10 };
    next_step(&POLICY, progress, Duration::from_millis(waited_ms))
}

#[rstest]
#[case(0.89, 10, 9)]
#[case(0.95, 36, 35)]
#[case(0.85, 36, 31)]
#[case(0.75, 10, 8)]
#[case(0.85, 20, 17)]
#[case(0.0, 10, 1)]
#[case(1.0, 10, 10)]
fn smallest_fraction_is_rounded_up_to_whole_shards(
    #[case] fraction: f64,
    #[case] shards: usize,
    #[case] expected: usize,
) {
    assert_eq!(min_shards(fraction, shards), expected);
}

#[test]
fn complete_answer_is_sent_at_once() {
    assert_eq!(step(10, 0, 12), Step::Answer);
}

#[test]
fn answer_is_sent_at_once_when_no_shard_is_pending() {
    assert_eq!(step(9, 1, 12), Step::Answer);
}

#[test]
fn pending_shard_is_awaited_within_the_target_latency() {
    assert_eq!(step(9, 0, 20), Step::WaitUntil(TARGET_LATENCY - CALLER_OVERHEAD));
}

#[test]
fn pending_shard_is_left_out_at_the_target_latency() {
    assert_eq!(step(9, 0, (TARGET_LATENCY - CALLER_OVERHEAD).as_millis() as u64), Step::Answer);
}

#[test]
fn search_below_the_smallest_fraction_waits_until_the_time_limit() {
    assert_eq!(step(8, 0, 140), Step::WaitUntil(POLICY.time_limit));
}

#[test]
fn late_search_waits_for_coverage_for_a_bounded_time() {
    assert_eq!(step(9, 0, 170), Step::WaitUntil(Duration::from_millis(225)));
    assert_eq!(step(9, 0, 225), Step::Answer);
}

/// Pattern: one shard is silent and the VM is so busy that its timers fire late.
#[test]
fn search_with_enough_shards_in_time_answers_however_late_its_timer_fires() {
    for waited_ms in [130, 138, 139, 170, 224] {
        assert_eq!(step_with_enough_after(9, 0, 40, waited_ms), Step::Answer, "{waited_ms} ms");
    }
}

#[test]
fn search_that_cannot_succeed_fails_at_once() {
    assert_eq!(step(0, 2, 5), Step::Fail);
    assert_eq!(step(8, 2, 5), Step::Fail);
}
