//! Searches one segment: first attempt, hedge, retries, and probes of ejected replicas.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use fastrace::Span;
use fastrace::collector::SpanContext;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::backends::backend::{CallContext, CallError};
use crate::backends::leaf::Leaf;
use crate::ids::IndexVersion;
use crate::messages::{LeafAnswer, LeafRefusalReason, LeafSearch, MissingReason};
use crate::policy::replica_selector::preferred_replicas;
use crate::policy::service_state::ServiceState;
use crate::process::context::Context;
use crate::process::timer::until;
use crate::process::trace::traceparent_of;
use crate::searches::plan::Segment;
use crate::searches::slices::SliceSet;

/// Most attempts at one segment, hedges included.
const MAX_ATTEMPTS: usize = 4;

/// What every segment of one search shares.
pub struct SearchScope<'a> {
    pub context: &'a Arc<Context>,
    pub deadline: Instant,
    pub deadline_unix_ms: u64,
    pub limit: u64,
    pub query: &'a str,
    pub request_id: &'a str,
    pub service: &'a str,
    pub state: &'a ServiceState,
    pub span: &'a Span,
    pub version: IndexVersion,
}

/// Result of one segment.
#[derive(Debug, Default)]
pub struct SegmentResult {
    pub answers: Vec<LeafAnswer>,
    pub missing: Option<(MissingReason, SliceSet)>,
    /// Whether a backend server shed load.
    pub overloaded: bool,
    /// Whether a backend server was lost while running the query.
    pub suspect: bool,
    /// Whether no replica holds the version any more.
    pub version_gone: bool,
}

struct Attempt {
    asked: SliceSet,
    leaf: Arc<Leaf>,
    result: Result<LeafAnswer, CallError>,
}

/// Withdraws a call when dropped and keeps the time it had been running.
struct CallTimer<'a> {
    answered: bool,
    leaf: &'a Leaf,
    started: Instant,
    state: &'a ServiceState,
}

impl Drop for CallTimer<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let running = self.started.elapsed();
            self.leaf.record_abandoned(running);
            // Without the slow calls that hedges cut short, the quantile would sink into the fast ones.
            self.state.latency.record(running);
        }
    }
}

/// Searches a segment until it is covered, no replica is left, or the deadline passes.
///
/// `may_retry` allows retries of a query that was running when a backend server was lost.
pub async fn search_segment(
    scope: &SearchScope<'_>,
    segment: &Segment,
    may_retry: bool,
) -> SegmentResult {
    let mut progress = Progress::new(segment);
    let mut attempts = FuturesUnordered::new();
    let Some(first) = progress.next_replica(scope, segment) else {
        return progress.give_up(MissingReason::NoReplica);
    };
    scope.state.budget.record_first_attempts(Instant::now(), 1);
    probe_ejected(scope, segment);
    let started = Instant::now();
    let mut hedge_at = hedge_instant(scope);
    attempts.push(progress.attempt(scope, first));
    loop {
        let done = tokio::select! {
            biased;
            Some(done) = attempts.next() => done,
            () = until(hedge_at) => {
                let hedge = next_hedge(scope, segment, &progress, started);
                hedge_at = hedge.as_ref().and_then(|hedge| hedge.as_ref().err().copied());
                if let Some(Ok(leaf)) = hedge {
                    attempts.push(progress.attempt(scope, leaf));
                }
                continue;
            }
            () = tokio::time::sleep_until(scope.deadline) => {
                return progress.give_up(MissingReason::Deadline);
            }
        };
        let sent = progress.absorb(scope, done);
        if progress.open.is_empty() {
            return progress.result;
        }
        if !attempts.is_empty() {
            continue;
        }
        progress.result.suspect |=
            scope.context.quarantine.is_suspect_or_quarantined(scope.service, scope.query);
        let Some(leaf) = next_retry(scope, segment, &progress, may_retry, sent) else {
            let reason = progress.last_reason;
            return progress.give_up(reason);
        };
        progress.result.version_gone = false;
        attempts.push(progress.attempt(scope, leaf));
    }
}

/// What a segment has come to.
struct Progress<'s> {
    last_reason: MissingReason,
    open: SliceSet,
    result: SegmentResult,
    tried: Vec<&'s str>,
}

impl<'s> Progress<'s> {
    /// Starts with every slice open.
    fn new(segment: &Segment) -> Self {
        Self {
            last_reason: MissingReason::NoReplica,
            open: segment.slices.clone(),
            result: SegmentResult::default(),
            tried: Vec::new(),
        }
    }

