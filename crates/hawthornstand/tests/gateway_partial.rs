//! When a search answers in part, at what its route asks and how far it is.

use std::time::Duration;

use hawthornstand::gateway::partial::{CALLER_TRIP, Progress, Step, Terms, min_shards, next_step};
use rstest::rstest;

const GOAL: Duration = Duration::from_millis(150);
const TERMS: Terms =
    Terms { target_latency: GOAL, min_shards: 9, time_limit: Duration::from_millis(2500) };

fn step(answered: usize, lost: usize, waited_ms: u64) -> Step {
    let progress = Progress { answered, lost, shards: 10 };
    next_step(&TERMS, progress, Duration::from_millis(waited_ms))
}

#[rstest]
#[case(0.89, 10, 9)]
#[case(0.95, 36, 35)]
#[case(0.85, 36, 31)]
#[case(0.75, 10, 8)]
#[case(0.85, 20, 17)]
#[case(0.0, 10, 1)]
#[case(1.0, 10, 10)]
fn least_share_is_a_whole_number_of_shards(
    #[case] share: f64,
    #[case] shards: usize,
    #[case] expected: usize,
) {
    assert_eq!(min_shards(share, shards), expected);
}

#[test]
fn whole_answer_goes_out_at_once() {
    assert_eq!(step(10, 0, 12), Step::Answer);
}

#[test]
fn answer_without_lost_shards_goes_out_at_once() {
    assert_eq!(step(9, 1, 12), Step::Answer);
}

#[test]
fn missing_shard_is_awaited_while_it_can_come_in_time() {
    assert_eq!(step(9, 0, 20), Step::WaitUntil(GOAL - CALLER_TRIP));
}

#[test]
fn paused_shard_is_left_out_at_the_goal() {
    assert_eq!(step(9, 0, (GOAL - CALLER_TRIP).as_millis() as u64), Step::Answer);
}

#[test]
fn too_few_shards_at_the_goal_are_awaited_until_the_limit() {
    assert_eq!(step(8, 0, 140), Step::WaitUntil(TERMS.time_limit));
}

#[test]
fn late_search_waits_for_coverage_but_not_for_ever() {
    assert_eq!(step(9, 0, 170), Step::WaitUntil(Duration::from_millis(225)));
    assert_eq!(step(9, 0, 225), Step::Answer);
}

#[test]
fn search_that_cannot_succeed_ends_at_once() {
    assert_eq!(step(0, 2, 5), Step::GiveUp);
    assert_eq!(step(8, 2, 5), Step::GiveUp);
}
