//! One request to one backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper::{Request, StatusCode, Version};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::gateway::answer_memory::{AnswerPermit, MAX_COUNTED_BYTES};
use crate::gateway::context::GatewayContext;
use crate::gateway::crash_check;
use crate::gateway::outbound_request::OutboundRequest;
use crate::gateway::pool::{ConnectError, Connection, Reservation};
use crate::gateway::protocol::{AnswerHead, AnswerKind, HttpProtocol};
use crate::gateway::server::Server;
use crate::gateway::time_budget::TimeBudget;
use crate::gateway::wire_limit::WireAllowance;

/// Time for which the slower of two attempts may go on, so that its connection can be reused: the usual length of a
/// pause of a backend server.
const ABANDONED_CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Limit on the frames of a body that hold less data than [`MIN_FRAME_BYTES`] on average: each costs processor time, whatever it
/// holds.
const MAX_SMALL_FRAMES: usize = 4096;
const MIN_FRAME_BYTES: usize = 8;

/// A complete answer of a backend server.
#[derive(Debug)]
pub struct Answer {
    pub body: Bytes,
    pub body_memory: AnswerPermit,
    pub head: AnswerHead,
    pub headers: HeaderMap,
    pub status: StatusCode,
}

/// How a call ended.
#[derive(Debug)]
pub enum CallOutcome {
    Answered(Box<Answer>),
    /// The request was sent and no valid answer came; it may have run.
    Broken(&'static str),
    /// No byte of the request was sent.
    NotSent(ConnectError),
}

/// A call that runs in a task of its own; dropping it aborts the task and closes the connection.
pub struct Call {
    pub outcome: oneshot::Receiver<CallOutcome>,
    pub sent_at: Instant,
    pub server: Arc<Server>,
    task: Option<AbortHandle>,
}

impl Drop for Call {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

impl Call {
    /// Starts a call on the reserved connection.
    pub fn start(
        server: Arc<Server>,
        reservation: Reservation,
        request: Arc<OutboundRequest>,
        max_attempts: u32,
        time_budget: TimeBudget,
        context: GatewayContext,
    ) -> Self {
        let (sender, outcome) = oneshot::channel();
        let task = tokio::spawn({
            let server = Arc::clone(&server);
            let running = server.begin_call();
            async move {
                let result =
                    run(&server, reservation, &request, max_attempts, &time_budget, &context).await;
                drop(running);
                // The receiver is dropped when another attempt answered first.
                let _ = sender.send(result);
            }
        });
        Self { outcome, sent_at: Instant::now(), server, task: Some(task.abort_handle()) }
    }

    /// Lets the call go on for at most [`ABANDONED_CALL_TIMEOUT`], so that its answer counts for the backend server and
    /// its connection can be reused.
    pub fn finish_in_background(mut self) {
        let Some(task) = self.task.take() else { return };
        tokio::spawn(async move {
            tokio::time::sleep(ABANDONED_CALL_TIMEOUT).await;
            task.abort();
        });
    }
}

/// A call that was sent and has not ended. Dropped before its end, it is abandoned: the backend server may still run it.
struct UnansweredCall<'a> {
    context: &'a GatewayContext,
    has_ended: bool,
    /// Whether the head of the answer has been read, but not its whole body.
    has_head: bool,
    request: &'a OutboundRequest,
    sent_at: Instant,
    server: &'a Arc<Server>,
    time_left: Duration,
}

impl<'a> UnansweredCall<'a> {
    /// Creates a call that is sent now; the backend server has to stop it after `time_left`.
    fn new(
        server: &'a Arc<Server>,
        request: &'a OutboundRequest,
        time_left: Duration,
        context: &'a GatewayContext,
    ) -> Self {
        let sent_at = Instant::now();
        Self { context, has_ended: false, has_head: false, request, sent_at, server, time_left }
    }

    /// Ends the call.
    fn end(mut self) {
        self.has_ended = true;
    }

    /// Counts a body that is overdue against the backend server: its head keeps it from being taken for silent.
    fn record_overdue_body(&self, now: Instant) {
        if self.has_head && now >= self.sent_at + self.server.overdue_after() {
            self.server.record_broken_call(now);
        }
    }

    /// Has the backend server checked for an end, unless the request is known to crash none.
    fn watch_server(&self, now: Instant) {
        let GatewayContext { abandoned_calls, crash_tracker, telemetry, .. } = self.context;
        let fingerprint = self.request.fingerprint;
        if self.request.attempt_outcomes.is_answered()
            || crash_tracker.was_just_answered(fingerprint, now)
        {
            return;
        }
        telemetry.abandoned_calls.inc();
        abandoned_calls.record(self.server, fingerprint, self.sent_at + self.time_left);
    }
}

impl Drop for UnansweredCall<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let now = Instant::now();
        self.record_overdue_body(now);
        self.watch_server(now);
    }
}

