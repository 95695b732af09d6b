//! Gets an answer from one backend server of a service, with retries and hedges.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::gateway::call::{Answer, Call, CallEnd, Outbound};
use crate::gateway::connection_queue;
use crate::gateway::crash_tracker::CrashTracker;
use crate::gateway::directory::Service;
use crate::gateway::latency_estimate;
use crate::gateway::model::{Idempotency, Route};
use crate::gateway::pool::{ConnectError, Reservation};
use crate::gateway::protocol::{AnswerKind, HttpProtocol};
use crate::gateway::server::Server;
use crate::gateway::server_selection::{self, Candidate};
use crate::gateway::telemetry::Telemetry;
use crate::gateway::time_budget::TimeBudget;
use crate::ids::{Priority, id_text};

/// Shortest time before a hedge that could not be sent is considered again.
const HEDGE_RECHECK: Duration = Duration::from_millis(10);
/// Time after which a request in the line looks again by itself: backend servers may have come meanwhile.
const CONNECTION_RECHECK: Duration = Duration::from_millis(20);
/// Connections tried in vain before a service counts as unreachable.
const MAX_CONNECT_FAILURES: u32 = 4;

/// Why a service gave no answer.
#[derive(Debug)]
pub enum AttemptsError {
    /// So many requests wait for a connection that it would come too late; nothing ran.
    Crowded { expected_wait: Duration },
    /// A backend server answered that the request failed.
    Failed(Box<Answer>),
    /// No backend server can be used; nothing ran.
    NoServer,
    /// Every backend server that was asked refused; nothing ran.
    Refused,
    /// The time was up; the request may have run.
    TimedOut,
    /// The request was sent and its outcome is not known.
    Unknown(&'static str),
}

impl AttemptsError {
    /// Returns whether the request has certainly not run.
    pub fn has_not_run(&self) -> bool {
        matches!(self, Self::Crowded { .. } | Self::NoServer | Self::Refused)
    }
}

/// What attempts need beside the request.
#[derive(Clone)]
pub struct GatewayContext {
    pub crash_tracker: Arc<CrashTracker>,
    pub protocol: Arc<dyn HttpProtocol>,
    pub telemetry: Arc<Telemetry>,
}

/// The attempts of one request on one service.
struct Attempts<'a> {
    asked: Vec<Arc<Server>>,
    connect_failures: u32,
    last: AttemptsError,
    max_attempts: u32,
    context: &'a GatewayContext,
    priority: Priority,
    request: &'a Arc<Outbound>,
    sent: u32,
    service: &'a Service,
    time: &'a TimeBudget,
}

/// Asks backend servers of a service until one answers.
pub async fn run(
    service: &Service,
    request: &Arc<Outbound>,
    route: &Route,
    time: &TimeBudget,
    context: &GatewayContext,
) -> Result<Answer, AttemptsError> {
    service.budget.record_first(Instant::now(), 1);
    let mut attempts = Attempts {
        asked: Vec::new(),
        connect_failures: 0,
        last: AttemptsError::NoServer,
        max_attempts: route.max_attempts,
        context,
        priority: route.priority,
        request,
        sent: 0,
        service,
        time,
    };
    attempts.run().await
}

/// Returns whether a backend server of the service could take a request.
pub fn is_available(service: &Service) -> bool {
    let now = Instant::now();
    let candidates: Vec<_> =
        service.servers().iter().map(|server| Some(server.candidate(now))).collect();
    server_selection::is_any_usable(&candidates)
}

