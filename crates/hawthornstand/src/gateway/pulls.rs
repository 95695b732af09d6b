//! Decides from which VM to fetch news, so that a change crosses a region once for each VM, at most.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::server::Proximity;
use crate::ids::{LinkId, Revision};
use crate::locks::lock;

/// Longest time for which news from another region waits for a VM nearby to have it: a few round trips. Each VM
/// draws its own part of it, so that one of those in a region goes first and tells the others.
const FAR_PATIENCE: Duration = Duration::from_millis(250);
/// Time within which several changes are fetched together.
const GATHER: Duration = Duration::from_millis(200);
/// Time after which another VM is asked: a slow round trip and a large answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// What a link does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PullStep {
    /// Check again at this instant.
    CheckAt(Instant),
    /// Wait for an offer: no link has a newer revision.
    Idle,
    /// Send a pull now.
    Pull,
}

/// What another VM says it knows.
#[derive(Debug)]
struct Offer {
    link: LinkId,
    proximity: Proximity,
    revision: Revision,
}

#[derive(Debug, Default)]
struct Inner {
    /// Until when the link that was asked may answer.
    asked: Option<(LinkId, Instant)>,
    far_patience: Duration,
    lacking_since: Option<Instant>,
    last_answer: Option<Instant>,
    /// Sorted by link.
    offers: Vec<Offer>,
}

/// Offers of news on all links of this VM.
#[derive(Debug, Default)]
pub struct PullScheduler(Mutex<Inner>);

impl PullScheduler {
    /// Notes what the VM at the other end of a link knows.
    pub fn record_offer(&self, link: LinkId, proximity: Proximity, revision: Revision) {
        let mut inner = lock(&self.0);
        match inner.offers.binary_search_by_key(&link, |known| known.link) {
            Ok(index) => inner.offers[index].revision = inner.offers[index].revision.max(revision),
            Err(index) => inner.offers.insert(index, Offer { link, proximity, revision }),
        }
    }

    /// Notes that a link has answered.
    pub fn record_answer(&self, link: LinkId, now: Instant) {
        let mut inner = lock(&self.0);
        inner.last_answer = Some(now);
        if inner.asked.is_some_and(|(asked, _)| asked == link) {
            inner.asked = None;
        }
    }

    /// Notes that a link has ended.
    pub fn remove_link(&self, link: LinkId) {
        let mut inner = lock(&self.0);
        inner.offers.retain(|known| known.link != link);
        if inner.asked.is_some_and(|(asked, _)| asked == link) {
            inner.asked = None;
        }
    }

    /// Returns what a link does next; `patience` is the time in which this VM may hear of a change by itself.
    pub fn next_step(
        &self,
        link: LinkId,
        own: Revision,
        patience: Duration,
        now: Instant,
    ) -> PullStep {
        let mut inner = lock(&self.0);
        if inner.offers.iter().all(|offer| offer.revision <= own) {
            inner.lacking_since = None;
            return PullStep::Idle;
        }
        let since = match inner.lacking_since {
            Some(since) => since,
            None => {
                inner.far_patience = FAR_PATIENCE.mul_f64(rand::random_range(0.2..1.0));
                *inner.lacking_since.insert(now)
            }
        };
        let Some(offer) = inner.best_offer(own).filter(|best| best.link == link) else {
            // The better offer may end with its link.
            return PullStep::CheckAt(now + GATHER);
        };
        let mut due = since + patience;
        if offer.proximity == Proximity::OtherRegion && own > 0 {
            due += inner.far_patience;
        }
        if let Some(last) = inner.last_answer {
            due = due.max(last + GATHER);
        }
        if let Some((_, until)) = inner.asked {
            due = due.max(until);
        }
        if due > now {
            return PullStep::CheckAt(due);
        }
        inner.asked = Some((link, now + ANSWER_TIMEOUT));
        PullStep::Pull
    }
}

impl Inner {
    /// Returns the nearest offer of something that is lacking; one that was asked in vain comes last.
    fn best_offer(&self, own: Revision) -> Option<&Offer> {
        let silent = self.asked.map(|(link, _)| link);
        let wanted = self.offers.iter().filter(|offer| offer.revision > own);
        wanted.min_by_key(|offer| (Some(offer.link) == silent, offer.proximity, offer.link))
    }
}
