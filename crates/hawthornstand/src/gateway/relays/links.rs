//! Links to other VMs, and the requests that are offered to them: searches to the relays of this VM's region and, while this
//! VM reaches too few backend servers, requests of any kind to VMs that reach them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::error::{ErrorKind, Failure};
use crate::gateway::directory::RelayRole;
use crate::gateway::not_run_promise;
use crate::gateway::peer_link;
use crate::gateway::peers::Peers;
use crate::gateway::relays::choice;
use crate::gateway::relays::host::RelayHost;
use crate::gateway::relays::link::{PendingSearch, RelayLink, SearchEvent};
use crate::gateway::relays::messages::{RELAY_PATH, REQUESTS_HEADER};
use crate::gateway::relays::offer::{Offer, OfferResult, OfferTarget, RequestAnswer};
use crate::gateway::server::Proximity;
use crate::gateway::telemetry::Telemetry;
use crate::locks::lock;
use crate::messages::Outcome;
use crate::process::timer::TimerService;

/// Number of relays that a VM has links to: one to use and one to turn to.
const LINKS_PER_VM: usize = 2;
/// Number of VMs that a VM which reaches too few backend servers has usable links to.
const HELPER_LINKS: usize = 4;
/// Limit on its links, also to VMs that refuse its requests.
const MAX_LINKS: usize = 12;
/// Time after the last request that was handed over until the links are closed.
const HELPER_HOLD_TIME: Duration = Duration::from_secs(5);
/// Longest wait of a request for the first link.
const LINK_WAIT: Duration = Duration::from_millis(250);
/// Number of VMs that a request is offered to that this VM cannot serve.
const MAX_HANDOVER_OFFERS: usize = 4;
/// Requests that wait on a link before another one at a greater distance is used.
const PENDING_STEP: usize = 4;
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
    /// Until when this VM wants links to VMs that take its requests.
    helpers_until: Mutex<Option<Instant>>,
    host: Arc<RelayHost>,
    /// In the order in which they are used.
    links: Mutex<Vec<Arc<RelayLink>>>,
    next_id: AtomicU64,
    opened: Notify,
    /// Number of links that are being opened.
    opening: AtomicUsize,
    peers: Arc<Peers>,
    /// Relays to which no link is opened before an instant.
    retry_at: Mutex<Vec<(SocketAddr, Instant)>>,
    telemetry: Arc<Telemetry>,
    /// Whether relays search for this VM.
    uses_relays: AtomicBool,
}

impl RelayLinks {
    /// Creates an empty set of links.
    pub fn new(host: Arc<RelayHost>, peers: Arc<Peers>, telemetry: Arc<Telemetry>) -> Self {
        Self {
            helpers_until: Mutex::default(),
            host,
            links: Mutex::default(),
            next_id: AtomicU64::new(0),
            opened: Notify::new(),
            opening: AtomicUsize::new(0),
            peers,
            retry_at: Mutex::default(),
            telemetry,
            uses_relays: AtomicBool::new(false),
        }
    }

    /// Keeps links to relays open until the process ends.
    pub async fn run(self: Arc<Self>, timer: TimerService) {
        let mut ticks = timer.subscribe(MAINTENANCE_INTERVAL);
        while ticks.next().await.is_some() {
            self.maintain();
        }
    }

    /// Returns whether this VM wants links to VMs that take its requests.
    fn wants_helpers(&self) -> bool {
        lock(&self.helpers_until).is_some_and(|until| until > Instant::now())
    }