    /// Ends with the open slices missing.
    fn give_up(mut self, reason: MissingReason) -> SegmentResult {
        self.result.missing = Some((reason, self.open));
        self.result
    }

    /// Chooses the next replica that has not been tried.
    fn next_replica(&self, scope: &SearchScope<'_>, segment: &'s Segment) -> Option<&'s Arc<Leaf>> {
        let candidates = preferred_replicas(
            &segment.replicas,
            &self.tried,
            scope.context.choice.uses_ejection(),
        );
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[scope.context.choice.select(&candidates, Instant::now())])
    }

    /// Sends the open slices to a replica.
    fn attempt<'a>(
        &mut self,
        scope: &'a SearchScope<'a>,
        leaf: &'s Arc<Leaf>,
    ) -> impl Future<Output = Attempt> + use<'a, 's> {
        self.tried.push(&leaf.id);
        attempt(scope, leaf, self.open.clone())
    }

    /// Takes the end of an attempt over; returns whether the backend server got the request.
    fn absorb(&mut self, scope: &SearchScope<'_>, done: Attempt) -> bool {
        match done.result {
            Ok(answer) => self.absorb_answer(scope, &done.leaf, &done.asked, answer),
            Err(CallError::Lost) => {
                on_lost(scope, &done.leaf);
                self.result.suspect = true;
                self.last_reason = MissingReason::ReplicaLost;
            }
            Err(CallError::NotSent(_)) => {
                if done.leaf.mark_down(Instant::now()) {
                    scope.context.leafs.bump();
                }
                return false;
            }
            Err(CallError::Refused(refusal)) => {
                on_refused(scope, &done.leaf, &refusal.versions, refusal.reason);
                self.result.overloaded |= refusal.reason == LeafRefusalReason::Overloaded;
                self.result.version_gone |= refusal.reason == LeafRefusalReason::Version;
                self.last_reason = match refusal.reason {
                    LeafRefusalReason::Overloaded => MissingReason::Overloaded,
                    LeafRefusalReason::Deadline => MissingReason::Deadline,
                    _ => MissingReason::NoReplica,
                };
            }
            Err(CallError::Malformed(why)) => {
                log::debug!("malformed answer from {}: {why}", done.leaf.id);
                scope.context.metrics.count("backend.malformed");
                self.last_reason = MissingReason::ReplicaLost;
            }
            Err(CallError::Timeout) => self.last_reason = MissingReason::Deadline,
        }
        true
    }

    /// Takes an answer over; slices it lacked are forgotten as holdings.
    fn absorb_answer(
        &mut self,
        scope: &SearchScope<'_>,
        leaf: &Leaf,
        asked: &SliceSet,
        answer: LeafAnswer,
    ) {
        let searched = SliceSet::from_ranges(&answer.slices);
        let lacked = asked.difference(&searched);
        if !lacked.is_empty() {
            leaf.forget_slices(&lacked);
            scope.context.leafs.bump();
        }
        if answer.version == scope.version {
            self.open = self.open.difference(&searched);
            self.result.answers.push(answer);
        }
    }
}

/// Returns a replica to hedge to, the later time at which one is worthwhile, or none.
fn next_hedge<'s>(
    scope: &SearchScope<'_>,
    segment: &'s Segment,
    progress: &Progress<'s>,
    started: Instant,
) -> Option<Result<&'s Arc<Leaf>, Instant>> {
    let leaf = progress.next_replica(scope, segment)?;
    // A hedge that usually takes longer than the first attempt has run so far would rarely win.
    let worthwhile_at = started + Duration::from_micros(leaf.latency_us());
    if Instant::now() < worthwhile_at {
        return Some(Err(worthwhile_at));
    }
    if scope.context.quarantine.is_suspect_or_quarantined(scope.service, scope.query)
        || !take_extra(scope, "hedge")
    {
        return None;
    }
    Some(Ok(leaf))
}

/// Returns a replica to retry at; what was never sent is retried for free, a suspect not at all.
fn next_retry<'s>(
    scope: &SearchScope<'_>,
    segment: &'s Segment,
    progress: &Progress<'s>,
    may_retry: bool,
    sent: bool,
) -> Option<&'s Arc<Leaf>> {
    if (progress.result.suspect && !may_retry) || progress.tried.len() >= MAX_ATTEMPTS {
        return None;
    }
    let leaf = progress.next_replica(scope, segment)?;
    (!sent || take_extra(scope, "retry")).then_some(leaf)
}

/// Sends one call and records what it tells about the backend server.
async fn attempt(scope: &SearchScope<'_>, leaf: &Arc<Leaf>, slices: SliceSet) -> Attempt {
    let result = call(scope, leaf, &slices).await;
    Attempt { asked: slices, leaf: Arc::clone(leaf), result }
}