impl Attempts<'_> {
    async fn run(&mut self) -> Result<Answer, AttemptsError> {
        let mut running: Vec<Call> = Vec::new();
        let mut hedge_at = Instant::now();
        loop {
            if running.is_empty() {
                let Some(call) = self.start_next().await else {
                    return Err(std::mem::replace(&mut self.last, AttemptsError::NoServer));
                };
                hedge_at = call.sent + self.hedge_delay(&call.server);
                running.push(call);
            }
            let may_hedge = self.request.idempotency == Idempotency::Idempotent;
            tokio::select! {
                biased;
                (index, end) = next_end(&mut running) => {
                    let call = running.swap_remove(index);
                    if let Some(answer) = self.judge(&call, end)? {
                        for loser in running {
                            loser.let_linger();
                        }
                        return Ok(answer);
                    }
                }
                () = tokio::time::sleep_until(hedge_at), if may_hedge => {
                    hedge_at = self.hedge(&mut running);
                }
                () = tokio::time::sleep_until(self.time.end()) => {
                    self.note_overdue(&running);
                    return Err(AttemptsError::TimedOut);
                }
            }
        }
    }

    /// Judges the end of a call: an answer to return, an error that ends the attempts, or nothing.
    fn judge(&mut self, call: &Call, end: CallEnd) -> Result<Option<Answer>, AttemptsError> {
        let server = call.server.published.id.as_str();
        let idempotent = self.request.idempotency == Idempotency::Idempotent;
        match end {
            CallEnd::Answered(answer) => match answer.head.kind {
                AnswerKind::Succeeded => return Ok(Some(answer)),
                AnswerKind::Refused => {
                    self.log("refused by a backend server", server);
                    self.fail(AttemptsError::Refused);
                }
                AnswerKind::Misdirected => {
                    self.log("misdirected", server);
                    call.server.replaced();
                    self.sent -= 1;
                    self.fail(AttemptsError::Refused);
                }
                AnswerKind::Failed if idempotent => {
                    self.fail(AttemptsError::Failed(Box::new(answer)))
                }
                AnswerKind::Failed => return Err(AttemptsError::Failed(Box::new(answer))),
            },
            CallEnd::NotSent(error) => {
                self.sent -= 1;
                if self.sent > 0 {
                    self.service.budget.give_back(Instant::now());
                }
                match error {
                    ConnectError::Failed | ConnectError::ShareInUse => self.connect_failures += 1,
                    // Another connection to the same backend server may do.
                    ConnectError::Closed => {
                        self.asked.retain(|asked| !Arc::ptr_eq(asked, &call.server));
                    }
                }
                self.fail(AttemptsError::NoServer);
            }
            CallEnd::Broken(reason) => {
                self.log(reason, server);
                if !idempotent {
                    return Err(AttemptsError::Unknown(reason));
                }
                self.fail(AttemptsError::Unknown(reason));
            }
        }
        Ok(None)
    }

    /// Remembers a failure; one after which the request may have run is not replaced by one after which it has not.
    fn fail(&mut self, error: AttemptsError) {
        if error.has_not_run() && !self.last.has_not_run() {
            return;
        }
        self.last = error;
    }

    /// Starts the next attempt if attempts, budget and backend servers are left.
    async fn start_next(&mut self) -> Option<Call> {
        if self.sent >= self.max_attempts || self.connect_failures >= MAX_CONNECT_FAILURES {
            return None;
        }
        let (server, reservation) = self.wait_for_server().await?;
        if self.sent > 0 {
            if !self.service.budget.try_take(Instant::now()) {
                self.context.telemetry.budget_denials.inc();
                self.log("no retry: the budget is spent", &server.published.id);
                server.pool.cancel(reservation);
                return None;
            }
            self.context.telemetry.retries.inc();
            self.log("retried", &server.published.id);
        }
        Some(self.start(server, reservation))
    }

    /// Starts an attempt at a backend server.
    fn start(&mut self, server: Arc<Server>, reservation: Reservation) -> Call {
        self.sent += 1;
        self.asked.push(Arc::clone(&server));
        let request = Arc::clone(self.request);
        Call::start(
            server,
            reservation,
            request,
            self.time.clone(),
            Arc::clone(&self.context.protocol),
        )
    }

    /// Sends a hedge if an answer is overdue; returns when to look again.
    fn hedge(&mut self, running: &mut Vec<Call>) -> Instant {
        let now = Instant::now();
        self.note_overdue(running);
        let recheck = now + HEDGE_RECHECK;
        if self.sent >= self.max_attempts {
            // Nothing is left to send; only the answer or the end of the time is awaited.
            return now + self.time.left();
        }
        if !self.service.line.is_empty() {
            // First attempts wait for connections.
            return recheck;
        }
        let Some((server, reservation)) = self.select_with(server_selection::select_hedge) else {
            return recheck;
        };
        if !self.service.budget.try_take(now) {
            self.context.telemetry.budget_denials.inc();
            server.pool.cancel(reservation);
            return recheck;
        }
        self.context.telemetry.hedges.inc();
        self.log("hedged", &server.published.id);
        let call = self.start(server, reservation);
        let next = now + self.hedge_delay(&call.server);
        running.push(call);
        next
    }

    /// Returns the time after which another backend server is asked as well.
    fn hedge_delay(&self, server: &Server) -> Duration {
        let all = self.service.servers().iter().map(|server| server.overdue_after()).collect();
        latency_estimate::hedge_delay(server.overdue_after(), all)
    }

    /// Marks backend servers whose answers are overdue.
    fn note_overdue(&self, running: &[Call]) {
        let now = Instant::now();
        for call in running {
            if now < call.sent + call.server.overdue_after()
                || !call.server.record_overdue(call.sent, now)
            {
                continue;
            }
            self.context.telemetry.silences.inc();
            self.log("backend server silent; avoided until it answers", &call.server.published.id);
        }
    }

    /// Chooses a backend server; waits in line where each only lacks a free connection.
    async fn wait_for_server(&mut self) -> Option<(Arc<Server>, Reservation)> {
        let service = self.service;
        let ahead = service.line.ahead_of(self.priority);
        if ahead == 0
            && let Some(chosen) = self.select()
        {
            return Some(chosen);
        }
        let connections: usize =
            service.servers().iter().map(|server| server.pool.max_open()).sum();
        let expected_wait =
            connection_queue::expected_wait(ahead, connections, service.usual.get());
        if expected_wait > self.time.left() {
            log::info!(
                request = id_text(&self.request.request_id).as_ref(),
                service = service.name.as_str(),
                ahead = ahead,
                connections = connections,
                expected_wait_ms = expected_wait.as_millis() as u64,
                left_ms = self.time.left().as_millis() as u64;
                "not sent: too many requests wait for connections"
            );
            self.fail(AttemptsError::Crowded { expected_wait });
            return None;
        }
        self.context.telemetry.waits.inc();
        let place = service.line.enqueue(self.priority);
        loop {
            let candidates = self.candidates(&service.servers());
            if !server_selection::is_any_usable(&candidates) || self.time.is_spent() {
                return None;
            }
            // Without an offer it looks, too.
            let _ = tokio::time::timeout(CONNECTION_RECHECK, place.offered()).await;
            if let Some(chosen) = self.select() {
                place.accept_offer();
                // Where one connection came free there may be more.
                service.line.offer_next();
                return Some(chosen);
            }
            place.decline_offer();
        }
    }

    /// Chooses a backend server for the only attempt that runs.
    fn select(&self) -> Option<(Arc<Server>, Reservation)> {
        self.select_with(server_selection::select)
    }

    /// Chooses a backend server that was not asked yet, and reserves a connection to it.
    fn select_with(
        &self,
        select: impl Fn(&[Option<Candidate>], usize) -> Option<usize>,
    ) -> Option<(Arc<Server>, Reservation)> {
        let servers = self.service.servers();
        let mut candidates = self.candidates(&servers);
        let tie_break = if servers.is_empty() { 0 } else { rand::random_range(0..servers.len()) };
        // On a kept connection an answer that nobody waited for, or a close that crosses the request, would leave
        // the outcome of a request that may run once only unknown.
        let fresh = self.request.idempotency == Idempotency::AtMostOnce;
        loop {
            let index = select(&candidates, tie_break)?;
            if let Some(reservation) = servers[index].pool.reserve(fresh, Instant::now()) {
                return Some((Arc::clone(&servers[index]), reservation));
            }
            candidates[index] = None;
        }
    }

    /// Describes the backend servers that were not asked yet.
    fn candidates(&self, servers: &[Arc<Server>]) -> Vec<Option<Candidate>> {
        let now = Instant::now();
        let mut candidates: Vec<Option<Candidate>> = Vec::with_capacity(servers.len());
        for server in servers.iter() {
            let asked = self.asked.iter().any(|asked| Arc::ptr_eq(asked, server));
            candidates.push((!asked).then(|| server.candidate(now)));
        }
        candidates
    }

    /// Logs a decision about the request.
    fn log(&self, decision: &str, server: &str) {
        log::info!(
            request = id_text(&self.request.request_id).as_ref(),
            service = self.service.name.as_str(),
            server = server,
            sent = self.sent,
            waited_ms = self.time.spent().as_millis() as u64;
            "{decision}"
        );
    }
}

/// Waits for the first of several calls to end.
async fn next_end(running: &mut [Call]) -> (usize, CallEnd) {
    let mut ends: FuturesUnordered<_> = running
        .iter_mut()
        .enumerate()
        .map(|(index, call)| async move { (index, (&mut call.end).await) })
        .collect();
    match ends.next().await {
        Some((index, Ok(end))) => (index, end),
        Some((index, Err(_))) => (index, CallEnd::Broken("the call was ended")),
        None => std::future::pending().await,
    }
}