    /// Updates the role of this VM and opens links that are missing.
    fn maintain(self: &Arc<Self>) {
        let directory = &self.peers.state.directory;
        let relays = self.update_role();
        let uses_relays = !directory.relay_role().is_relay && directory.has_relayed_shards();
        self.uses_relays.store(uses_relays, Ordering::Relaxed);
        let wants_helpers = self.wants_helpers();
        let now = Instant::now();
        lock(&self.retry_at).retain(|(_, at)| *at > now);
        let mut links = lock(&self.links);
        links.retain(|link| !link.is_closed());
        if !uses_relays && !wants_helpers {
            links.drain(..).for_each(|link| link.retire());
            return;
        }
        let mut wanted = if uses_relays { relays } else { Vec::new() };
        let links_wanted = if wants_helpers { HELPER_LINKS } else { LINKS_PER_VM };
        if wants_helpers {
            wanted.extend(self.helpers());
        }
        // Links to VMs that are not wanted any more come last.
        let rank = |link: &Arc<RelayLink>| {
            wanted.iter().position(|vm| *vm == link.address).unwrap_or(wanted.len())
        };
        links.sort_by_key(rank);
        let usable = links.iter().filter(|link| link.is_usable(now)).count();
        if usable > links_wanted
            && let Some(last) = links.pop()
        {
            last.retire();
        }
        // The first VMs are tried again, so that this one returns to them once they can be reached.
        let preferred = wanted.iter().take(LINKS_PER_VM);
        let is_missing = |vm: &&SocketAddr| !links.iter().any(|link| link.address == **vm);
        let mut missing =
            links_wanted.saturating_sub(usable).max(preferred.filter(is_missing).count());
        missing = missing.min(MAX_LINKS.saturating_sub(links.len()));
        for vm in &wanted {
            if missing == 0 {
                break;
            }
            let is_linked = links.iter().any(|link| link.address == *vm);
            let mut retry_at = lock(&self.retry_at);
            if is_linked || retry_at.iter().any(|(address, _)| address == vm) {
                continue;
            }
            retry_at.push((*vm, now + RECONNECT_DELAY));
            missing -= 1;
            self.opening.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(Arc::clone(self).open(*vm));
        }
    }

