//! Runs searches and requests for other VMs.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hyper::{Method, Uri};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::error::{ErrorKind, Failure};
use crate::gateway::attempt_outcomes::AttemptOutcomes;
use crate::gateway::context::GatewayContext;
use crate::gateway::crash_tracker;
use crate::gateway::directory::Service;
use crate::gateway::forward;
use crate::gateway::model::{Idempotency, Route, ShardSet, Target};
use crate::gateway::outbound_request::OutboundRequest;
use crate::gateway::protocol::HttpProtocol;
use crate::gateway::relays::messages::{
    ForwardedAnswer, RelayMessage, RelayedRequest, RelayedSearch, SearchId,
};
use crate::gateway::relays::offer;
use crate::gateway::request_guard::RequestGuard;
use crate::gateway::request_load::RequestLoad;
use crate::gateway::scatter::{self, MergedAnswer};
use crate::gateway::state::PublishedState;
use crate::gateway::time_budget::TimeBudget;
use crate::ids::{Fingerprint, ServiceName};
use crate::process::clock::Clock;

/// Time without a received message after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of the pings that show that this VM runs while the other one waits for an answer.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time that a search of another VM may take; instants further away cannot be represented everywhere.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(3600);
/// Time without contact to any backend server after which a search is given back, so that another VM runs it.
const MAX_SILENCE: Duration = Duration::from_millis(100);
/// Interval at which the contact is checked.
const CONTACT_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Finished searches buffered for a link that sends slowly.
const ANSWER_BUFFER: usize = 64;

/// Runs the searches that other VMs send.
pub struct RelayHost {
    clock: Arc<dyn Clock>,
    context: GatewayContext,
    links: AtomicUsize,
    load: Arc<RequestLoad>,
    state: Arc<PublishedState>,
}

/// Counts a link as open until it is dropped.
struct OpenLink<'a>(&'a AtomicUsize);

impl Drop for OpenLink<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl RelayHost {
    /// Creates a host without links.
    pub fn new(
        clock: Arc<dyn Clock>,
        context: GatewayContext,
        load: Arc<RequestLoad>,
        state: Arc<PublishedState>,
    ) -> Self {
        Self { clock, context, links: AtomicUsize::new(0), load, state }
    }

    /// Returns the formats of requests and answers.
    pub fn protocol(&self) -> &dyn HttpProtocol {
        &*self.context.protocol
    }

    /// Returns the number of VMs that send searches here.
    pub fn links(&self) -> usize {
        self.links.load(Ordering::Relaxed)
    }

    /// Runs the searches that arrive on a link until it closes; returns the reason.
    pub async fn run_link<S>(self: &Arc<Self>, socket: WebSocketStream<S>) -> String
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        self.links.fetch_add(1, Ordering::Relaxed);
        let _open = OpenLink(&self.links);
        let (answers, answered) = mpsc::channel(ANSWER_BUFFER);
        let mut link = HostedLink { answers, answered, host: self, running: Vec::new(), socket };
        match link.run().await {
            Ok(()) => "closed by the other VM".to_string(),
            Err(reason) => reason,
        }
    }

    /// Returns the services of a search or request; none if this VM does not run it.
    fn accept(&self, services: &[ServiceName]) -> Option<Vec<Arc<Service>>> {
        let has_contact = self.state.directory.contact.lost_for(Instant::now()).is_none();
        if self.load.is_stopping() || !self.state.is_initialized() || !has_contact {
            return None;
        }
        services.iter().map(|name| self.state.directory.known_service(name)).collect()
    }

    /// Waits until this VM has had no contact to any backend server for a while and the request has attempts left for
    /// another VM; returns how many this VM has made.
    async fn given_back(&self, outcomes: &AttemptOutcomes, max_attempts: u32) -> u32 {
        loop {
            tokio::time::sleep(CONTACT_CHECK_INTERVAL).await;
            let lost_for = self.state.directory.contact.lost_for(Instant::now());
            let attempts = outcomes.most_sent();
            if attempts < max_attempts && lost_for.is_some_and(|time| time >= MAX_SILENCE) {
                return attempts;
            }
        }
    }
}

