//! Policy for partial answers: when a search answers without waiting for more shards.

use std::time::Duration;

use crate::derives::value_types;

/// Time from a caller's first byte until its request arrives here, plus the time until the answer reaches the caller:
/// two one-way trips, a handshake, and processing at both ends.
pub const CALLER_OVERHEAD: Duration = Duration::from_millis(20);
/// Rounding error allowed in a product such as 0.85 * 20, which may come out above the whole number.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Time after the last moment for an answer in time within which enough shards still count as on time: the answer's way
/// takes about that much less than assumed.
const ON_TIME_TOLERANCE: Duration = Duration::from_millis(8);
/// Fraction of the target latency for which a late search goes on waiting for missing shards.
const LATE_WAIT_FRACTION: f64 = 0.5;

value_types! {
    /// Progress of a search.
    #[derive(Copy, Eq)]
    pub struct Progress {
        pub answered: usize,
        /// Time after the request's arrival at which enough shards had answered; none if they have not yet.
        pub enough_after: Option<Duration>,
        /// Shards that can no longer answer.
        pub failed: usize,
        pub shards: usize,
    }

    /// Next step of a search.
    #[derive(Copy, Eq)]
    pub enum Step {
        /// Answer with the parts received so far.
        Answer,
        /// Fail: too few shards can still answer.
        Fail,
        /// Wait for more shards, at most until this much time has passed since the request arrived.
        WaitUntil(Duration),
    }

    /// Requirements of a route on its searches.
    #[derive(Copy)]
    pub struct PartialAnswerPolicy {
        pub target_latency: Duration,
        pub min_shards: usize,
        pub time_limit: Duration,
    }
}

/// Returns the smallest number of shards that is at least a fraction of all shards, and at least one.
pub fn min_shards(fraction: f64, shards: usize) -> usize {
    ((fraction * shards as f64 - ROUNDING_TOLERANCE).ceil().max(1.0) as usize).min(shards.max(1))
}

/// Returns the next step of a search that has been running for `waited`.
///
/// A search waits for missing shards while its answer can still reach the caller within the target latency. An
/// answer that misses the target is late in any case; pending shards then get some more time, because coverage is
/// worth more than a shorter delay.
pub fn next_step(policy: &PartialAnswerPolicy, progress: Progress, waited: Duration) -> Step {
    let pending = progress.shards - progress.answered - progress.failed;
    if progress.answered + pending < policy.min_shards {
        return Step::Fail;
    }
    if pending == 0 {
        return Step::Answer;
    }
    let latest_in_time = policy.target_latency.saturating_sub(CALLER_OVERHEAD);
    if waited < latest_in_time {
        return Step::WaitUntil(latest_in_time);
    }
    let Some(enough_after) = progress.enough_after else {
        return Step::WaitUntil(policy.time_limit);
    };
    let latest = policy.target_latency.mul_f64(1.0 + LATE_WAIT_FRACTION).min(policy.time_limit);
    // A search with enough shards at the target answers then, also if its timer fires late; one that gets them later
    // waits for the rest.
    if enough_after < latest_in_time + ON_TIME_TOLERANCE || waited >= latest {
        return Step::Answer;
    }
    Step::WaitUntil(latest)
}
