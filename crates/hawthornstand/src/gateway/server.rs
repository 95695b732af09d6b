//! State of one backend server: its connections, latency, failures and availability, as measured by this VM.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

use crate::derives::value_types;
use crate::gateway::latency_estimate::{self, LatencyEstimate};
use crate::gateway::listing::Listing;
use crate::gateway::model::PublishedServer;
use crate::gateway::pool::{ConnectError, Connection, ConnectionPermit, Pool};
use crate::gateway::reach::contact::Contact;
use crate::gateway::reach::verdict::ServerEvidence;
use crate::gateway::request_allowance::RequestAllowance;
use crate::gateway::server_selection::{Availability, Candidate};
use crate::gateway::server_statements::{AnswerStatements, ServerStatements, StatementChange};
use crate::gateway::service_time::ServiceTime;
use crate::locks::lock;

/// Weight of one answer in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
/// Weight of a broken call in the failure rate: more than that of a failure, because its time is lost as well.
const BROKEN_CALL_WEIGHT: f64 = 0.2;
/// Half-life of the failure rate.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Longest time without an answer that counts as a pause; after it the backend server is unusable until it
/// responds.
pub const MAX_PAUSE: Duration = Duration::from_millis(450);
/// Time after a refusal for lack of capacity during which other backend servers are preferred.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(30);
/// Delay before the first probe of an unresponsive backend server; it doubles up to [`MAX_PROBE_DELAY`].
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(400);
const MAX_PROBE_DELAY: Duration = Duration::from_millis(3200);

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
    /// Returns the round-trip time assumed for the distance.
    pub fn assumed_round_trip(self) -> Duration {
        match self {
            Self::SameFailureDomain => Duration::ZERO,
            Self::SameRegion => Duration::from_millis(2),
            Self::OtherRegion => Duration::from_millis(40),
        }
    }
}

struct ServerState {
    estimate: LatencyEstimate,
    failure_rate: f64,
    /// Time of the last attempt in the failure rate, which decays since then.
    failure_rate_updated: Option<Instant>,
    in_flight: u32,
    last_response: Option<Instant>,
    listing: Listing,
    next_probe: Option<Instant>,
    probes: u32,
    refusal_backoff_until: Option<Instant>,
    /// When an answer first named another backend server, if none has named this one since.
    replaced_since: Option<Instant>,
    statements: ServerStatements,
    unresponsive_since: Option<Instant>,
}

/// A backend server with its connections and measurements.
pub struct Server {
    pub pool: Pool,
    pub proximity: Proximity,
    pub published: PublishedServer,
    contact: Arc<Contact>,
    service_time: Arc<ServiceTime>,
    state: Mutex<ServerState>,
}

/// A call that counts as in flight until this is dropped.
pub struct RunningCall(Arc<Server>);

impl Drop for RunningCall {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}

impl Server {
    /// Creates a backend server without measurements.
    ///
    /// `contact` is shared by all backend servers, and `service_time` by those of its service.
    pub fn new(
        published: PublishedServer,
        proximity: Proximity,
        pool: Pool,
        service_time: Arc<ServiceTime>,
        contact: Arc<Contact>,
    ) -> Self {
        let listing = if published.leaving { Listing::Leaving } else { Listing::Listed };
        let state = ServerState {
            estimate: LatencyEstimate::default(),
            failure_rate: 0.0,
            failure_rate_updated: None,
            in_flight: 0,
            last_response: None,
            listing,
            next_probe: None,
            probes: 0,
            refusal_backoff_until: None,
            replaced_since: None,
            statements: ServerStatements::default(),
            unresponsive_since: None,
        };
        Self { pool, proximity, published, contact, service_time, state: Mutex::new(state) }
    }

    /// Counts a call as in flight until the returned value is dropped.
    pub fn begin_call(self: &Arc<Self>) -> RunningCall {
        lock(&self.state).in_flight += 1;
        RunningCall(Arc::clone(self))
    }

    /// Opens a connection if the limit of this VM allows it.
    ///
    /// # Errors
    ///
    /// Returns an error if the limit is reached or the backend server does not accept the connection.
    pub async fn connect(&self) -> Result<Connection, ConnectError> {
        let permit = self.pool.acquire_permit().ok_or(ConnectError::LimitReached)?;
        self.connect_with(permit).await
    }

