//! Sends a request to backend servers of one service until one answers, with retries and hedges.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::StatusCode;
use tokio::time::Instant;

use crate::gateway::call::{Answer, Call, CallOutcome};
use crate::gateway::connection_queue;
use crate::gateway::context::GatewayContext;
use crate::gateway::directory::Service;
use crate::gateway::latency_estimate;
use crate::gateway::model::{Idempotency, Route};
use crate::gateway::not_run_promise;
use crate::gateway::outbound_request::OutboundRequest;
use crate::gateway::pool::{ConnectError, Reservation};
use crate::gateway::protocol::AnswerKind;
use crate::gateway::server::Server;
use crate::gateway::server_selection::{self, Availability, Candidate};
use crate::gateway::time_budget::TimeBudget;
use crate::ids::{Priority, id_text};

/// Delay before a hedge that could not be sent is tried again.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Interval at which a queued request looks for a connection without an offer: backend servers may have been added.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time after which a caller is told to come back to a service whose backend servers have no room.
const MAX_ROOM_WAIT: Duration = Duration::from_secs(5);
/// Time within which checks of backend servers, or answers, show whether a request crashes the ones that run it.
const CRASH_EVIDENCE_TIME: Duration = Duration::from_millis(250);
/// Time after the shards of a search are overdue within which it shows whether this VM is cut off.
const CONTACT_DECISION_TIME: Duration = Duration::from_millis(110);
/// Failed connection attempts of one request after which it gives up on the service.
const MAX_CONNECT_FAILURES: u32 = 4;

/// Why a service gave no answer.
#[derive(Debug)]
pub enum AttemptsError {
    /// The queue is so long that no connection is expected in time; nothing ran.
    QueueTooLong { expected_wait: Duration },
    /// A backend server answered that the request failed.
    Failed(Box<Answer>),
    /// No backend server is available; nothing ran.
    NoServer,
    /// What the backend servers say of themselves leaves no room for the request; nothing ran.
    NoRoom { retry_after: Duration },
    /// Every backend server that was tried refused the request; nothing ran.
    Refused,
    /// The time budget ran out; the request may have run.
    TimedOut,
    /// The request was sent and its outcome is unknown.
    OutcomeUnknown(&'static str),
}

impl AttemptsError {
    /// Returns whether the request has certainly not run.
    pub fn has_not_run(&self) -> bool {
        matches!(
            self,
            Self::QueueTooLong { .. } | Self::NoRoom { .. } | Self::NoServer | Self::Refused
        )
    }
}

/// The attempts of one request on one service.
struct Attempts<'a> {
    connect_failures: u32,
    context: &'a GatewayContext,
    last_error: AttemptsError,
    max_attempts: u32,
    priority: Priority,
    request: &'a Arc<OutboundRequest>,
    sent_attempts: u32,
    service: &'a Service,
    time_budget: &'a TimeBudget,
    /// Backend servers that are not selected again for this request.
    tried: Vec<Arc<Server>>,
}

/// Sends a request to backend servers of a service until one answers.
pub async fn run(
    service: &Service,
    request: &Arc<OutboundRequest>,
    route: &Route,
    time_budget: &TimeBudget,
    context: &GatewayContext,
) -> Result<Answer, AttemptsError> {
    service.budget.record_first_attempts(Instant::now(), 1);
    let mut attempts = Attempts {
        connect_failures: 0,
        context,
        last_error: AttemptsError::NoServer,
        max_attempts: if request.is_trial { 1 } else { route.max_attempts },
        priority: route.priority,
        request,
        sent_attempts: 0,
        service,
        time_budget,
        tried: Vec::new(),
    };
    attempts.run().await
}

/// Whether a service can take a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceCapacity {
    Available,
    /// What its backend servers say of themselves leaves no room before this time has passed.
    NoRoom {
        retry_after: Duration,
    },
    NoServer,
}

/// Returns whether a service can take a request.
pub fn capacity(service: &Service) -> ServiceCapacity {
    let now = Instant::now();
    let servers = service.servers();
    let candidates: Vec<_> = servers.iter().map(|server| Some(server.candidate(now))).collect();
    if server_selection::is_any_usable(&candidates) {
        return ServiceCapacity::Available;
    }
    if !server_selection::is_any_without_room(&candidates) {
        return ServiceCapacity::NoServer;
    }
    ServiceCapacity::NoRoom { retry_after: room_wait(&servers, &candidates, now) }
}

/// Returns the time until a candidate has room for a request.
fn room_wait(servers: &[Arc<Server>], candidates: &[Option<Candidate>], now: Instant) -> Duration {
    let mut shortest = MAX_ROOM_WAIT;
    for (server, candidate) in servers.iter().zip(candidates) {
        let Some(candidate) = candidate else { continue };
        if candidate.availability == Availability::Unusable {
            continue;
        }
        shortest = shortest.min(server.room_wait(now));
    }
    shortest
}