/// One link from another VM.
struct HostedLink<'a, S> {
    answers: mpsc::Sender<RelayMessage>,
    answered: mpsc::Receiver<RelayMessage>,
    host: &'a Arc<RelayHost>,
    running: Vec<(SearchId, AbortHandle)>,
    socket: WebSocketStream<S>,
}

impl<S> Drop for HostedLink<'_, S> {
    fn drop(&mut self) {
        for (_, search) in &self.running {
            search.abort();
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> HostedLink<'_, S> {
    async fn run(&mut self) -> Result<(), String> {
        let mut idle_end = Instant::now() + IDLE_TIMEOUT;
        let mut ping_at = Instant::now() + PING_INTERVAL;
        loop {
            let is_running = !self.running.is_empty();
            tokio::select! {
                // Cancels that have arrived go before the searches that they end.
                biased;
                message = tokio::time::timeout_at(idle_end, self.socket.next()) => {
                    let message = match message {
                        Ok(Some(Ok(message))) => message,
                        Ok(Some(Err(error))) => return Err(error.to_string()),
                        Ok(None) => return Ok(()),
                        Err(_) => return Err("no message within the idle timeout".to_string()),
                    };
                    idle_end = Instant::now() + IDLE_TIMEOUT;
                    self.handle(message).await?;
                }
                Some(answer) = self.answered.recv() => {
                    if let RelayMessage::Answered { id, .. }
                    | RelayMessage::Failed { id, .. }
                    | RelayMessage::Refused { id, .. }
                    | RelayMessage::Responded { id, .. } = &answer
                    {
                        self.running.retain(|(running, _)| running != id);
                    }
                    self.send(&answer).await?;
                }
                () = tokio::time::sleep_until(ping_at), if is_running => {
                    ping_at = Instant::now() + PING_INTERVAL;
                    self.send(&RelayMessage::Ping).await?;
                }
            }
        }
    }

    /// Handles a received message.
    async fn handle(&mut self, message: Message) -> Result<(), String> {
        let Message::Binary(bytes) = message else { return Ok(()) };
        let message: RelayMessage = ciborium::from_reader(bytes.as_ref())
            .map_err(|error| format!("malformed message: {error}"))?;
        match message {
            RelayMessage::Search { id, search } => self.start_search(id, *search).await,
            RelayMessage::Request { id, request } => self.start_request(id, *request).await,
            RelayMessage::Cancel { id } => {
                for (running, search) in &self.running {
                    if *running == id {
                        search.abort();
                    }
                }
                self.running.retain(|(running, _)| *running != id);
                Ok(())
            }
            RelayMessage::Ping => self.send(&RelayMessage::Ping).await,
            RelayMessage::Accepted { .. }
            | RelayMessage::Answered { .. }
            | RelayMessage::Failed { .. }
            | RelayMessage::Refused { .. }
            | RelayMessage::Responded { .. } => Err("unexpected message".to_string()),
        }
    }

    /// Starts a search in a task of its own, or refuses it.
    async fn start_search(
        &mut self,
        id: SearchId,
        mut search: RelayedSearch,
    ) -> Result<(), String> {
        if let Err(failure) = self.hold_body(&mut search.body) {
            let refusal = failure.to_refusal();
            return self.start(id, async move { RelayMessage::Failed { id, refusal } }).await;
        }
        let Some((shards, request)) = self.host.accept(&search.shards).zip(search.to_outbound())
        else {
            return self.send(&RelayMessage::Refused { id, attempts: Some(0) }).await;
        };
        self.host.context.telemetry.hosted_searches.inc();
        let host = Arc::clone(self.host);
        self.start(id, async move {
            tokio::select! {
                biased;
                result = run_search(&search, &shards, &request, &host) => match result {
                    Ok(MergedAnswer { body, missing, signatures }) => {
                        RelayMessage::Answered { id, body, missing, signatures }
                    }
                    Err(failure) => RelayMessage::Failed { id, refusal: failure.to_refusal() },
                },
                attempts = host.given_back(&request.attempt_outcomes, search.max_attempts) => {
                    RelayMessage::Refused { id, attempts: Some(attempts) }
                }
            }
        })
        .await
    }

    /// Starts a request in a task of its own, or refuses it.
    async fn start_request(
        &mut self,
        id: SearchId,
        mut relayed: RelayedRequest,
    ) -> Result<(), String> {
        if let Err(failure) = self.hold_body(&mut relayed.body) {
            let refusal = failure.to_refusal();
            return self.start(id, async move { RelayMessage::Failed { id, refusal } }).await;
        }
        let services = self.host.accept(std::slice::from_ref(&relayed.service));
        let service = services.and_then(|mut services| services.pop());
        let Some((service, request)) = service.zip(relayed.to_outbound()) else {
            return self.send(&RelayMessage::Refused { id, attempts: Some(0) }).await;
        };
        self.host.context.telemetry.hosted_requests.inc();
        let host = Arc::clone(self.host);
        self.start(id, async move {
            let may_give_back = relayed.is_idempotent;
            tokio::select! {
                biased;
                result = run_request(&relayed, &service, &request, &host) => match result {
                    Ok(answer) => RelayMessage::Responded { id, answer },
                    Err(failure) => RelayMessage::Failed { id, refusal: failure.to_refusal() },
                },
                attempts = host.given_back(&request.attempt_outcomes, relayed.max_attempts),
                    if may_give_back =>
                {
                    RelayMessage::Refused { id, attempts: Some(attempts) }
                }
            }
        })
        .await
    }

    /// Counts a body as held until its last copy is dropped.
    fn hold_body(&self, body: &mut Bytes) -> Result<(), Failure> {
        let held = self.host.context.body_memory.hold(std::mem::take(body));
        *body = held.map_err(|error| Failure::new(ErrorKind::TooManyBodies, error.to_string()))?;
        Ok(())
    }

    /// Runs a search or request in a task of its own, and sends its answer.
    async fn start(
        &mut self,
        id: SearchId,
        answer: impl Future<Output = RelayMessage> + Send + 'static,
    ) -> Result<(), String> {
        let answers = self.answers.clone();
        let running = self.host.load.begin();
        let task = tokio::spawn(async move {
            let answer = answer.await;
            drop(running);
            // Sending fails if the link has closed.
            let _ = answers.send(answer).await;
        });
        self.running.push((id, task.abort_handle()));
        self.send(&RelayMessage::Accepted { id }).await
    }

    /// Sends a message.
    async fn send(&mut self, message: &RelayMessage) -> Result<(), String> {
        let bytes = encode(message)?;
        self.host.context.telemetry.link_bytes.inc_by(bytes.len() as u64);
        self.socket.send(Message::Binary(bytes)).await.map_err(|error| error.to_string())
    }
}

/// Encodes a message.
pub fn encode(message: &RelayMessage) -> Result<Bytes, String> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).map_err(|error| error.to_string())?;
    Ok(bytes.into())
}