/// Sends a request and reads the whole answer.
async fn run(
    server: &Arc<Server>,
    reservation: Reservation,
    request: &Arc<OutboundRequest>,
    max_attempts: u32,
    time_budget: &TimeBudget,
    context: &GatewayContext,
) -> CallOutcome {
    let mut connection = match reservation {
        Reservation::Idle(connection) => connection,
        Reservation::New(permit) => match server.connect_with(permit).await {
            Ok(connection) => connection,
            Err(error) => return CallOutcome::NotSent(error),
        },
    };
    let outcomes = &request.attempt_outcomes;
    if time_budget.is_spent() || !outcomes.begin_attempt(server, max_attempts) {
        return CallOutcome::NotSent(ConnectError::Failed);
    }
    let started = Instant::now();
    let mut call = UnansweredCall::new(server, request, time_budget.left(), context);
    let body_memory = AnswerPermit::new(Arc::clone(&context.answer_memory));
    let protocol = &*context.protocol;
    let outcome = exchange(&mut connection, &mut call, time_budget, protocol, body_memory).await;
    call.end();
    let now = Instant::now();
    let (answer, reusable) = match outcome {
        Ok(exchanged) => exchanged,
        Err(ExchangeError::NotSent) => {
            outcomes.record_attempt_not_run(server);
            return CallOutcome::NotSent(ConnectError::Closed);
        }
        Err(ExchangeError::Broken(reason)) => {
            server.record_broken_call(now);
            crash_check::start(server, request, context);
            return CallOutcome::Broken(reason);
        }
    };
    match answer.head.kind {
        AnswerKind::Refused => {
            outcomes.record_attempt_not_run(server);
            server.record_refusal(now);
        }
        AnswerKind::Misdirected => outcomes.record_attempt_not_run(server),
        kind => {
            // A failure may be given without running the request.
            if kind == AnswerKind::Succeeded {
                request.attempt_outcomes.record_answered();
            }
            let latency = now.saturating_duration_since(started);
            server.record_answer(latency, kind == AnswerKind::Failed, now);
        }
    }
    if reusable {
        return_to_pool(server, connection, &answer).await;
    }
    CallOutcome::Answered(Box::new(answer))
}

/// Why an exchange on a connection gave no answer.
enum ExchangeError {
    Broken(&'static str),
    NotSent,
}

/// Sends a request on a connection; returns the answer and whether the connection can be reused.
async fn exchange(
    connection: &mut Connection,
    call: &mut UnansweredCall<'_>,
    time_budget: &TimeBudget,
    protocol: &dyn HttpProtocol,
    mut body_memory: AnswerPermit,
) -> Result<(Answer, bool), ExchangeError> {
    let (server, request) = (call.server, call.request);
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = request.headers.clone();
    protocol.write_request_headers(
        outgoing.headers_mut(),
        time_budget.left(),
        &server.published.id,
    );
    connection.wire_allowance.begin_head(&mut outgoing);
    let sent_at = call.sent_at;
    let response = connection.sender.try_send_request(outgoing).await.map_err(|error| {
        // hyper returns the request with the error if no byte of it was written.
        match error.message() {
            Some(_) => ExchangeError::NotSent,
            None => ExchangeError::Broken("the connection broke off"),
        }
    })?;
    connection.wire_allowance.begin_body();
    let (parts, body) = response.into_parts();
    // hyper passes on 101, the only interim status that ends an exchange.
    if parts.status.is_informational() {
        return Err(ExchangeError::Broken("the answer has no final status"));
    }
    let head = protocol.read_answer_head(parts.status, &parts.headers);
    if !head.request_id.is_empty() && head.request_id != request.request_id {
        return Err(ExchangeError::Broken("the answer belongs to another request"));
    }
    let now = Instant::now();
    server.mark_responsive(now);
    if head.kind != AnswerKind::Misdirected {
        server.record_statements(&head.said, sent_at, now);
    }
    call.has_head = true;
    let body = read_body(body, &mut body_memory, &connection.wire_allowance).await?;
    if head.kind == AnswerKind::Succeeded && head.request_id.is_empty() {
        return Err(ExchangeError::Broken("the answer does not name its request"));
    }
    let reusable = parts.version == Version::HTTP_11
        && !parts.headers.get(CONNECTION).is_some_and(asks_to_close);
    let answer = Answer { body, body_memory, head, headers: parts.headers, status: parts.status };
    Ok((answer, reusable))
}

/// Reads the whole body of an answer.
async fn read_body(
    body: Incoming,
    memory: &mut AnswerPermit,
    wire_allowance: &WireAllowance,
) -> Result<Bytes, ExchangeError> {
    let mut body = Limited::new(body, MAX_COUNTED_BYTES);
    let mut read = BytesMut::new();
    let mut first = Bytes::new();
    let (mut frames, mut held_bytes) = (0, 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ExchangeError::Broken("the answer broke off"))?;
        let Ok(data) = frame.into_data() else { continue };
        wire_allowance.record_data(data.len());
        frames += 1;
        held_bytes += data.len();
        if frames > MAX_SMALL_FRAMES + held_bytes / MIN_FRAME_BYTES {
            return Err(ExchangeError::Broken("the answer comes in too small pieces"));
        }
        if !memory.grow(data.len()) {
            return Err(ExchangeError::Broken("answers hold too much memory"));
        }
        if first.is_empty() && read.is_empty() {
            first = data;
            continue;
        }
        if read.is_empty() {
            read.extend_from_slice(&std::mem::take(&mut first));
        }
        read.extend_from_slice(&data);
    }
    Ok(if read.is_empty() { first } else { read.freeze() })
}

/// Returns a connection to its pool once it is ready for another request.
async fn return_to_pool(server: &Server, mut connection: Connection, answer: &Answer) {
    if connection.sender.ready().await.is_err() {
        return;
    }
    server.pool.release(connection, keep_alive_timeout(&answer.headers));
}

/// Returns whether a value of the header `Connection` asks to close.
fn asks_to_close(value: &HeaderValue) -> bool {
    value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
}

/// Returns the idle timeout from the header `Keep-Alive`.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameter = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    parameter.trim().parse().ok().map(Duration::from_secs)
}
