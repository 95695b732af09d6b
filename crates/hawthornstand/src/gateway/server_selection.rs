//! Selects the backend server for the next attempt.

use std::time::Duration;

use crate::derives::value_types;
use crate::gateway::request_allowance::Room;

/// Latency that a failed attempt adds to a request; a backend server is charged this times its failure rate.
const FAILURE_COST: Duration = Duration::from_millis(120);
/// Latency with which a request is charged that uses the reserve of a limit: as much as a failed attempt, since a
/// later request may find no room.
const RESERVE_COST: Duration = FAILURE_COST;

value_types! {
    /// Availability of a backend server for new requests, best first.
    #[derive(Copy, Eq, Ord, PartialOrd)]
    pub enum Availability {
        /// It answers requests.
        Usable,
        /// Its entry vanished a moment ago, or it has just refused a request.
        Doubtful,
        /// An answer is overdue, but not for longer than a pause takes.
        Pausing,
        /// It does not answer, is leaving or has been removed.
        Unusable,
    }

    /// A backend server as selection sees it.
    #[derive(Copy)]
    pub struct Candidate {
        pub expected_latency: Duration,
        /// Latency added to a backend server in another region; 0 for the others.
        pub remote_penalty: Duration,
        /// Fraction of its answers that were failures, 0 to 1.
        pub failure_rate: f64,
        /// Running calls of this VM.
        pub in_flight: u32,
        /// Whether a connection is idle or may be opened.
        pub has_free_connection: bool,
        /// Requests that it works on at the same time.
        pub slots: u32,
        pub availability: Availability,
        /// Room that it leaves for the request by what it says of itself.
        pub room: Room,
    }
}

impl Candidate {
    /// Returns the expected latency, including queueing behind this VM's calls, failures, the remote penalty and the use of
    /// a reserve.
    pub fn cost(&self) -> Duration {
        let queue = 1.0 + f64::from(self.in_flight) / f64::from(self.slots.max(1));
        self.expected_latency.mul_f64(queue)
            + FAILURE_COST.mul_f64(self.failure_rate)
            + self.remote_penalty
            + if self.room == Room::Reserved { RESERVE_COST } else { Duration::ZERO }
    }
}

/// Returns the index of the best candidate: the best availability, then the lowest cost.
///
/// `tie_break` is the index to start from; it makes VMs pick different ones of equal candidates.
pub fn select(candidates: &[Option<Candidate>], tie_break: usize) -> Option<usize> {
    best(candidates, tie_break, |candidate| {
        candidate.has_free_connection && candidate.room < Room::Exhausted
    })
}

/// Returns the index of the best candidate for a hedge; one with an overdue answer would not help.
pub fn select_hedge(candidates: &[Option<Candidate>], tie_break: usize) -> Option<usize> {
    best(candidates, tie_break, |candidate| {
        candidate.has_free_connection
            && candidate.availability < Availability::Pausing
            && candidate.room < Room::Exhausted
    })
}

/// Returns whether any candidate can take a request once one of its connections is free.
pub fn is_any_usable(candidates: &[Option<Candidate>]) -> bool {
    best(candidates, 0, |candidate| candidate.room < Room::Exhausted).is_some()
}

/// Returns whether any candidate could take a request but for what it says of itself.
pub fn is_any_without_room(candidates: &[Option<Candidate>]) -> bool {
    best(candidates, 0, |candidate| candidate.room == Room::Exhausted).is_some()
}

/// Returns the index of the best candidate that is usable and passes the filter.
fn best(
    candidates: &[Option<Candidate>],
    tie_break: usize,
    is_eligible: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let count = candidates.len();
    let mut best: Option<(usize, (Availability, Duration))> = None;
    for offset in 0..count {
        let index = (tie_break + offset) % count;
        let Some(candidate) = candidates[index] else { continue };
        if candidate.availability == Availability::Unusable || !is_eligible(&candidate) {
            continue;
        }
        let rank = (candidate.availability, candidate.cost());
        if best.is_none_or(|(_, best_rank)| rank < best_rank) {
            best = Some((index, rank));
        }
    }
    best.map(|(index, _)| index)
}