    /// Opens a connection with a permit.
    ///
    /// # Errors
    ///
    /// Returns an error if the backend server does not accept the connection; it is then unusable until it answers a
    /// probe.
    pub async fn connect_with(&self, permit: ConnectionPermit) -> Result<Connection, ConnectError> {
        let started = Instant::now();
        let opened = self.pool.open_with(permit).await;
        let now = Instant::now();
        if let Err(error @ (ConnectError::Failed | ConnectError::Refused)) = opened {
            let is_new = self.record_unreachable(now);
            if error == ConnectError::Refused {
                self.contact.record_refused(self.published.address, started, now);
            } else if is_new {
                self.contact.record_silence(self.published.address, started, now);
            }
            if is_new {
                log::info!(server = self.published.id.as_str(),
                    refused = error == ConnectError::Refused;
                    "backend server unreachable");
            }
        }
        opened
    }

    /// Records the latency of an answer, and whether it was a failure.
    pub fn record_answer(&self, latency: Duration, failed: bool, now: Instant) {
        if !failed {
            self.service_time.observe(latency.saturating_sub(self.proximity.assumed_round_trip()));
        }
        let mut state = lock(&self.state);
        state.estimate.observe(latency, now);
        state.update_failure_rate(f64::from(u8::from(failed)), FAILURE_WEIGHT, now);
    }

    /// Records any response of the backend server and logs if it was unresponsive before.
    pub fn mark_responsive(&self, now: Instant) {
        if let Some(unresponsive) = self.record_response(now) {
            log::info!(server = self.published.id.as_str(), silent_ms = unresponsive.as_millis() as u64;
                "backend server answers again");
        }
    }

    /// Marks the backend server as replaced because another one answers at its address.
    ///
    /// Probes go on, as a single answer may be spoilt.
    pub fn mark_replaced(&self, now: Instant) {
        {
            let mut state = lock(&self.state);
            if state.replaced_since.is_some() {
                return;
            }
            state.replaced_since = Some(now);
            state.schedule_probe(now);
        }
        self.pool.close_idle();
        log::info!(server = self.published.id.as_str(); "another backend server has the address");
    }

    /// Records that the backend server has named itself in the answer to a probe that was sent at `sent_at`.
    pub fn mark_present(&self, sent_at: Instant, now: Instant) {
        let replaced_since = {
            let mut state = lock(&self.state);
            if state.replaced_since.is_none_or(|since| since > sent_at) {
                return;
            }
            state.replaced_since.take()
        };
        if let Some(since) = replaced_since {
            let unused = now.saturating_duration_since(since);
            log::info!(server = self.published.id.as_str(), unused_ms = unused.as_millis() as u64;
                "the backend server has its address after all");
        }
    }

    /// Returns the time since another backend server was found at the address; none if it was not.
    pub fn replaced_for(&self, now: Instant) -> Option<Duration> {
        let since = lock(&self.state).replaced_since;
        since.map(|since| now.saturating_duration_since(since))
    }

    /// Records any response of the backend server; returns how long it was unresponsive before, if it was.
    pub fn record_response(&self, now: Instant) -> Option<Duration> {
        self.contact.record_response(now);
        let mut state = lock(&self.state);
        state.last_response = Some(now);
        state.end_probes();
        state.unresponsive_since.take().map(|since| now.saturating_duration_since(since))
    }

    /// Records what an answer to a request that was sent at `sent_at` says of the backend server.
    pub fn record_statements(&self, said: &AnswerStatements, sent_at: Instant, now: Instant) {
        let changes = lock(&self.state).statements.record(said, sent_at, now);
        for change in changes {
            self.log_statement(change);
        }
    }

    /// Logs a change of what the backend server says of itself.
    fn log_statement(&self, change: StatementChange) {
        let (server, service) = (self.published.id.as_str(), self.published.service.as_str());
        match change {
            StatementChange::Leaving => {
                self.pool.close_idle();
                log::info!(server = server, service = service;
                    "backend server says that it is leaving");
            }
            StatementChange::LimitNamed { limit_per_s, own_rate_per_s } => {
                log::info!(server = server, service = service, limit_per_s = limit_per_s,
                    own_rate_per_s = own_rate_per_s;
                    "backend server names a limit on requests");
            }
            StatementChange::LimitEnded => {
                log::info!(server = server, service = service;
                    "backend server names no limit on requests any more");
            }
            StatementChange::QuietBegun { time } => {
                log::info!(server = server, service = service, quiet_ms = time.as_millis() as u64;
                    "backend server asks for quiet");
            }
            StatementChange::QuietUnusable => {
                log::warn!(server = server;
                    "backend server asks for a quiet time that is negative or not a number; ignored");
            }
            StatementChange::LimitUnusable => {
                log::warn!(server = server;
                    "backend server names a limit on requests that is negative or not a number; ignored");
            }
        }
    }

