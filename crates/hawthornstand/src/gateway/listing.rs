//! State of a backend server's entry in the published list.

use std::time::Duration;

use tokio::time::Instant;

use crate::derives::value_types;

/// Time within which entries that lapsed during an outage of the store are published again once it is reachable.
pub const REREGISTRATION_TIMEOUT: Duration = Duration::from_millis(2200);
/// Fraction of the drain time for which a vanished entry may come back; the rest is left for the propagation of the
/// change.
const REREGISTRATION_FRACTION: f64 = 0.6;
/// Time after which an entry that came back with an older copy of the store is believed: the store removes entries
/// whose backend servers are silent for three heartbeats of 1.2 s, and a leaving one says so again with its next one.
pub const RESTORED_ENTRY_TIMEOUT: Duration = Duration::from_secs(5);

value_types! {
    /// State of a backend server's entry in the published list.
    #[derive(Copy, Eq)]
    pub enum Listing {
        Listed,
        /// The entry says that the backend server is leaving, or it vanished for good: no new requests.
        Leaving,
        /// The entry vanished and may come back: used only if no better backend server is left.
        Vanished { since: Instant },
        /// The entry vanished during or shortly after an outage of the store: used as if it were listed.
        Lapsed { since: Instant },
        /// The backend server had left, and its entry came back with an older copy of the store: not used, as it may be
        /// gone.
        Restored { since: Instant },
    }
}

impl Listing {
    /// Returns whether the backend server may get new requests.
    pub fn allows_requests(self) -> bool {
        !matches!(self, Self::Leaving | Self::Restored { .. })
    }
}

/// Returns the listing of a backend server whose entry has just vanished.
pub fn on_removal(listing: Listing, now: Instant, after_outage: bool) -> Listing {
    if !listing.allows_requests() {
        return Listing::Leaving;
    }
    if after_outage { Listing::Lapsed { since: now } } else { Listing::Vanished { since: now } }
}

/// Returns the listing after the time for the return of a vanished entry has been checked.
///
/// `store_available_since` is none while the store is unavailable; `drain` limits how long a backend server that
/// left without notice may still be used.
pub fn expire(
    listing: Listing,
    now: Instant,
    store_available_since: Option<Instant>,
    drain: Duration,
) -> Listing {
    match listing {
        Listing::Vanished { since }
            if now
                >= since + REREGISTRATION_TIMEOUT.min(drain.mul_f64(REREGISTRATION_FRACTION)) =>
        {
            Listing::Leaving
        }
        Listing::Lapsed { since }
            if store_available_since
                .is_some_and(|available| now >= available.max(since) + REREGISTRATION_TIMEOUT) =>
        {
            Listing::Leaving
        }
        Listing::Restored { since }
            if store_available_since
                .is_some_and(|available| now >= available.max(since) + RESTORED_ENTRY_TIMEOUT) =>
        {
            Listing::Listed
        }
        _ => listing,
    }
}