impl RelayedSearch {
    /// Returns the request that is sent to backend servers; none if the search is malformed.
    fn to_outbound(&self) -> Option<Arc<OutboundRequest>> {
        Some(Arc::new(OutboundRequest {
            attempt_outcomes: AttemptOutcomes::default(),
            body: self.body.clone(),
            fingerprint: self.fingerprint,
            headers: offer::header_map(&self.headers)?,
            idempotency: Idempotency::Idempotent,
            is_trial: false,
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            request_id: self.request_id.clone(),
            uri: self.uri.parse::<Uri>().ok()?,
        }))
    }
}

impl RelayedRequest {
    /// Returns the request that is sent to a backend server; none if it is malformed.
    fn to_outbound(&self) -> Option<Arc<OutboundRequest>> {
        Some(Arc::new(OutboundRequest {
            attempt_outcomes: AttemptOutcomes::default(),
            body: self.body.clone(),
            fingerprint: self.fingerprint,
            headers: offer::header_map(&self.headers)?,
            idempotency: self.idempotency(),
            is_trial: false,
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            request_id: self.request_id.clone(),
            uri: self.uri.parse::<Uri>().ok()?,
        }))
    }

    fn idempotency(&self) -> Idempotency {
        if self.is_idempotent { Idempotency::Idempotent } else { Idempotency::AtMostOnce }
    }
}