    /// Returns whether the backend server may get new requests, by its entry, by what it says itself and by who answers
    /// at its address.
    pub fn allows_requests(&self) -> bool {
        lock(&self.state).allows_requests()
    }

    /// Returns the time since the backend server first said that it leaves; none if it does not.
    pub fn leaving_for(&self, now: Instant) -> Option<Duration> {
        let since = lock(&self.state).statements.leaving_since();
        since.map(|since| now.saturating_duration_since(since))
    }

    /// Sets the fraction of a limit on requests that belongs to this VM.
    pub fn set_limit_share(&self, share: f64) {
        lock(&self.state).statements.set_limit_share(share, Instant::now());
    }

    /// Counts a request against the limit that the backend server names.
    pub fn record_sent(&self, now: Instant) {
        lock(&self.state).statements.record_sent(now);
    }

    /// Takes back [`Self::record_sent`] for a request that was not sent.
    pub fn record_not_sent(&self) {
        lock(&self.state).statements.record_not_sent();
    }

    /// Returns the limit on requests that the backend server names, for the whole fleet.
    pub fn named_limit_per_s(&self) -> Option<f64> {
        lock(&self.state).statements.allowance().map(RequestAllowance::limit_per_s)
    }

    /// Returns the time for which the backend server wants no requests from this VM.
    pub fn quiet_left(&self, now: Instant) -> Duration {
        lock(&self.state).statements.quiet_left(now)
    }

    /// Returns the time until what the backend server says of itself leaves room for a request of this VM.
    pub fn room_wait(&self, now: Instant) -> Duration {
        lock(&self.state).statements.wait(now)
    }

    /// Records that the connection broke during a call.
    pub fn record_broken_call(&self, now: Instant) {
        lock(&self.state).update_failure_rate(1.0, BROKEN_CALL_WEIGHT, now);
    }

    /// Forgets that the backend server fell silent at an instant or later.
    pub fn forget_silence(&self, since: Instant) {
        let mut state = lock(&self.state);
        // One that accepts no connection is recorded as silent for a pause already.
        if state.unresponsive_since.is_some_and(|at| at + MAX_PAUSE >= since) {
            state.unresponsive_since = None;
            state.end_probes();
        }
    }

    /// Marks the backend server as unresponsive because it accepts no connection; returns whether that is new.
    pub fn record_unreachable(&self, now: Instant) -> bool {
        let mut state = lock(&self.state);
        let is_new = state.unresponsive_since.is_none();
        // A pause does not refuse connections, so the backend server is unusable at once.
        let since = now.checked_sub(MAX_PAUSE).unwrap_or(now);
        state.unresponsive_since =
            Some(state.unresponsive_since.map_or(since, |known| known.min(since)));
        state.schedule_probe(now);
        is_new
    }

    /// Marks the backend server as unresponsive because the answer to a call is overdue; returns whether that is new.
    ///
    /// It is not marked if it has responded to anything since the call was sent. The silence of a backend server that is
    /// known as unresponsive says nothing new of the path of this VM.
    pub fn record_overdue(&self, sent_at: Instant, now: Instant) -> bool {
        let mut state = lock(&self.state);
        if state.unresponsive_since.is_some() {
            return false;
        }
        self.contact.record_silence(self.published.address, sent_at, now);
        if state.last_response.is_some_and(|at| at > sent_at) {
            return false;
        }
        state.unresponsive_since = Some(now);
        state.schedule_probe(now);
        true
    }

    /// Records that a probe which had to show the path of this VM got no answer.
    pub fn record_unanswered_probe(&self, sent_at: Instant, now: Instant) {
        self.contact.record_silence(self.published.address, sent_at, now);
    }

    /// Records that the backend server refused a request for lack of capacity.
    ///
    /// A refusal counts as a failure, because it costs an attempt.
    pub fn record_refusal(&self, now: Instant) {
        let mut state = lock(&self.state);
        state.refusal_backoff_until = Some(now + REFUSAL_BACKOFF);
        state.update_failure_rate(1.0, FAILURE_WEIGHT, now);
    }

    /// Returns whether a probe is due, and schedules the next one if so.
    pub fn begin_probe(&self, now: Instant) -> bool {
        let mut state = lock(&self.state);
        let is_quiet = !state.statements.quiet_left(now).is_zero();
        if !state.is_wanted() || is_quiet || state.next_probe.is_none_or(|at| at > now) {
            return false;
        }
        state.schedule_probe(now);
        true
    }

