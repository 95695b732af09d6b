//! Chooses the backend server for the next attempt.

use std::time::Duration;

use crate::derives::value_types;

/// Time that a failed attempt costs, weighed by how often a backend server fails.
const FAILURE_COST: Duration = Duration::from_millis(120);

value_types! {
    /// How much a backend server is trusted with new requests.
    #[derive(Copy, Eq, Ord, PartialOrd)]
    pub enum Availability {
        /// It answers.
        Usable,
        /// It may be gone: its entry vanished a moment ago.
        Doubtful,
        /// It has owed an answer for longer than usual, but not for long.
        Pausing,
        /// It does not answer, is leaving or is gone.
        Unusable,
    }

    /// What is known of a backend server when a request needs one.
    #[derive(Copy)]
    pub struct Candidate {
        pub expected_latency: Duration,
        /// Time by which it must be better than a near one; 0 for near ones.
        pub remote_penalty: Duration,
        /// Share of its answers that were failures, 0 to 1.
        pub failure_rate: f64,
        /// Own calls that run there.
        pub in_flight: u32,
        /// Whether a connection is free or may be opened.
        pub has_connection: bool,
        pub slots: u32,
        pub availability: Availability,
    }
}

impl Candidate {
    /// Returns the time after which an answer is expected, failures included.
    pub fn cost(&self) -> Duration {
        let queue = 1.0 + f64::from(self.in_flight) / f64::from(self.slots.max(1));
        self.expected_latency.mul_f64(queue)
            + FAILURE_COST.mul_f64(self.failure_rate)
            + self.remote_penalty
    }
}

/// Returns the index of the best candidate: the best standing, then the lowest cost.
///
/// `tie_break` rotates equal candidates, so that many VMs do not all pick the same one.
pub fn select(candidates: &[Option<Candidate>], tie_break: usize) -> Option<usize> {
    best(candidates, tie_break, |candidate| candidate.has_connection)
}

/// Returns the index of the best candidate for a hedge: one that owes an answer itself would be no help.
pub fn select_hedge(candidates: &[Option<Candidate>], tie_break: usize) -> Option<usize> {
    best(candidates, tie_break, |candidate| {
        candidate.has_connection && candidate.availability < Availability::Pausing
    })
}

/// Returns whether any candidate can take a request once it has a connection free.
pub fn is_any_usable(candidates: &[Option<Candidate>]) -> bool {
    best(candidates, 0, |_| true).is_some()
}

/// Returns the index of the best candidate among those that may be chosen.
fn best(
    candidates: &[Option<Candidate>],
    tie_break: usize,
    may_choose: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let count = candidates.len();
    let mut best: Option<(usize, (Availability, Duration))> = None;
    for offset in 0..count {
        let index = (tie_break + offset) % count;
        let Some(candidate) = candidates[index] else { continue };
        if candidate.availability == Availability::Unusable || !may_choose(&candidate) {
            continue;
        }
        let rank = (candidate.availability, candidate.cost());
        if best.is_none_or(|(_, known)| rank < known) {
            best = Some((index, rank));
        }
    }
    best.map(|(index, _)| index)
}
