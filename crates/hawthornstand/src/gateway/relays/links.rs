//! Links to the relays of this VM's region, and the searches that they run for it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hyper::header::HeaderMap;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::error::{ErrorKind, Failure};
use crate::gateway::call::OutboundRequest;
use crate::gateway::directory::RelayRole;
use crate::gateway::model::{Route, ShardSet};
use crate::gateway::peer_link;
use crate::gateway::peers::Peers;
use crate::gateway::relays::choice;
use crate::gateway::relays::host::{self, RelayHost};
use crate::gateway::relays::messages::{RELAY_PATH, RelayMessage, RelayedSearch, SearchId};
use crate::gateway::scatter::MergedAnswer;
use crate::gateway::telemetry::Telemetry;
use crate::gateway::time_budget::TimeBudget;
use crate::ids::{Fingerprint, id_text};
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
/// Time without a sent message after which a ping is sent.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a received message after which a link is closed; a relay answers each ping.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a relay accepts a search: a round trip within the region and a pause of a busy process.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(40);
/// Time for reading what has arrived before a timer fired.
const UNREAD_TIMEOUT: Duration = Duration::from_millis(2);
/// Attempts on each shard that a relay may have made of a search that it did not accept in time, which is cancelled.
const ATTEMPTS_UNACCEPTED: u32 = 1;
/// The same of a search that it accepted: an attempt and a hedge.
const ATTEMPTS_ACCEPTED: u32 = 2;
/// Time without a message from a relay that runs a search after which it counts as silent: three of its pings.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which a relay that did not accept a search is not used, before it doubles.
const MIN_AVOID_TIME: Duration = Duration::from_secs(1);
const MAX_AVOID_TIME: Duration = Duration::from_secs(8);
/// Time for which a relay that refused a search is not used.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);
/// Messages buffered for a link that sends slowly; a search that does not fit is run by this VM.
const SEND_BUFFER: usize = 64;

/// What a relay says of one search.
#[derive(Debug)]
enum SearchEvent {
    Accepted,
    Answered(MergedAnswer),
    Failed(Failure),
    Refused,
}

/// Whether a relay is used.
#[derive(Clone, Copy, Debug)]
struct Avoidance {
    /// Searches in a row that the relay did not accept.
    failures: u32,
    until: Instant,
}

/// An open link to a relay.
struct RelayLink {
    address: SocketAddr,
    avoidance: Mutex<Avoidance>,
    /// Whether the link closes once no search waits on it.
    is_retired: AtomicBool,
    last_received: Mutex<Instant>,
    /// Searches without a final answer, sorted by id.
    pending: Mutex<Vec<(SearchId, mpsc::UnboundedSender<SearchEvent>)>>,
    outgoing: mpsc::Sender<RelayMessage>,
}

impl RelayLink {
    /// Returns whether searches are sent to the relay.
    fn is_usable(&self, now: Instant) -> bool {
        !self.outgoing.is_closed() && lock(&self.avoidance).until <= now
    }

    /// Closes the link once no search waits on it.
    fn retire(&self) {
        self.is_retired.store(true, Ordering::Relaxed);
    }

    /// Stops using the relay for a while, longer with each failure in a row.
    fn avoid(&self, now: Instant) {
        let mut avoidance = lock(&self.avoidance);
        let time = MIN_AVOID_TIME * 2_u32.pow(avoidance.failures.min(8));
        avoidance.failures += 1;
        avoidance.until = now + time.min(MAX_AVOID_TIME);
    }

    /// Stops using a relay that refused a search for a moment: it is stopping, or is about to learn of new shards.
    fn pause_after_refusal(&self, now: Instant) {
        lock(&self.avoidance).until = now + REFUSAL_PAUSE;
    }

    /// Passes a message of the relay to the search that it is about.
    fn receive(&self, message: RelayMessage) {
        let (id, event) = match message {
            RelayMessage::Accepted { id } => (id, SearchEvent::Accepted),
            RelayMessage::Answered { id, body, missing, signatures } => {
                (id, SearchEvent::Answered(MergedAnswer { body, missing, signatures }))
            }
            RelayMessage::Failed { id, refusal } => {
                (id, SearchEvent::Failed(Failure::from_refusal(refusal)))
            }
            RelayMessage::Refused { id } => (id, SearchEvent::Refused),
            RelayMessage::Ping | RelayMessage::Cancel { .. } | RelayMessage::Search { .. } => {
                return;
            }
        };
        let pending = lock(&self.pending);
        // The search may have been cancelled.
        let Ok(index) = pending.binary_search_by_key(&id, |(known, _)| *known) else { return };
        let _ = pending[index].1.send(event);
    }
}

/// A search that a relay runs; dropping it cancels the search unless it has ended.
struct PendingSearch<'a> {
    events: mpsc::UnboundedReceiver<SearchEvent>,
    has_ended: bool,
    id: SearchId,
    link: &'a RelayLink,
}

impl Drop for PendingSearch<'_> {
    fn drop(&mut self) {
        lock(&self.link.pending).retain(|(known, _)| *known != self.id);
        if !self.has_ended {
            // A full buffer means that the link is stuck; its end cancels the search, too.
            let _ = self.link.outgoing.try_send(RelayMessage::Cancel { id: self.id });
        }
    }
}

impl PendingSearch<'_> {
    /// Waits for the next event until an instant; none if there is none, or if the link has closed.
    async fn next(&mut self, until: Instant) -> Option<SearchEvent> {
        if let Ok(event) = tokio::time::timeout_at(until, self.events.recv()).await {
            return event;
        }
        // After a pause of this VM, the timer fires before what has arrived meanwhile is read.
        tokio::time::timeout(UNREAD_TIMEOUT, self.events.recv()).await.ok().flatten()
    }
}

