//! Decides when and over which link this VM pulls changes, so that a change reaches it from another region at most
//! once.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::server::Proximity;
use crate::gateway::store_version::StoreVersion;
use crate::ids::LinkId;
use crate::locks::lock;

/// Maximum delay before changes are pulled from another region, so that a VM nearby may offer them first: a few round
/// trips. Each VM draws a random part of it, so that one VM of a region pulls first and offers the changes to the
/// others.
const MAX_REMOTE_DELAY: Duration = Duration::from_millis(250);
/// Minimum time between an answer and the next pull, so that several changes are fetched together.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which an unanswered pull is sent to another VM: a slow round trip and a large answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Next action of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PullStep {
    /// Check again at this instant.
    CheckAt(Instant),
    /// Wait for an offer: no link has a newer version.
    Idle,
    /// Send a pull now.
    Pull,
}

/// Latest version that the VM at the other end of a link announced.
#[derive(Debug)]
struct Offer {
    link: LinkId,
    proximity: Proximity,
    version: StoreVersion,
}

#[derive(Debug, Default)]
struct Inner {
    /// Since when a link has offered a newer version than this VM's.
    behind_since: Option<Instant>,
    last_answer: Option<Instant>,
    /// Sorted by link.
    offers: Vec<Offer>,
    /// Link of the last unanswered pull, and the end of its time limit.
    pending: Option<(LinkId, Instant)>,
    /// Delay of pulls from other regions, drawn anew each time this VM falls behind.
    remote_delay: Duration,
}

/// Schedules the pulls of all links of this VM.
#[derive(Debug, Default)]
pub struct PullScheduler(Mutex<Inner>);

impl PullScheduler {
    /// Records the version of the VM at the other end of a link.
    pub fn record_offer(&self, link: LinkId, proximity: Proximity, version: StoreVersion) {
        let mut inner = lock(&self.0);
        match inner.offers.binary_search_by_key(&link, |offer| offer.link) {
            Ok(index) => inner.offers[index].version = inner.offers[index].version.max(version),
            Err(index) => inner.offers.insert(index, Offer { link, proximity, version }),
        }
    }

    /// Records the answer to a pull.
    pub fn record_answer(&self, link: LinkId, now: Instant) {
        let mut inner = lock(&self.0);
        inner.last_answer = Some(now);
        if inner.pending.is_some_and(|(pending, _)| pending == link) {
            inner.pending = None;
        }
    }

    /// Removes the offer and the pending pull of a link that closed.
    pub fn remove_link(&self, link: LinkId) {
        let mut inner = lock(&self.0);
        inner.offers.retain(|offer| offer.link != link);
        if inner.pending.is_some_and(|(pending, _)| pending == link) {
            inner.pending = None;
        }
    }

    /// Returns the next action of a link.
    ///
    /// The revision of `own_version` is 0 for a VM without a state, which does not wait for a VM nearby. `pull_delay` is the time for
    /// which this VM may still get a change from the store itself.
    pub fn next_step(
        &self,
        link: LinkId,
        own_version: StoreVersion,
        pull_delay: Duration,
        now: Instant,
    ) -> PullStep {
        let mut inner = lock(&self.0);
        if inner.offers.iter().all(|offer| offer.version <= own_version) {
            inner.behind_since = None;
            return PullStep::Idle;
        }
        let since = match inner.behind_since {
            Some(since) => since,
            None => {
                inner.remote_delay = MAX_REMOTE_DELAY.mul_f64(rand::random_range(0.2..1.0));
                *inner.behind_since.insert(now)
            }
        };
        let Some(offer) = inner.best_offer(own_version).filter(|best| best.link == link) else {
            // The link with the better offer may close.
            return PullStep::CheckAt(now + MIN_PULL_INTERVAL);
        };
        let mut due = since + pull_delay;
        if offer.proximity == Proximity::OtherRegion && own_version.revision > 0 {
            due += inner.remote_delay;
        }
        if let Some(last) = inner.last_answer {
            due = due.max(last + MIN_PULL_INTERVAL);
        }
        if let Some((_, until)) = inner.pending {
            due = due.max(until);
        }
        if due > now {
            return PullStep::CheckAt(due);
        }
        inner.pending = Some((link, now + ANSWER_TIMEOUT));
        PullStep::Pull
    }
}

impl Inner {
    /// Returns the nearest offer of a newer version; the link of an unanswered pull comes last.
    fn best_offer(&self, own_version: StoreVersion) -> Option<&Offer> {
        let unanswered = self.pending.map(|(link, _)| link);
        let newer = self.offers.iter().filter(|offer| offer.version > own_version);
        newer.min_by_key(|offer| (Some(offer.link) == unanswered, offer.proximity, offer.link))
    }
}