impl Attempts<'_> {
    async fn run(&mut self) -> Result<Answer, AttemptsError> {
        let mut running: Vec<Call> = Vec::new();
        let mut hedge_at = Instant::now();
        loop {
            if running.is_empty() {
                let Some(call) = self.start_next().await else {
                    return Err(std::mem::replace(&mut self.last_error, AttemptsError::NoServer));
                };
                hedge_at = call.sent_at + self.hedge_delay(&call.server);
                running.push(call);
            }
            let may_hedge = self.request.idempotency == Idempotency::Idempotent;
            tokio::select! {
                biased;
                (index, outcome) = next_outcome(&mut running) => {
                    let call = running.swap_remove(index);
                    if let Some(answer) = self.handle_outcome(&call, outcome)? {
                        for abandoned in running {
                            abandoned.finish_in_background();
                        }
                        return Ok(answer);
                    }
                }
                () = tokio::time::sleep_until(self.time_budget.deadline()) => {
                    self.mark_overdue(&running);
                    return Err(AttemptsError::TimedOut);
                }
                () = tokio::time::sleep_until(hedge_at), if may_hedge => {
                    hedge_at = self.hedge(&mut running);
                }
            }
        }
    }

    /// Handles the outcome of a call.
    ///
    /// Returns the answer for the caller, or none if another attempt may follow.
    ///
    /// # Errors
    ///
    /// Returns the error that ends the attempts: the request may have run and must not run twice.
    fn handle_outcome(
        &mut self,
        call: &Call,
        outcome: CallOutcome,
    ) -> Result<Option<Answer>, AttemptsError> {
        let server = call.server.published.id.as_str();
        let idempotent = self.request.idempotency == Idempotency::Idempotent;
        match outcome {
            CallOutcome::Answered(answer) => match answer.head.kind {
                AnswerKind::Succeeded => return Ok(Some(*answer)),
                AnswerKind::Refused => {
                    self.log("refused by a backend server", server);
                    self.record_error(AttemptsError::Refused);
                }
                AnswerKind::Misdirected => {
                    self.log("misdirected", server);
                    call.server.mark_replaced(Instant::now());
                    self.sent_attempts -= 1;
                    self.record_error(AttemptsError::Refused);
                }
                AnswerKind::Failed => {
                    self.record_unfounded_promise(&answer, server);
                    if answer.status == StatusCode::MISDIRECTED_REQUEST {
                        call.server.mark_replaced(Instant::now());
                    }
                    if !idempotent {
                        return Err(AttemptsError::Failed(answer));
                    }
                    self.record_error(AttemptsError::Failed(answer));
                }
            },
            CallOutcome::NotSent(error) => {
                call.server.record_not_sent();
                self.sent_attempts -= 1;
                if self.sent_attempts > 0 {
                    self.service.budget.refund(Instant::now());
                }
                match error {
                    ConnectError::Failed | ConnectError::LimitReached | ConnectError::Refused => {
                        self.connect_failures += 1
                    }
                    // The backend server may accept the request on another connection.
                    ConnectError::Closed => {
                        self.tried.retain(|tried| !Arc::ptr_eq(tried, &call.server));
                    }
                }
                self.record_error(AttemptsError::NoServer);
            }
            CallOutcome::Broken(reason) => {
                self.log(reason, server);
                if !idempotent {
                    return Err(AttemptsError::OutcomeUnknown(reason));
                }
                self.record_error(AttemptsError::OutcomeUnknown(reason));
            }
        }
        Ok(None)
    }

    /// Counts and logs a failure whose status promises that the request has not run, though it may have.
    fn record_unfounded_promise(&self, answer: &Answer, server: &str) {
        if !not_run_promise::is_unfounded(answer.status, answer.head.kind) {
            return;
        }
        self.context.telemetry.unfounded_promises.inc();
        log::info!(
            request = id_text(&self.request.request_id).as_ref(),
            service = self.service.name.as_str(),
            server = server,
            status = answer.status.as_u16(),
            sent = self.sent_attempts,
            waited_ms = self.time_budget.spent().as_millis() as u64;
            "the status of a failure promises that the request has not run; it may have"
        );
    }

    /// Sets the error to report.
    ///
    /// One after which the request may have run is not replaced by one after which it certainly has not.
    fn record_error(&mut self, error: AttemptsError) {
        if error.has_not_run() && !self.last_error.has_not_run() {
            return;
        }
        self.last_error = error;
    }

    /// Starts the next attempt unless attempts, retry budget or backend servers are exhausted.
    async fn start_next(&mut self) -> Option<Call> {
        if self.sent_attempts >= self.max_attempts || self.connect_failures >= MAX_CONNECT_FAILURES
        {
            return None;
        }
        if self.sent_attempts > 0 && !self.may_retry().await {
            return None;
        }
        let (server, reservation) = self.wait_for_server().await?;
        if self.sent_attempts > 0 {
            if !self.service.budget.try_take(Instant::now()) {
                self.context.telemetry.budget_denials.inc();
                self.log("no retry: the retry budget is exhausted", &server.published.id);
                server.pool.cancel(reservation);
                return None;
            }
            self.context.telemetry.retries.inc();
            self.log("retried", &server.published.id);
        }
        Some(self.start(server, reservation))
    }

    /// Returns whether the request may be sent once more: not if it seems to crash the backend servers that run it.
    async fn may_retry(&self) -> bool {
        let request = self.request;
        let crash_tracker = &self.context.crash_tracker;
        if crash_tracker.remaining_refusal(request.fingerprint, Instant::now()).is_some() {
            self.log("no retry: the request is refused as crashing", "");
            return false;
        }
        let limit = CRASH_EVIDENCE_TIME.min(self.time_budget.left());
        let may_retry = request.attempt_outcomes.wait_while_suspicious(limit).await;
        if !may_retry {
            self.log("no retry: backend servers ended, and none has answered", "");
        }
        may_retry
    }

    /// Starts an attempt on a backend server.
    fn start(&mut self, server: Arc<Server>, reservation: Reservation) -> Call {
        self.sent_attempts += 1;
        self.tried.push(Arc::clone(&server));
        server.record_sent(Instant::now());
        let request = Arc::clone(self.request);
        Call::start(
            server,
            reservation,
            request,
            self.max_attempts,
            self.time_budget.clone(),
            self.context.clone(),
        )
    }

    /// Sends a hedge if attempts, backend servers and the retry budget allow one; returns when to try the next.
    fn hedge(&mut self, running: &mut Vec<Call>) -> Instant {
        let now = Instant::now();
        self.mark_overdue(running);
        let retry_at = now + HEDGE_RETRY_DELAY;
        if self.sent_attempts >= self.max_attempts {
            // No attempt is left: wait for an answer or the end of the time budget.
            return now + self.time_budget.left();
        }
        if self.request.attempt_outcomes.is_suspicious() {
            return retry_at;
        }
        if !self.service.connection_queue.is_empty() {
            // Queued first attempts go before hedges.
            return retry_at;
        }
        if self.may_be_cut_off(running, now) {
            // If this VM is cut off, another one needs the attempt.
            return retry_at;
        }
        let Some((server, reservation)) = self.select_with(server_selection::select_hedge) else {
            return retry_at;
        };
        if !self.service.budget.try_take(now) {
            self.context.telemetry.budget_denials.inc();
            server.pool.cancel(reservation);
            return retry_at;
        }
        self.context.telemetry.hedges.inc();
        self.log("hedged", &server.published.id);
        let call = self.start(server, reservation);
        let next = now + self.hedge_delay(&call.server);
        running.push(call);
        next
    }

    /// Returns whether it is about to show whether this VM is cut off: all shards of a search are silent, and no other
    /// backend server has responded since they were asked.
    fn may_be_cut_off(&self, running: &[Call], now: Instant) -> bool {
        let Some(call) = running.last() else { return false };
        let decided_at = call.sent_at + call.server.overdue_after() + CONTACT_DECISION_TIME;
        now < decided_at
            && self.request.attempt_outcomes.has_several_services()
            && !call.server.contact().has_responded_since(call.sent_at)
    }

    /// Returns the time after an attempt on a backend server at which a hedge is sent.
    fn hedge_delay(&self, server: &Server) -> Duration {
        let all = self.service.servers().iter().map(|server| server.overdue_after()).collect();
        latency_estimate::hedge_delay(server.overdue_after(), all)
    }

    /// Marks backend servers whose answers are overdue as unresponsive.
    fn mark_overdue(&self, running: &[Call]) {
        let now = Instant::now();
        for call in running {
            if now < call.sent_at + call.server.overdue_after()
                || !call.server.record_overdue(call.sent_at, now)
            {
                continue;
            }
            self.context.telemetry.silences.inc();
            self.log("backend server silent; avoided until it answers", &call.server.published.id);
        }
    }

    /// Selects a backend server; queues the request if only a free connection is missing.
    async fn wait_for_server(&mut self) -> Option<(Arc<Server>, Reservation)> {
        let service = self.service;
        let ahead = service.connection_queue.ahead_of(self.priority);
        if ahead == 0
            && let Some(selected) = self.select()
        {
            return Some(selected);
        }
        if self.is_without_room() {
            return None;
        }
        let connections: usize =
            service.servers().iter().map(|server| server.pool.max_open()).sum();
        let expected_wait =
            connection_queue::expected_wait(ahead, connections, service.service_time.get());
        if expected_wait > self.time_budget.left() {
            log::info!(
                request = id_text(&self.request.request_id).as_ref(),
                service = service.name.as_str(),
                ahead = ahead,
                connections = connections,
                expected_wait_ms = expected_wait.as_millis() as u64,
                left_ms = self.time_budget.left().as_millis() as u64;
                "not sent: too many requests wait for connections"
            );
            self.record_error(AttemptsError::QueueTooLong { expected_wait });
            return None;
        }
        self.context.telemetry.waits.inc();
        let entry = service.connection_queue.enqueue(self.priority);
        loop {
            let candidates = self.candidates(&service.servers());
            if !server_selection::is_any_usable(&candidates) || self.time_budget.is_spent() {
                self.is_without_room();
                return None;
            }
            // Looks for a connection after the timeout as well.
            let _ = tokio::time::timeout(QUEUE_POLL_INTERVAL, entry.offered()).await;
            if let Some(selected) = self.select() {
                entry.accept_offer();
                // More connections may have become free at the same time.
                service.connection_queue.offer_next();
                return Some(selected);
            }
            entry.decline_offer();
        }
    }

    /// Returns whether only what backend servers say of themselves keeps the request from being sent, and records it.
    fn is_without_room(&mut self) -> bool {
        let now = Instant::now();
        let servers = self.service.servers();
        let candidates = self.candidates(&servers);
        if server_selection::is_any_usable(&candidates)
            || !server_selection::is_any_without_room(&candidates)
        {
            return false;
        }
        let retry_after = room_wait(&servers, &candidates, now);
        let count = |says: fn(&Server, Instant) -> bool| {
            servers.iter().filter(|server| says(server, now)).count()
        };
        self.context.telemetry.attempts_without_room.inc();
        log::info!(
            request = id_text(&self.request.request_id).as_ref(),
            service = self.service.name.as_str(),
            limited = count(|server, _| server.named_limit_per_s().is_some()),
            quiet = count(|server, now| !server.quiet_left(now).is_zero()),
            leaving = count(|server, now| server.leaving_for(now).is_some()),
            sent = self.sent_attempts,
            retry_after_ms = retry_after.as_millis() as u64,
            waited_ms = self.time_budget.spent().as_millis() as u64;
            "not sent: the backend servers have no room for now"
        );
        self.record_error(AttemptsError::NoRoom { retry_after });
        true
    }

    /// Selects a backend server while no other attempt of the request runs.
    fn select(&self) -> Option<(Arc<Server>, Reservation)> {
        self.select_with(server_selection::select)
    }

    /// Selects a backend server that was not tried yet and reserves a connection to it.
    fn select_with(
        &self,
        select: impl Fn(&[Option<Candidate>], usize) -> Option<usize>,
    ) -> Option<(Arc<Server>, Reservation)> {
        let servers = self.service.servers();
        let mut candidates = self.candidates(&servers);
        let tie_break = if servers.is_empty() { 0 } else { rand::random_range(0..servers.len()) };
        // On a reused connection, a late answer to an abandoned request or a close that crosses this request would
        // leave its outcome unknown, and a request that may run only once could not be retried.
        let new_only = self.request.idempotency == Idempotency::AtMostOnce;
        loop {
            let index = select(&candidates, tie_break)?;
            if let Some(reservation) = servers[index].pool.reserve(new_only, Instant::now()) {
                return Some((Arc::clone(&servers[index]), reservation));
            }
            candidates[index] = None;
        }
    }

    /// Returns the candidates; none in the place of a backend server that was already tried.
    fn candidates(&self, servers: &[Arc<Server>]) -> Vec<Option<Candidate>> {
        let now = Instant::now();
        let mut candidates: Vec<Option<Candidate>> = Vec::with_capacity(servers.len());
        for server in servers.iter() {
            let was_tried = self.tried.iter().any(|tried| Arc::ptr_eq(tried, server));
            candidates.push((!was_tried).then(|| server.candidate(now)));
        }
        candidates
    }

    /// Logs a decision about an attempt.
    fn log(&self, decision: &str, server: &str) {
        log::info!(
            request = id_text(&self.request.request_id).as_ref(),
            service = self.service.name.as_str(),
            server = server,
            sent = self.sent_attempts,
            waited_ms = self.time_budget.spent().as_millis() as u64;
            "{decision}"
        );
    }
}

/// Waits for the first of several calls to end.
async fn next_outcome(running: &mut [Call]) -> (usize, CallOutcome) {
    let mut outcomes: FuturesUnordered<_> = running
        .iter_mut()
        .enumerate()
        .map(|(index, call)| async move { (index, (&mut call.outcome).await) })
        .collect();
    match outcomes.next().await {
        Some((index, Ok(outcome))) => (index, outcome),
        Some((index, Err(_))) => (index, CallOutcome::Broken("the call was ended")),
        None => std::future::pending().await,
    }
}
