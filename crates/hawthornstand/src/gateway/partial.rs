//! When a search answers with the shards it has.

use std::time::Duration;

use crate::derives::value_types;

/// Time between an answer leaving here and reaching its caller, and between the caller's first byte
/// and the request arriving here: two one-way trips, a handshake, and the processor at both ends.
pub const CALLER_TRIP: Duration = Duration::from_millis(20);
/// Products such as 0.85 * 20 may come out this much above the whole number.
const ROUNDING: f64 = 1e-9;
/// Lateness of timers that still counts as on time.
const ON_TIME_SLACK: Duration = Duration::from_millis(8);
/// Part of the goal for which a late search still waits for missing shards.
const LATE_WAIT_SHARE: f64 = 0.5;

value_types! {
    /// How far a search is.
    #[derive(Copy, Eq)]
    pub struct Progress {
        pub answered: usize,
        /// Shards that can no longer answer.
        pub lost: usize,
        pub shards: usize,
    }

    /// What a search does next.
    #[derive(Copy, Eq)]
    pub enum Step {
        /// Answer with what is there.
        Answer,
        /// Too many shards are lost for any answer.
        GiveUp,
        /// Wait for more shards, at most until this much time has passed since the request came.
        WaitUntil(Duration),
    }

    /// What a route asks of its searches.
    #[derive(Copy)]
    pub struct Terms {
        pub target_latency: Duration,
        pub min_shards: usize,
        pub time_limit: Duration,
    }
}

/// Returns the smallest number of shards that is at least a share of all, and at least one.
pub fn min_shards(share: f64, shards: usize) -> usize {
    ((share * shards as f64 - ROUNDING).ceil().max(1.0) as usize).min(shards.max(1))
}

/// Decides what a search does after `waited`.
///
/// Missing shards are awaited until the last moment at which an answer still reaches its caller within
/// the goal. After that the answer is late in any case, and shards that are still expected get a while
/// longer, since coverage is then worth more than the time.
pub fn next_step(terms: &Terms, progress: Progress, waited: Duration) -> Step {
    let expected = progress.shards - progress.answered - progress.lost;
    if progress.answered + expected < terms.min_shards {
        return Step::GiveUp;
    }
    if expected == 0 {
        return Step::Answer;
    }
    let in_time = terms.target_latency.saturating_sub(CALLER_TRIP);
    if waited < in_time {
        return Step::WaitUntil(in_time);
    }
    if progress.answered < terms.min_shards {
        return Step::WaitUntil(terms.time_limit);
    }
    let late = terms.target_latency.mul_f64(1.0 + LATE_WAIT_SHARE).min(terms.time_limit);
    // A search that has enough at the goal answers there; one that came to it later waits for the rest.
    if waited < in_time + ON_TIME_SLACK || waited >= late {
        return Step::Answer;
    }
    Step::WaitUntil(late)
}