    /// Returns the listing of the backend server in the published list.
    pub fn listing(&self) -> Listing {
        lock(&self.state).listing
    }

    /// Sets the listing; returns whether it changed.
    pub fn set_listing(&self, listing: Listing) -> bool {
        let mut state = lock(&self.state);
        std::mem::replace(&mut state.listing, listing) != listing
    }

    /// Returns the time after which an answer is overdue.
    pub fn overdue_after(&self) -> Duration {
        let prior = self.prior_latency();
        lock(&self.state).estimate.overdue_after(prior)
    }

    /// Returns the latency expected without samples: the service time of the service and the round trip.
    fn prior_latency(&self) -> Duration {
        self.service_time.get() + self.proximity.assumed_round_trip()
    }

    /// Returns what is known of the contact to any backend server.
    pub fn contact(&self) -> &Contact {
        &self.contact
    }

    /// Returns what this VM has seen of the backend server.
    pub fn evidence(&self, now: Instant) -> ServerEvidence {
        let state = lock(&self.state);
        ServerEvidence {
            allows_requests: state.allows_requests(),
            is_unresponsive: state.is_unresponsive(now),
        }
    }

    /// Returns the backend server as a candidate for selection.
    ///
    /// One in another region is selected only if it is better by more than the deviation of its latency, so that random
    /// variation causes no traffic between regions.
    pub fn candidate(&self, now: Instant) -> Candidate {
        let prior = self.prior_latency();
        let state = lock(&self.state);
        let remote_penalty = match self.proximity {
            Proximity::OtherRegion => state.estimate.deviation(prior),
            Proximity::SameFailureDomain | Proximity::SameRegion => Duration::ZERO,
        };
        Candidate {
            availability: state.availability(now),
            expected_latency: state.estimate.expected(prior, now),
            failure_rate: state.failure_rate(now),
            has_free_connection: self.pool.has_free_connection(),
            in_flight: state.in_flight,
            room: state.statements.room(now),
            remote_penalty,
            slots: self.published.slots,
        }
    }
}

impl ServerState {
    /// Adds an attempt to the failure rate: 1 for a failure, 0 for a success.
    fn update_failure_rate(&mut self, sample: f64, weight: f64, now: Instant) {
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + weight * (sample - failure_rate);
        self.failure_rate_updated = Some(now);
    }

    /// Returns the failure rate, which decays while no answers come.
    fn failure_rate(&self, now: Instant) -> f64 {
        let Some(at) = self.failure_rate_updated else { return 0.0 };
        self.failure_rate
            * latency_estimate::decay(now.saturating_duration_since(at), FAILURE_HALF_LIFE)
    }

    /// Returns whether the backend server may get new requests.
    fn allows_requests(&self) -> bool {
        self.is_wanted() && self.replaced_since.is_none()
    }

    /// Returns whether the backend server is wanted for new requests, by its entry and by what it says itself.
    fn is_wanted(&self) -> bool {
        self.listing.allows_requests() && self.statements.leaving_since().is_none()
    }

    /// Returns whether the backend server does not respond, for longer than a pause takes.
    fn is_unresponsive(&self, now: Instant) -> bool {
        self.unresponsive_since
            .is_some_and(|since| now.saturating_duration_since(since) >= MAX_PAUSE)
    }

    /// Ends the probes, unless they have to show who answers at the address.
    fn end_probes(&mut self) {
        if self.replaced_since.is_some() {
            return;
        }
        self.next_probe = None;
        self.probes = 0;
    }

    /// Schedules the next probe with exponential backoff.
    fn schedule_probe(&mut self, now: Instant) {
        let delay = FIRST_PROBE_DELAY * 2_u32.pow(self.probes.min(4));
        self.probes += 1;
        self.next_probe = Some(now + delay.min(MAX_PROBE_DELAY));
    }

    /// Returns the availability: the worst of listing, responsiveness and refusal backoff.
    fn availability(&self, now: Instant) -> Availability {
        if !self.allows_requests() {
            return Availability::Unusable;
        }
        let listed = match self.listing {
            Listing::Vanished { .. } => Availability::Doubtful,
            _ => Availability::Usable,
        };
        let responsive = match self.unresponsive_since {
            Some(_) if self.is_unresponsive(now) => return Availability::Unusable,
            Some(_) => Availability::Pausing,
            None => Availability::Usable,
        };
        let capacity = match self.refusal_backoff_until {
            Some(until) if until > now => Availability::Doubtful,
            _ => Availability::Usable,
        };
        listed.max(responsive).max(capacity)
    }
}