/// Sends one call.
async fn call(
    scope: &SearchScope<'_>,
    leaf: &Leaf,
    slices: &SliceSet,
) -> Result<LeafAnswer, CallError> {
    let search = LeafSearch {
        limit: scope.limit,
        query: scope.query.to_string(),
        service: scope.service.to_string(),
        slices: slices.to_ranges(),
        version: scope.version,
    };
    let started = Instant::now();
    let hop = Duration::from_millis(scope.context.settings.backend.hop_allowance_ms);
    let remaining = scope.deadline.saturating_duration_since(started).saturating_sub(hop);
    let span = Span::enter_with_parent("backend.search", scope.span);
    let traceparent = SpanContext::from_span(&span).map(traceparent_of).unwrap_or_default();
    let call_context = CallContext {
        deadline_unix_ms: scope.deadline_unix_ms.saturating_sub(hop.as_millis() as u64),
        remaining,
        request_id: scope.request_id,
        traceparent: &traceparent,
    };
    let _in_flight = leaf.begin_call();
    let mut timer = CallTimer { answered: false, leaf, started, state: scope.state };
    scope.context.metrics.count("backend.calls");
    let result = scope.context.backend.search(leaf, &search, call_context).await;
    timer.answered = !matches!(result, Err(CallError::Timeout));
    if let Ok(answer) = &result {
        let latency = started.elapsed();
        scope.state.record_slowdown(leaf.record_latency(latency));
        scope.state.latency.record(latency);
        if leaf.apply_versions(&answer.versions, Instant::now()) {
            scope.context.leafs.bump();
        }
    }
    result
}

/// Takes one extra attempt from the budget and counts it.
fn take_extra(scope: &SearchScope<'_>, kind: &str) -> bool {
    if !scope.state.budget.try_take(Instant::now()) {
        scope.context.metrics.count("budget.denied");
        return false;
    }
    scope.context.metrics.count(&format!("budget.{kind}"));
    true
}

/// Sends a copy of the query to an ejected replica whose probe is due; the answer is only timed.
fn probe_ejected(scope: &SearchScope<'_>, segment: &Segment) {
    if !scope.context.choice.uses_ejection() {
        return;
    }
    let Some(leaf) = segment.replicas.iter().find(|leaf| leaf.is_ejected()) else { return };
    let interval = Duration::from_millis(scope.context.settings.ejection.probe_interval_ms);
    let now = Instant::now();
    {
        let mut ejection = crate::locks::lock(&leaf.ejection);
        if ejection.last_probe.is_some_and(|last| now.saturating_duration_since(last) < interval) {
            return;
        }
        ejection.last_probe = Some(now);
    }
    if scope.context.quarantine.is_suspect_or_quarantined(scope.service, scope.query)
        || !take_extra(scope, "probe")
    {
        return;
    }
    let search = LeafSearch {
        limit: scope.limit,
        query: scope.query.to_string(),
        service: scope.service.to_string(),
        slices: segment.slices.to_ranges(),
        version: scope.version,
    };
    let remaining = scope.deadline.saturating_duration_since(now);
    let (context, leaf) = (Arc::clone(scope.context), Arc::clone(leaf));
    let (deadline_unix_ms, request_id) = (scope.deadline_unix_ms, scope.request_id.to_string());
    tokio::spawn(async move {
        let call_context =
            CallContext { deadline_unix_ms, remaining, request_id: &request_id, traceparent: "" };
        let started = Instant::now();
        let answered = context.backend.search(&leaf, &search, call_context).await.is_ok();
        crate::policy::ejection::record_probe(&context, &leaf, answered.then(|| started.elapsed()));
    });
}

/// Reacts to a connection that was lost while the query ran.
fn on_lost(scope: &SearchScope<'_>, leaf: &Leaf) {
    scope.context.metrics.count("backend.lost");
    if leaf.mark_down(Instant::now()) {
        scope.context.leafs.bump();
    }
    scope.context.note_suspect(scope.service, scope.query);
}

/// Reacts to a refusal.
fn on_refused(
    scope: &SearchScope<'_>,
    leaf: &Leaf,
    versions: &[IndexVersion],
    reason: LeafRefusalReason,
) {
    scope.context.metrics.count("backend.refused");
    scope.context.note_refusal(leaf, versions, reason);
}

/// Returns when the hedge is due.
fn hedge_instant(scope: &SearchScope<'_>) -> Option<Instant> {
    scope.context.hedge.delay(&scope.state.latency).map(|delay| Instant::now() + delay)
}
