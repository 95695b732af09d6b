//! One backend server as this VM sees it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

use crate::derives::value_types;
use crate::gateway::latency_estimate::{self, LatencyEstimate};
use crate::gateway::listing::Listing;
use crate::gateway::model::PublishedServer;
use crate::gateway::pool::{ConnectError, Connection, ConnectionPermit, Pool};
use crate::gateway::server_selection::{Availability, Candidate};
use crate::gateway::service_time::ServiceTime;
use crate::locks::lock;

/// Weight of one answer in the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
/// Weight of an attempt that broke off: its time is lost as well.
const BROKEN_WEIGHT: f64 = 0.2;
/// Time after which a failure counts half.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Longest silence that passes for a pause; a backend server that is silent for longer is probed.
pub const MAX_PAUSE: Duration = Duration::from_millis(450);
/// Time after a refusal for lack of room during which other backend servers are preferred.
const FULL_BACKOFF: Duration = Duration::from_millis(30);
/// First time between two probes of a silent backend server; it doubles up to the last.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(400);
const LAST_PROBE_DELAY: Duration = Duration::from_millis(3200);

value_types! {
    /// Distance between this VM and a backend server.
    #[derive(Copy, Eq, Ord, PartialOrd)]
    pub enum Proximity {
        SameFailureDomain,
        SameRegion,
        OtherRegion,
    }
}

impl Proximity {
    /// Returns the expected time of a round trip before any was measured.
    pub fn round_trip(self) -> Duration {
        match self {
            Self::SameFailureDomain => Duration::ZERO,
            Self::SameRegion => Duration::from_millis(2),
            Self::OtherRegion => Duration::from_millis(40),
        }
    }
}

struct State {
    estimate: LatencyEstimate,
    failure_rate: f64,
    failed_at: Option<Instant>,
    full_until: Option<Instant>,
    in_flight: u32,
    last_heard: Option<Instant>,
    listing: Listing,
    next_probe: Option<Instant>,
    probes: u32,
    silent_since: Option<Instant>,
}

/// A backend server with its connections and what its answers have shown.
pub struct Server {
    pub pool: Pool,
    pub proximity: Proximity,
    pub published: PublishedServer,
    state: Mutex<State>,
    usual: Arc<ServiceTime>,
}

/// Counts a call against a backend server while it is alive.
pub struct RunningCall(Arc<Server>);

impl Drop for RunningCall {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}

impl Server {
    /// Creates a backend server of which nothing is known but its entry.
    ///
    /// `usual` is shared by the backend servers of its service.
    pub fn new(
        published: PublishedServer,
        proximity: Proximity,
        pool: Pool,
        usual: Arc<ServiceTime>,
    ) -> Self {
        let listing = if published.leaving { Listing::Leaving } else { Listing::Listed };
        let state = State {
            estimate: LatencyEstimate::default(),
            failure_rate: 0.0,
            failed_at: None,
            full_until: None,
            in_flight: 0,
            last_heard: None,
            listing,
            next_probe: None,
            probes: 0,
            silent_since: None,
        };
        Self { pool, proximity, published, state: Mutex::new(state), usual }
    }

    /// Starts counting a call.
    pub fn begin_call(self: &Arc<Self>) -> RunningCall {
        lock(&self.state).in_flight += 1;
        RunningCall(Arc::clone(self))
    }

    /// Opens a connection if this VM's share allows it.
    pub async fn connect(&self) -> Result<Connection, ConnectError> {
        let permit = self.pool.acquire_permit().ok_or(ConnectError::LimitReached)?;
        self.connect_with(permit).await
    }

    /// Opens a connection; a backend server that does not accept one is avoided until it answers a probe.
    pub async fn connect_with(&self, permit: ConnectionPermit) -> Result<Connection, ConnectError> {
        let opened = self.pool.open_with(permit).await;
        let failed = matches!(opened, Err(ConnectError::Failed));
        if failed && self.record_unreachable(Instant::now()) {
            log::info!(server = self.published.id.as_str(); "backend server unreachable");
        }
        opened
    }

    /// Takes over the time of an answer.
    pub fn record_answer(&self, time: Duration, failed: bool, now: Instant) {
        if !failed {
            self.usual.observe(time.saturating_sub(self.proximity.round_trip()));
        }
        let mut state = lock(&self.state);
        state.estimate.observe(time, now);
        state.note_failure(f64::from(u8::from(failed)), FAILURE_WEIGHT, now);
    }

    /// Notes that the backend server answered something.
    pub fn heard(&self, now: Instant) {
        if let Some(silent) = self.record_sign_of_life(now) {
            log::info!(server = self.published.id.as_str(), silent_ms = silent.as_millis() as u64;
                "backend server answers again");
        }
    }

    /// Notes that another backend server has the address.
    pub fn replaced(&self) {
        if self.set_listing(Listing::Leaving) {
            log::info!(server = self.published.id.as_str(); "another backend server has the address");
        }
    }