    /// Returns the VMs that may take requests of this one, in its order: all relays, or all VMs in a fleet without relays.
    fn helpers(&self) -> Vec<SocketAddr> {
        let directory = &self.peers.state.directory;
        let location = &self.peers.location;
        let profiles = self.peers.profiles();
        let own = self.peers.own_address;
        if directory.relay_role().relays == 0 {
            return choice::helpers(own, location, profiles.iter());
        }
        let regions = location.region_names();
        let count = choice::relays_per_region(
            directory.fleet_size(),
            regions.len(),
            directory.max_relays(),
        );
        let mut relays = Vec::new();
        for region in regions {
            relays.extend(choice::rank(&profiles, location, region).into_iter().take(count));
        }
        choice::helpers(own, location, relays.into_iter())
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

    /// Returns how far away a VM is.
    fn proximity(&self, vm: SocketAddr) -> Proximity {
        let profiles = self.peers.profiles.borrow();
        match profiles.binary_search_by_key(&vm, |profile| profile.address) {
            Ok(index) => self.peers.location.proximity(&profiles[index].failure_domain),
            Err(_) => Proximity::OtherRegion,
        }
    }

    /// Opens a link and runs it until it closes.
    async fn open(self: Arc<Self>, relay: SocketAddr) {
        let opened = tokio::time::timeout(OPEN_TIMEOUT, peer_link::open(relay, RELAY_PATH)).await;
        self.opening.fetch_sub(1, Ordering::Relaxed);
        let (socket, headers) = match opened {
            Ok(Ok(opened)) => opened,
            Ok(Err(error)) => {
                self.opened.notify_waiters();
                log::debug!(relay = relay.to_string(); "failed to open a link to a relay: {error}");
                return;
            }
            Err(_) => {
                self.opened.notify_waiters();
                log::debug!(relay = relay.to_string(); "opening a link to a relay timed out");
                return;
            }
        };
        let carries_requests = headers.contains_key(REQUESTS_HEADER);
        let (link, to_send) =
            RelayLink::new(relay, self.proximity(relay), carries_requests, Instant::now());
        let link = Arc::new(link);
        lock(&self.links).push(Arc::clone(&link));
        self.opened.notify_waiters();
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

    /// Offers a search to the relays, if this VM uses them.
    pub async fn search(&self, offer: &Offer<'_>) -> OfferResult {
        if !self.uses_relays.load(Ordering::Relaxed) {
            return OfferResult::NotAnswered { attempts: 0 };
        }
        self.offer(offer, 0, Reason::Relayed).await
    }

    /// Offers a request to other VMs because this one reaches too few backend servers.
    ///
    /// `attempts` is the number of attempts that this VM may have made on each service.
    pub async fn hand_over(self: &Arc<Self>, offer: &Offer<'_>, attempts: u32) -> OfferResult {
        let was_wanted = self.wants_helpers();
        *lock(&self.helpers_until) = Some(Instant::now() + HELPER_HOLD_TIME);
        if !was_wanted {
            self.maintain();
        }
        self.wait_for_link(offer).await;
        self.offer(offer, attempts, Reason::OutOfReach).await
    }

    /// Waits while links are being opened and none is open.
    async fn wait_for_link(&self, offer: &Offer<'_>) {
        let end = Instant::now() + LINK_WAIT.min(offer.time_budget.left());
        loop {
            let opened = self.opened.notified();
            if !lock(&self.links).is_empty() || self.opening.load(Ordering::Relaxed) == 0 {
                return;
            }
            if tokio::time::timeout_at(end, opened).await.is_err() {
                return;
            }
        }
    }

    /// Returns the usable links in the order in which a request is offered on them.
    fn offer_order(&self, offer: &Offer<'_>, reason: Reason) -> Vec<Arc<RelayLink>> {
        let now = Instant::now();
        let mut links: Vec<Arc<RelayLink>> = lock(&self.links).clone();
        links.retain(|link| link.is_usable(now));
        if let OfferTarget::Service(_) = offer.target {
            links.retain(|link| link.carries_requests);
        }
        if reason == Reason::OutOfReach {
            // The sort is stable, so that links with equal load keep their order.
            links.sort_by_key(|link| (link.pending() / PENDING_STEP, link.proximity));
        }
        links
    }

    /// Offers a request on the open links.
    async fn offer(&self, offer: &Offer<'_>, attempts: u32, reason: Reason) -> OfferResult {
        let mut attempts = attempts;
        let mut refusal = None;
        let mut offers = 0;
        let mut reoffered = false;
        for link in &self.offer_order(offer, reason) {
            if offers == reason.max_offers()
                || offer.time_budget.is_spent()
                || attempts >= offer.route.max_attempts
            {
                break;
            }
            if reason == Reason::Relayed
                && !reoffered
                && attempts > 0
                && attempts + ATTEMPTS_UNACCEPTED >= offer.route.max_attempts
            {
                // The attempt that is left is for this VM.
                break;
            }
            let Some(mut pending) = self.send(link, offer, attempts) else { continue };
            offers += 1;
            let round_trip = link.proximity.assumed_round_trip();
            let accept_end = if offer.is_idempotent() {
                Instant::now() + ACCEPT_TIMEOUT + round_trip
            } else {
                // Offered once more, it might run twice.
                offer.time_budget.deadline()
            };
            match pending.next(accept_end).await {
                Some(SearchEvent::Accepted) => {
                    link.record_accepted();
                    offer.log(reason.accepted(), link.address);
                    reason.accepted_counter(&self.telemetry).inc();
                }
                Some(SearchEvent::Refused { .. }) => {
                    pending.finish();
                    offer.request.attempt_outcomes.record_not_run();
                    offer.log("refused by a relay", link.address);
                    link.pause_after_refusal(Instant::now());
                    continue;
                }
                Some(SearchEvent::Answered(_) | SearchEvent::Failed(_)) | None => {
                    attempts += ATTEMPTS_UNACCEPTED;
                    offer.log("not accepted by a relay in time", link.address);
                    link.avoid(Instant::now());
                    if offer.is_idempotent() {
                        continue;
                    }
                    break;
                }
            }
            match self.wait_for_answer(pending, offer).await {
                Ended::GivenBack { attempts: made } => {
                    attempts += made;
                    if !offer.is_idempotent() || !offer.needs.take_extra_attempts() {
                        return OfferResult::NotAnswered { attempts };
                    }
                    reoffered = true;
                }
                Ended::Lost => {
                    return OfferResult::NotAnswered { attempts: attempts + ATTEMPTS_ACCEPTED };
                }
                // Another VM may reach the services.
                Ended::Finished(OfferResult::Failed(failure))
                    if reason == Reason::OutOfReach
                        && failure.kind == ErrorKind::NoReplica
                        && failure.outcome == Outcome::NotRun =>
                {
                    refusal = Some(failure);
                }
                Ended::Finished(result) => return result,
            }
        }
        if offers > 0 || reason == Reason::OutOfReach {
            reason.failure_counter(&self.telemetry).inc();
        }
        match refusal {
            Some(failure) if attempts == 0 => OfferResult::Failed(failure),
            _ => OfferResult::NotAnswered { attempts },
        }
    }

    /// Sends a request to another VM; none if the link is stuck or the request may not be sent any more.
    fn send<'a>(
        &self,
        link: &'a RelayLink,
        offer: &Offer<'_>,
        attempts: u32,
    ) -> Option<PendingSearch<'a>> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let pending = link.send(id, offer.to_message(id, attempts))?;
        offer.request.attempt_outcomes.begin_send().then_some(pending)
    }