/// How a search ended that was offered to relays.
pub enum RelayResult {
    Answered(MergedAnswer),
    Failed(Failure),
    /// No relay answered. Relays may have made this many attempts on each shard.
    NotAnswered {
        attempts: u32,
    },
}

/// A search to hand to a relay.
pub struct SearchOffer<'a> {
    pub fingerprint: Fingerprint,
    pub request: &'a Arc<OutboundRequest>,
    pub route: &'a Route,
    pub shard_set: &'a ShardSet,
    pub time_budget: &'a TimeBudget,
}

impl SearchOffer<'_> {
    /// Returns the search as a relay gets it after others may have made some attempts.
    fn to_message(&self, attempts: u32) -> RelayedSearch {
        RelayedSearch {
            body: self.request.body.clone(),
            fingerprint: self.fingerprint,
            headers: header_list(&self.request.headers),
            max_attempts: self.route.max_attempts.saturating_sub(attempts).max(1),
            method: self.request.method.to_string(),
            min_shard_fraction: self.shard_set.min_shard_fraction,
            priority: self.route.priority,
            request_id: self.request.request_id.clone(),
            shards: self.shard_set.services.clone(),
            target_latency_ms: self.route.target_latency.as_millis() as u64,
            time_left_ms: self.time_budget.left().as_millis() as u64,
            time_spent_ms: self.time_budget.spent().as_millis() as u64,
            top_records: self.shard_set.top_records,
            uri: self.request.uri.to_string(),
        }
    }

    /// Logs what became of the offer.
    fn log(&self, decision: &str, relay: SocketAddr) {
        log::info!(
            request = id_text(&self.request.request_id).as_ref(),
            relay = relay.to_string(),
            waited_ms = self.time_budget.spent().as_millis() as u64;
            "{decision}"
        );
    }
}

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
        links.retain(|link| !link.outgoing.is_closed());
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
        let now = Instant::now();
        let (outgoing, to_send) = mpsc::channel(SEND_BUFFER);
        let link = Arc::new(RelayLink {
            address: relay,
            avoidance: Mutex::new(Avoidance { failures: 0, until: now }),
            is_retired: AtomicBool::new(false),
            last_received: Mutex::new(now),
            pending: Mutex::default(),
            outgoing,
        });
        lock(&self.links).push(Arc::clone(&link));
        log::info!(relay = relay.to_string(); "link to a relay opened");
        let reason = run_link(&link, socket, to_send, &self.telemetry).await;
        log::info!(relay = relay.to_string(); "link to a relay closed: {reason}");
        // Ends the searches that wait on the link.
        lock(&link.pending).clear();
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
                    lock(&link.avoidance).failures = 0;
                    offer.log("handed to a relay", link.address);
                    self.telemetry.relayed_searches.inc();
                    return self.wait_for_answer(pending, offer, attempts).await;
                }
                Some(SearchEvent::Refused) => {
                    pending.has_ended = true;
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
        let (sender, events) = mpsc::unbounded_channel();
        {
            let mut pending = lock(&link.pending);
            let index = pending.partition_point(|(known, _)| *known < id);
            pending.insert(index, (id, sender));
        }
        let mut pending = PendingSearch { events, has_ended: true, id, link };
        let search = Box::new(offer.to_message(attempts));
        link.outgoing.try_send(RelayMessage::Search { id, search }).ok()?;
        pending.has_ended = false;
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
                    pending.has_ended = true;
                    return RelayResult::Answered(answer);
                }
                Some(SearchEvent::Failed(failure)) => {
                    pending.has_ended = true;
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
                    let silence = lock(&link.last_received).elapsed();
                    if !pending.events.is_closed() && silence < SILENCE_TIMEOUT {
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

/// Exchanges messages on a link until it closes; returns the reason.
async fn run_link(
    link: &RelayLink,
    mut socket: WebSocketStream<TcpStream>,
    mut to_send: mpsc::Receiver<RelayMessage>,
    telemetry: &Telemetry,
) -> String {
    let mut ping_at = Instant::now() + PING_INTERVAL;
    loop {
        if link.is_retired.load(Ordering::Relaxed) && lock(&link.pending).is_empty() {
            return "no longer used".to_string();
        }
        let idle_end = *lock(&link.last_received) + IDLE_TIMEOUT;
        let message = tokio::select! {
            message = tokio::time::timeout_at(idle_end, socket.next()) => {
                match message {
                    Ok(Some(Ok(Message::Binary(bytes)))) => {
                        *lock(&link.last_received) = Instant::now();
                        match ciborium::from_reader(bytes.as_ref()) {
                            Ok(message) => link.receive(message),
                            Err(error) => return format!("malformed message: {error}"),
                        }
                    }
                    Ok(Some(Ok(_))) => {}
                    Ok(Some(Err(error))) => return error.to_string(),
                    Ok(None) => return "closed by the relay".to_string(),
                    Err(_) => return "no message within the idle timeout".to_string(),
                }
                continue;
            }
            message = to_send.recv() => match message {
                Some(message) => message,
                None => return "no longer held".to_string(),
            },
            () = tokio::time::sleep_until(ping_at) => RelayMessage::Ping,
        };
        ping_at = Instant::now() + PING_INTERVAL;
        let bytes = match host::encode(&message) {
            Ok(bytes) => bytes,
            Err(error) => return error,
        };
        telemetry.link_bytes.inc_by(bytes.len() as u64);
        if let Err(error) = socket.send(Message::Binary(bytes)).await {
            return error.to_string();
        }
    }
}

/// Returns names and values of headers.
fn header_list(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let mut list = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        list.push((name.as_str().to_string(), Bytes::copy_from_slice(value.as_bytes())));
    }
    list
}