    /// Notes that the backend server answered something; returns how long it had been silent.
    pub fn record_sign_of_life(&self, now: Instant) -> Option<Duration> {
        let mut state = lock(&self.state);
        state.last_heard = Some(now);
        state.next_probe = None;
        state.probes = 0;
        state.silent_since.take().map(|since| now.saturating_duration_since(since))
    }

    /// Notes that an attempt broke off.
    pub fn record_broken(&self, now: Instant) {
        lock(&self.state).note_failure(1.0, BROKEN_WEIGHT, now);
    }

    /// Notes that no connection could be opened; returns whether that is news.
    pub fn record_unreachable(&self, now: Instant) -> bool {
        let mut state = lock(&self.state);
        let news = state.silent_since.is_none();
        // Nothing listens there, which no pause explains.
        let since = now.checked_sub(MAX_PAUSE).unwrap_or(now);
        state.silent_since = Some(state.silent_since.map_or(since, |known| known.min(since)));
        state.schedule_probe(now);
        news
    }

    /// Notes that a call sent at an instant is overdue; returns whether silence is news.
    pub fn record_overdue(&self, sent: Instant, now: Instant) -> bool {
        let mut state = lock(&self.state);
        if state.last_heard.is_some_and(|heard| heard > sent) || state.silent_since.is_some() {
            return false;
        }
        state.silent_since = Some(now);
        state.schedule_probe(now);
        true
    }

    /// Notes that the backend server refused a request for lack of room; each refusal costs an attempt.
    pub fn record_full(&self, now: Instant) {
        let mut state = lock(&self.state);
        state.full_until = Some(now + FULL_BACKOFF);
        state.note_failure(1.0, FAILURE_WEIGHT, now);
    }

    /// Begins a probe if one is due.
    pub fn begin_probe(&self, now: Instant) -> bool {
        let mut state = lock(&self.state);
        if state.listing == Listing::Leaving || state.next_probe.is_none_or(|at| at > now) {
            return false;
        }
        state.schedule_probe(now);
        true
    }

    /// Returns what the published list says.
    pub fn listing(&self) -> Listing {
        lock(&self.state).listing
    }

    /// Sets what the published list says; returns whether that is news.
    pub fn set_listing(&self, listing: Listing) -> bool {
        let mut state = lock(&self.state);
        std::mem::replace(&mut state.listing, listing) != listing
    }

    /// Returns the time after which an answer is overdue.
    pub fn overdue_after(&self) -> Duration {
        let prior = self.prior();
        lock(&self.state).estimate.overdue_after(prior)
    }

    /// Returns the expected time of an answer as far as this backend server has shown nothing.
    fn prior(&self) -> Duration {
        self.usual.get() + self.proximity.round_trip()
    }

    /// Describes the backend server for a choice.
    ///
    /// A distant one has to be better by more than the spread of its times, so that chance alone sends no
    /// bytes between regions.
    pub fn candidate(&self, now: Instant) -> Candidate {
        let prior = self.prior();
        let state = lock(&self.state);
        let remote_penalty = match self.proximity {
            Proximity::OtherRegion => state.estimate.deviation(prior),
            Proximity::SameFailureDomain | Proximity::SameRegion => Duration::ZERO,
        };
        Candidate {
            expected_latency: state.estimate.expected(prior, now),
            failure_rate: state.failure_rate(now),
            remote_penalty,
            has_free_connection: self.pool.has_free_connection(),
            in_flight: state.in_flight,
            slots: self.published.slots,
            availability: state.availability(now),
        }
    }
}

impl State {
    /// Takes an attempt into the failure rate: 1 for a failure, 0 for a success.
    fn note_failure(&mut self, failure: f64, weight: f64, now: Instant) {
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + weight * (failure - failure_rate);
        self.failed_at = Some(now);
    }

    /// Returns the failure rate, which fades while no answers come.
    fn failure_rate(&self, now: Instant) -> f64 {
        let Some(at) = self.failed_at else { return 0.0 };
        self.failure_rate
            * latency_estimate::decay(now.saturating_duration_since(at), FAILURE_HALF_LIFE)
    }

    /// Sets the time of the next probe.
    fn schedule_probe(&mut self, now: Instant) {
        let delay = FIRST_PROBE_DELAY * 2_u32.pow(self.probes.min(4));
        self.probes += 1;
        self.next_probe = Some(now + delay.min(LAST_PROBE_DELAY));
    }

    /// Returns how much the backend server is trusted.
    fn availability(&self, now: Instant) -> Availability {
        let listed = match self.listing {
            Listing::Leaving => return Availability::Unusable,
            Listing::Vanished { .. } => Availability::Doubtful,
            Listing::Lapsed { .. } | Listing::Listed => Availability::Usable,
        };
        let heard = match self.silent_since {
            Some(since) if now.saturating_duration_since(since) >= MAX_PAUSE => {
                return Availability::Unusable;
            }
            Some(_) => Availability::Pausing,
            None => Availability::Usable,
        };
        let room = match self.full_until {
            Some(until) if until > now => Availability::Doubtful,
            _ => Availability::Usable,
        };
        listed.max(heard).max(room)
    }
}
