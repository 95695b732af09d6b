//! One link to a relay, and the searches that wait on it.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::error::Failure;
use crate::gateway::relays::host;
use crate::gateway::relays::messages::{RelayMessage, SearchId};
use crate::gateway::relays::offer::RequestAnswer;
use crate::gateway::scatter::MergedAnswer;
use crate::gateway::server::Proximity;
use crate::gateway::telemetry::Telemetry;
use crate::locks::lock;

/// Time without a sent message after which a ping is sent.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a received message after which a link is closed; a relay answers each ping.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for reading what has arrived before a timer fired.
const UNREAD_TIMEOUT: Duration = Duration::from_millis(2);
/// Time for which a relay that did not accept a search is not used, before it doubles.
const MIN_AVOID_TIME: Duration = Duration::from_secs(1);
const MAX_AVOID_TIME: Duration = Duration::from_secs(8);
/// Time for which a relay that refused a search is not used, before it doubles.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);
const MAX_REFUSAL_PAUSE: Duration = Duration::from_millis(800);
/// Messages buffered for a link that sends slowly; a search that does not fit is run by this VM.
const SEND_BUFFER: usize = 64;

/// What a relay says of one search.
#[derive(Debug)]
pub enum SearchEvent {
    Accepted,
    Answered(RequestAnswer),
    Failed(Failure),
    /// It has made this many attempts on a service at most, if it says so.
    Refused {
        attempts: Option<u32>,
    },
}

/// Whether a relay is used.
#[derive(Clone, Copy, Debug)]
struct Avoidance {
    /// Searches in a row that the relay did not accept.
    failures: u32,
    /// Searches in a row that the relay refused.
    refusals: u32,
    until: Instant,
}

/// An open link to a relay.
pub struct RelayLink {
    pub address: SocketAddr,
    /// Whether the VM also runs requests to one service.
    pub carries_requests: bool,
    pub proximity: Proximity,
    avoidance: Mutex<Avoidance>,
    /// Whether the link closes once no search waits on it.
    is_retired: AtomicBool,
    last_received: Mutex<Instant>,
    /// Searches without a final answer, sorted by id.
    pending: Mutex<Vec<(SearchId, mpsc::UnboundedSender<SearchEvent>)>>,
    outgoing: mpsc::Sender<RelayMessage>,
}

impl RelayLink {
    /// Creates a link that has just been opened, and the receiver of the messages to send on it.
    pub fn new(
        address: SocketAddr,
        proximity: Proximity,
        carries_requests: bool,
        now: Instant,
    ) -> (Self, mpsc::Receiver<RelayMessage>) {
        let (outgoing, to_send) = mpsc::channel(SEND_BUFFER);
        let link = Self {
            address,
            carries_requests,
            proximity,
            avoidance: Mutex::new(Avoidance { failures: 0, refusals: 0, until: now }),
            is_retired: AtomicBool::new(false),
            last_received: Mutex::new(now),
            pending: Mutex::default(),
            outgoing,
        };
        (link, to_send)
    }

    /// Exchanges messages until the link closes, then ends the searches that wait on it; returns the reason.
    pub async fn run(
        &self,
        socket: WebSocketStream<TcpStream>,
        to_send: mpsc::Receiver<RelayMessage>,
        telemetry: &Telemetry,
    ) -> String {
        let reason = self.exchange(socket, to_send, telemetry).await;
        lock(&self.pending).clear();
        reason
    }

