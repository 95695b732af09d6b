//! Runs searches for other VMs.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Uri};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::error::Failure;
use crate::gateway::attempt_outcomes::AttemptOutcomes;
use crate::gateway::attempts::GatewayContext;
use crate::gateway::call::OutboundRequest;
use crate::gateway::directory::Service;
use crate::gateway::model::{Idempotency, Route, ShardSet, Target};
use crate::gateway::relays::messages::{RelayMessage, RelayedSearch, SearchId};
use crate::gateway::request_guard::RequestGuard;
use crate::gateway::request_load::RequestLoad;
use crate::gateway::scatter::{self, MergedAnswer};
use crate::gateway::state::PublishedState;
use crate::gateway::time_budget::TimeBudget;
use crate::process::clock::Clock;

/// Time without a received message after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of the pings that show that this VM runs while the other one waits for an answer.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time that a search of another VM may take; instants further away cannot be represented everywhere.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(3600);
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

    /// Returns the number of VMs that send searches here.
    pub fn links(&self) -> usize {
        self.links.load(Ordering::Relaxed)
    }

    /// Runs the searches that arrive on a link until it closes; returns the reason.
    pub async fn run_link<S>(&self, socket: WebSocketStream<S>) -> String
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

    /// Returns the shards of a search; none if this VM does not run it.
    fn accept(&self, search: &RelayedSearch) -> Option<Vec<Arc<Service>>> {
        if self.load.is_stopping() || !self.state.is_initialized() {
            return None;
        }
        search.shards.iter().map(|name| self.state.directory.known_service(name)).collect()
    }
}

/// One link from another VM.
struct HostedLink<'a, S> {
    answers: mpsc::Sender<RelayMessage>,
    answered: mpsc::Receiver<RelayMessage>,
    host: &'a RelayHost,
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
                    if let RelayMessage::Answered { id, .. } | RelayMessage::Failed { id, .. } = &answer {
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
            RelayMessage::Search { id, search } => self.start(id, *search).await,
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
            | RelayMessage::Refused { .. } => Err("unexpected message".to_string()),
        }
    }

    /// Starts a search in a task of its own, or refuses it.
    async fn start(&mut self, id: SearchId, search: RelayedSearch) -> Result<(), String> {
        let Some((shards, request)) = self.host.accept(&search).zip(outbound_request(&search))
        else {
            return self.send(&RelayMessage::Refused { id }).await;
        };
        let answers = self.answers.clone();
        let (clock, context) = (Arc::clone(&self.host.clock), self.host.context.clone());
        let running = self.host.load.begin();
        context.telemetry.hosted_searches.inc();
        let task = tokio::spawn(async move {
            let result = run_search(&search, &shards, request, clock, &context).await;
            drop(running);
            let answer = match result {
                Ok(MergedAnswer { body, missing, signatures }) => {
                    RelayMessage::Answered { id, body, missing, signatures }
                }
                Err(failure) => RelayMessage::Failed { id, refusal: failure.to_refusal() },
            };
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

/// Returns the request that is sent to backend servers; none if the search is malformed.
fn outbound_request(search: &RelayedSearch) -> Option<Arc<OutboundRequest>> {
    let mut headers = HeaderMap::with_capacity(search.headers.len());
    for (name, value) in &search.headers {
        headers.append(
            HeaderName::from_bytes(name.as_bytes()).ok()?,
            HeaderValue::from_maybe_shared(value.clone()).ok()?,
        );
    }
    Some(Arc::new(OutboundRequest {
        attempt_outcomes: AttemptOutcomes::default(),
        body: search.body.clone(),
        headers,
        idempotency: Idempotency::Idempotent,
        method: Method::from_bytes(search.method.as_bytes()).ok()?,
        request_id: search.request_id.clone(),
        uri: search.uri.parse::<Uri>().ok()?,
    }))
}

/// Runs a search on its shards.
async fn run_search(
    search: &RelayedSearch,
    shards: &[Arc<Service>],
    request: Arc<OutboundRequest>,
    clock: Arc<dyn Clock>,
    context: &GatewayContext,
) -> Result<MergedAnswer, Failure> {
    let spent = Duration::from_millis(search.time_spent_ms).min(MAX_TIME_LIMIT);
    let left = Duration::from_millis(search.time_left_ms).min(MAX_TIME_LIMIT);
    let time_limit = spent + left;
    let time_budget = TimeBudget::resume(clock, spent, time_limit);
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
        time_limit,
        target_latency: Duration::from_millis(search.target_latency_ms).min(MAX_TIME_LIMIT),
        max_attempts: search.max_attempts,
        priority: search.priority,
        target: Target::Shards(shard_set.clone()),
    };
    let guard = RequestGuard::new(&request, search.fingerprint, &time_budget, context);
    let result = scatter::run(&route, &shard_set, shards, &request, &time_budget, context).await;
    guard.mark_answered();
    result
}
