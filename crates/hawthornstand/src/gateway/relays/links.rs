//! Links to the relays of this VM's region, and the searches that are offered to them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

use crate::error::{ErrorKind, Failure};
use crate::gateway::directory::RelayRole;
use crate::gateway::peer_link;
use crate::gateway::peers::Peers;
use crate::gateway::relays::choice;
use crate::gateway::relays::host::RelayHost;
use crate::gateway::relays::link::{PendingSearch, RelayLink, SearchEvent};
use crate::gateway::relays::messages::RELAY_PATH;
use crate::gateway::relays::offer::{RelayResult, SearchOffer};
use crate::gateway::telemetry::Telemetry;
use crate::locks::lock;
use crate::messages::Outcome;
use crate::process::timer::TimerService;

/// Number of relays that a VM has links to: one to use and one to turn to.
const LINKS_PER_VM: usize = 2;
/// Interval at which links are opened, checked and replaced.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for opening a link.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a failed or closed link before the next attempt to open one to the same relay.
const RECONNECT_DELAY: Duration = Duration::from_secs(2);
/// Time within which a relay accepts a search: a round trip within the region and a pause of a busy process.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(40);
/// Attempts on each shard that a relay may have made of a search that it did not accept in time, which is cancelled.
const ATTEMPTS_UNACCEPTED: u32 = 1;
/// The same of a search that it accepted: an attempt and a hedge.
const ATTEMPTS_ACCEPTED: u32 = 2;
/// Time without a message from a relay that runs a search after which it counts as silent: three of its pings.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// The links of this VM to relays.
pub struct RelayLinks {
    host: Arc<RelayHost>,
    /// In the order in which they are used.
    links: Mutex<Vec<Arc<RelayLink>>>,
    next_id: AtomicU64,
    peers: Arc<Peers>,
    /// Relays to which no link is opened before an instant.
    retry_at: Mutex<Vec<(SocketAddr, Instant)>>,
    telemetry: Arc<Telemetry>,
}

impl RelayLinks {
    /// Creates an empty set of links.
    pub fn new(host: Arc<RelayHost>, peers: Arc<Peers>, telemetry: Arc<Telemetry>) -> Self {
        Self {
            host,
            links: Mutex::default(),
            next_id: AtomicU64::new(0),
            peers,
            retry_at: Mutex::default(),
            telemetry,
        }
    }

    /// Keeps links to relays open until the process ends.
    pub async fn run(self: Arc<Self>, timer: TimerService) {
        let mut ticks = timer.subscribe(MAINTENANCE_INTERVAL);
        while ticks.next().await.is_some() {
            self.maintain();
        }
    }

    /// Updates the role of this VM and opens links that are missing.
    fn maintain(self: &Arc<Self>) {
        let directory = &self.peers.state.directory;
        let wanted = self.update_role();
        let is_relay = directory.relay_role().is_relay;
        let now = Instant::now();
        lock(&self.retry_at).retain(|(_, at)| *at > now);
        let mut links = lock(&self.links);
        links.retain(|link| !link.is_closed());
        if is_relay || !directory.has_relayed_shards() {
            links.drain(..).for_each(|link| link.retire());
            return;
        }
        // Links to relays that are not wanted any more come last.
        let rank = |link: &Arc<RelayLink>| {
            wanted.iter().position(|relay| *relay == link.address).unwrap_or(wanted.len())
        };
        links.sort_by_key(rank);
        let usable = links.iter().filter(|link| link.is_usable(now)).count();
        if usable > LINKS_PER_VM
            && let Some(last) = links.pop()
        {
            last.retire();
        }
        // The first relays are tried again, so that a VM returns to them once they can be reached.
        let preferred = wanted.iter().take(LINKS_PER_VM);
        let is_missing = |relay: &&SocketAddr| !links.iter().any(|link| link.address == **relay);
        let mut missing =
            LINKS_PER_VM.saturating_sub(usable).max(preferred.filter(is_missing).count());
        for relay in &wanted {
            if missing == 0 {
                break;
            }
            let is_linked = links.iter().any(|link| link.address == *relay);
            let mut retry_at = lock(&self.retry_at);
            if is_linked || retry_at.iter().any(|(address, _)| address == relay) {
                continue;
            }
            retry_at.push((*relay, now + RECONNECT_DELAY));
            missing -= 1;
            tokio::spawn(Arc::clone(self).open(*relay));
        }
    }

    /// Updates the role of this VM; returns the relays that it uses, in its order.
    fn update_role(&self) -> Vec<SocketAddr> {
        let directory = &self.peers.state.directory;
        let location = &self.peers.location;
        let regions = location.region_count();
        let count =
            choice::relays_per_region(directory.fleet_size(), regions, directory.max_relays());
        let profiles = self.peers.profiles();
        let ranked = choice::rank(&profiles, location, &location.region);
        let own = self.peers.own_address;
        let is_chosen = ranked.iter().take(count).any(|relay| relay.address == own);
        let is_relay = count > 0 && (is_chosen || self.host.links() > 0);
        // Without others to turn to, every VM searches for itself.
        let relays = if ranked.len() > count { count * regions } else { 0 };
        directory.set_relay_role(RelayRole { is_relay, relays });
        // Further ones follow, in case that the first ones cannot be reached.
        let mut wanted = choice::order(own, location, &ranked[..ranked.len().min(count)]);
        let reserve = &ranked[ranked.len().min(count)..ranked.len().min(count * 2)];
        wanted.extend(choice::order(own, location, reserve));
        wanted
    }