    /// Returns the answer of another VM, or a failure in its place if it promises more than its backend server stated.
    fn check_answer(
        &self,
        answer: RequestAnswer,
        offer: &Offer<'_>,
        vm: SocketAddr,
    ) -> OfferResult {
        let RequestAnswer::Forwarded(forwarded) = &answer else {
            return OfferResult::Answered(answer);
        };
        match not_run_promise::check_forwarded(forwarded, self.host.protocol()) {
            Ok(()) => OfferResult::Answered(answer),
            Err(failure) => {
                offer.log("the answer of another VM is not passed on", vm);
                OfferResult::Failed(failure)
            }
        }
    }

    /// Waits until a VM that has accepted a request answers.
    async fn wait_for_answer(&self, mut pending: PendingSearch<'_>, offer: &Offer<'_>) -> Ended {
        let deadline = offer.time_budget.deadline();
        let link = pending.link;
        loop {
            let until = deadline.min(Instant::now() + SILENCE_TIMEOUT);
            match pending.next(until).await {
                Some(SearchEvent::Answered(answer)) => {
                    pending.finish();
                    return Ended::Finished(self.check_answer(answer, offer, link.address));
                }
                Some(SearchEvent::Failed(failure)) => {
                    pending.finish();
                    if failure.outcome == Outcome::NotRun {
                        offer.request.attempt_outcomes.record_not_run();
                    }
                    return Ended::Finished(OfferResult::Failed(failure));
                }
                Some(SearchEvent::Accepted) => {}
                Some(SearchEvent::Refused { attempts }) => {
                    pending.finish();
                    link.pause_after_refusal(Instant::now());
                    offer.log("the relay no longer reaches the backend servers", link.address);
                    return Ended::GivenBack { attempts: attempts.unwrap_or(ATTEMPTS_ACCEPTED) };
                }
                None if offer.time_budget.is_spent() => {
                    let failure = Failure::new(ErrorKind::DeadlineExceeded, "no answer in time");
                    return Ended::Finished(OfferResult::Failed(failure));
                }
                None => {
                    if !pending.is_lost() && link.silence() < SILENCE_TIMEOUT {
                        continue;
                    }
                    link.avoid(Instant::now());
                    offer.log("the relay was lost while it ran the search", link.address);
                    self.telemetry.relay_failures.inc();
                    return Ended::Lost;
                }
            }
        }
    }
}

/// How a request ended that another VM had accepted.
enum Ended {
    Finished(OfferResult),
    /// The VM has lost contact to the backend servers and has ended its attempts, at most this many on a service.
    GivenBack {
        attempts: u32,
    },
    /// The VM may still run the request.
    Lost,
}

/// Why a request is offered to other VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reason {
    /// This VM reaches too few backend servers.
    OutOfReach,
    /// Relays search the shards for this VM.
    Relayed,
}

impl Reason {
    fn max_offers(self) -> usize {
        match self {
            Self::OutOfReach => MAX_HANDOVER_OFFERS,
            Self::Relayed => LINKS_PER_VM,
        }
    }

    fn accepted(self) -> &'static str {
        match self {
            Self::OutOfReach => "handed to another VM: this one reaches too few backend servers",
            Self::Relayed => "handed to a relay",
        }
    }

    fn accepted_counter(self, telemetry: &Telemetry) -> &Counter {
        match self {
            Self::OutOfReach => &telemetry.handed_over,
            Self::Relayed => &telemetry.relayed_searches,
        }
    }

    fn failure_counter(self, telemetry: &Telemetry) -> &Counter {
        match self {
            Self::OutOfReach => &telemetry.handover_failures,
            Self::Relayed => &telemetry.relay_failures,
        }
    }
}