/// Returns the time budget of a request that arrived at another VM.
fn time_budget(host: &RelayHost, spent_ms: u64, left_ms: u64) -> TimeBudget {
    let spent = Duration::from_millis(spent_ms).min(MAX_TIME_LIMIT);
    let left = Duration::from_millis(left_ms).min(MAX_TIME_LIMIT);
    TimeBudget::resume(Arc::clone(&host.clock), spent, spent + left)
}

/// Checks that a request is not refused as crashing: this VM may know more than the one that sent it.
///
/// # Errors
///
/// Returns the failure that is reported to the caller.
fn check_refusal(fingerprint: Fingerprint, context: &GatewayContext) -> Result<(), Failure> {
    match context.crash_tracker.remaining_refusal(fingerprint, Instant::now()) {
        Some(remaining) => Err(crash_tracker::refusal(remaining)),
        None => Ok(()),
    }
}

/// Runs a search on its shards.
async fn run_search(
    search: &RelayedSearch,
    shards: &[Arc<Service>],
    request: &Arc<OutboundRequest>,
    host: &RelayHost,
) -> Result<MergedAnswer, Failure> {
    let time_budget = time_budget(host, search.time_spent_ms, search.time_left_ms);
    let shard_set = ShardSet {
        services: search.shards.clone(),
        min_shard_fraction: search.min_shard_fraction,
        top_records: search.top_records,
    };
    let route = Route {
        name: String::new(),
        host: String::new(),
        path_prefix: String::new(),
        idempotency: Idempotency::Idempotent,
        time_limit: time_budget.total(),
        target_latency: Duration::from_millis(search.target_latency_ms).min(MAX_TIME_LIMIT),
        max_attempts: search.max_attempts,
        priority: search.priority,
        target: Target::Shards(shard_set.clone()),
    };
    let context = &host.context;
    check_refusal(search.fingerprint, context)?;
    let guard = RequestGuard::new(request, &time_budget, context);
    let result = scatter::run(&route, &shard_set, shards, request, &time_budget, context).await;
    guard.mark_answered();
    result
}

/// Runs a request on a backend server of its service.
async fn run_request(
    relayed: &RelayedRequest,
    service: &Service,
    request: &Arc<OutboundRequest>,
    host: &RelayHost,
) -> Result<ForwardedAnswer, Failure> {
    let time_budget = time_budget(host, relayed.time_spent_ms, relayed.time_left_ms);
    let route = Route {
        name: String::new(),
        host: String::new(),
        path_prefix: String::new(),
        idempotency: relayed.idempotency(),
        time_limit: time_budget.total(),
        target_latency: Duration::from_millis(relayed.target_latency_ms).min(MAX_TIME_LIMIT),
        max_attempts: relayed.max_attempts,
        priority: relayed.priority,
        target: Target::Weighted(Vec::new()),
    };
    let context = &host.context;
    check_refusal(relayed.fingerprint, context)?;
    let guard = RequestGuard::new(request, &time_budget, context);
    let result = forward::run(&route, service, request, &time_budget, context).await;
    guard.mark_answered();
    result.map(offer::forwarded)
}