    /// Returns whether searches are sent to the relay.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.is_closed() && lock(&self.avoidance).until <= now
    }

    /// Returns whether the link has closed.
    pub fn is_closed(&self) -> bool {
        self.outgoing.is_closed()
    }

    /// Returns the time since the last message of the relay.
    pub fn silence(&self) -> Duration {
        lock(&self.last_received).elapsed()
    }

    /// Returns the number of searches that wait on the link.
    pub fn pending(&self) -> usize {
        lock(&self.pending).len()
    }

    /// Closes the link once no search waits on it.
    pub fn retire(&self) {
        self.is_retired.store(true, Ordering::Relaxed);
    }

    /// Stops using the relay for a while, longer with each failure in a row.
    pub fn avoid(&self, now: Instant) {
        let mut avoidance = lock(&self.avoidance);
        let time = MIN_AVOID_TIME * 2_u32.pow(avoidance.failures.min(8));
        avoidance.failures += 1;
        avoidance.until = now + time.min(MAX_AVOID_TIME);
    }

    /// Records that the relay accepted a search.
    pub fn record_accepted(&self) {
        let mut avoidance = lock(&self.avoidance);
        (avoidance.failures, avoidance.refusals) = (0, 0);
    }

    /// Stops using a relay that refused a search for a moment: it is stopping, is about to learn of new shards, or reaches no
    /// backend server.
    pub fn pause_after_refusal(&self, now: Instant) {
        let mut avoidance = lock(&self.avoidance);
        let pause = REFUSAL_PAUSE * 2_u32.pow(avoidance.refusals.min(8));
        avoidance.refusals += 1;
        avoidance.until = now + pause.min(MAX_REFUSAL_PAUSE);
    }

    /// Sends a search or request; none if the link is stuck.
    pub fn send(&self, id: SearchId, message: RelayMessage) -> Option<PendingSearch<'_>> {
        let (sender, events) = mpsc::unbounded_channel();
        {
            let mut pending = lock(&self.pending);
            let index = pending.partition_point(|(known, _)| *known < id);
            pending.insert(index, (id, sender));
        }
        let mut pending = PendingSearch { events, has_ended: true, id, link: self };
        self.outgoing.try_send(message).ok()?;
        pending.has_ended = false;
        Some(pending)
    }

    /// Passes a message of the relay to the search that it is about.
    fn receive(&self, message: RelayMessage) {
        let (id, event) = match message {
            RelayMessage::Accepted { id } => (id, SearchEvent::Accepted),
            RelayMessage::Answered { id, body, missing, signatures } => {
                let merged = MergedAnswer { body, missing, signatures };
                (id, SearchEvent::Answered(RequestAnswer::Merged(merged)))
            }
            RelayMessage::Responded { id, answer } => {
                (id, SearchEvent::Answered(RequestAnswer::Forwarded(answer)))
            }
            RelayMessage::Failed { id, refusal } => {
                (id, SearchEvent::Failed(Failure::from_refusal(refusal)))
            }
            RelayMessage::Refused { id, attempts } => (id, SearchEvent::Refused { attempts }),
            RelayMessage::Ping
            | RelayMessage::Cancel { .. }
            | RelayMessage::Request { .. }
            | RelayMessage::Search { .. } => return,
        };
        let pending = lock(&self.pending);
        // The search may have been cancelled.
        let Ok(index) = pending.binary_search_by_key(&id, |(known, _)| *known) else { return };
        let _ = pending[index].1.send(event);
    }

    /// Exchanges messages until the link closes; returns the reason.
    async fn exchange(
        &self,
        mut socket: WebSocketStream<TcpStream>,
        mut to_send: mpsc::Receiver<RelayMessage>,
        telemetry: &Telemetry,
    ) -> String {
        let mut ping_at = Instant::now() + PING_INTERVAL;
        loop {
            if self.is_retired.load(Ordering::Relaxed) && lock(&self.pending).is_empty() {
                return "no longer used".to_string();
            }
            let idle_end = *lock(&self.last_received) + IDLE_TIMEOUT;
            let message = tokio::select! {
                message = tokio::time::timeout_at(idle_end, socket.next()) => {
                    match message {
                        Ok(Some(Ok(Message::Binary(bytes)))) => {
                            *lock(&self.last_received) = Instant::now();
                            match ciborium::from_reader(bytes.as_ref()) {
                                Ok(message) => self.receive(message),
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
}

/// A search that a relay runs; dropping it cancels the search unless it has ended.
pub struct PendingSearch<'a> {
    events: mpsc::UnboundedReceiver<SearchEvent>,
    has_ended: bool,
    id: SearchId,
    pub link: &'a RelayLink,
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
    /// Marks the search as ended, so that it is not cancelled.
    pub fn finish(mut self) {
        self.has_ended = true;
    }

    /// Returns whether the link has closed.
    pub fn is_lost(&self) -> bool {
        self.events.is_closed()
    }

    /// Waits for the next event until an instant; none if there is none, or if the link has closed.
    pub async fn next(&mut self, until: Instant) -> Option<SearchEvent> {
        if let Ok(event) = tokio::time::timeout_at(until, self.events.recv()).await {
            return event;
        }
        // After a pause of this VM, the timer fires before what has arrived meanwhile is read.
        tokio::time::timeout(UNREAD_TIMEOUT, self.events.recv()).await.ok().flatten()
    }
}