    /// Opens a link and runs it until it closes.
    async fn open(self: Arc<Self>, relay: SocketAddr) {
        let socket = match tokio::time::timeout(OPEN_TIMEOUT, peer_link::open(relay, RELAY_PATH))
            .await
        {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) => {
                log::debug!(relay = relay.to_string(); "failed to open a link to a relay: {error}");
                return;
            }
            Err(_) => {
                log::debug!(relay = relay.to_string(); "opening a link to a relay timed out");
                return;
            }
        };
        let (link, to_send) = RelayLink::new(relay, Instant::now());
        let link = Arc::new(link);
        lock(&self.links).push(Arc::clone(&link));
        log::info!(relay = relay.to_string(); "link to a relay opened");
        let reason = link.run(socket, to_send, &self.telemetry).await;
        log::info!(relay = relay.to_string(); "link to a relay closed: {reason}");
        lock(&self.links).retain(|open| !Arc::ptr_eq(open, &link));
    }

    /// Returns the relays that searches are sent to, in the order of use.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let links = lock(&self.links);
        links.iter().filter(|link| link.is_usable(now)).map(|link| link.address).collect()
    }

    /// Offers a search to the relays.
    pub async fn search(&self, offer: &SearchOffer<'_>) -> RelayResult {
        let mut attempts = 0;
        let links: Vec<Arc<RelayLink>> = lock(&self.links).clone();
        let mut offers = 0;
        for link in &links {
            if offers == LINKS_PER_VM || !link.is_usable(Instant::now()) {
                continue;
            }
            if attempts > 0 && attempts + ATTEMPTS_UNACCEPTED >= offer.route.max_attempts {
                // The attempt that is left is for this VM.
                break;
            }
            let Some(mut pending) = self.send(link, offer, attempts) else { continue };
            offers += 1;
            match pending.next(Instant::now() + ACCEPT_TIMEOUT).await {
                Some(SearchEvent::Accepted) => {
                    link.record_accepted();
                    offer.log("handed to a relay", link.address);
                    self.telemetry.relayed_searches.inc();
                    return self.wait_for_answer(pending, offer, attempts).await;
                }
                Some(SearchEvent::Refused) => {
                    pending.finish();
                    offer.request.attempt_outcomes.record_not_run();
                    offer.log("refused by a relay", link.address);
                    link.pause_after_refusal(Instant::now());
                    continue;
                }
                Some(SearchEvent::Answered(_) | SearchEvent::Failed(_)) | None => {
                    attempts += ATTEMPTS_UNACCEPTED;
                    offer.log("not accepted by a relay in time", link.address);
                }
            }
            link.avoid(Instant::now());
        }
        if offers > 0 {
            self.telemetry.relay_failures.inc();
        }
        RelayResult::NotAnswered { attempts }
    }

    /// Sends a search to a relay; none if the link is stuck or the request may not be sent any more.
    fn send<'a>(
        &self,
        link: &'a RelayLink,
        offer: &SearchOffer<'_>,
        attempts: u32,
    ) -> Option<PendingSearch<'a>> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let pending = link.send(id, offer.to_message(attempts))?;
        offer.request.attempt_outcomes.begin_send().then_some(pending)
    }

    /// Waits until a relay that has accepted a search answers.
    async fn wait_for_answer(
        &self,
        mut pending: PendingSearch<'_>,
        offer: &SearchOffer<'_>,
        attempts: u32,
    ) -> RelayResult {
        let deadline = offer.time_budget.deadline();
        let link = pending.link;
        loop {
            let until = deadline.min(Instant::now() + SILENCE_TIMEOUT);
            match pending.next(until).await {
                Some(SearchEvent::Answered(answer)) => {
                    pending.finish();
                    return RelayResult::Answered(answer);
                }
                Some(SearchEvent::Failed(failure)) => {
                    pending.finish();
                    if failure.outcome == Outcome::NotRun {
                        offer.request.attempt_outcomes.record_not_run();
                    }
                    return RelayResult::Failed(failure);
                }
                Some(SearchEvent::Accepted | SearchEvent::Refused) => {}
                None if offer.time_budget.is_spent() => {
                    let failure = Failure::new(ErrorKind::DeadlineExceeded, "no answer in time");
                    return RelayResult::Failed(failure);
                }
                None => {
                    if !pending.is_lost() && link.silence() < SILENCE_TIMEOUT {
                        continue;
                    }
                    link.avoid(Instant::now());
                    offer.log("the relay was lost while it ran the search", link.address);
                    self.telemetry.relay_failures.inc();
                    return RelayResult::NotAnswered { attempts: attempts + ATTEMPTS_ACCEPTED };
                }
            }
        }
    }
}
