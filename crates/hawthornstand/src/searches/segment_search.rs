//! Searches one segment: first attempt, hedge, retries, and probes of ejected replicas.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use fastrace::Span;
use fastrace::collector::SpanContext;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::backends::backend_client::{CallContext, CallError};
use crate::backends::leaf::Leaf;
use crate::ids::IndexVersion;
use crate::messages::{LeafAnswer, LeafRefusalReason, LeafSearch, MissingReason};
use crate::policy::replica_selector::preferred_replicas;
use crate::policy::service_state::ServiceState;
use crate::process::context::Context;
use crate::process::timer::sleep_until_or_forever;
use crate::process::trace::traceparent_of;
use crate::searches::plan::Segment;
use crate::searches::slices::SliceSet;

/// Maximum number of attempts at one segment, including hedges.
const MAX_ATTEMPTS: usize = 4;

/// Parameters and state that all segments of one search share.
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
    /// Whether no replica holds the index version any longer.
    pub version_gone: bool,
}

struct Attempt {
    leaf: Arc<Leaf>,
    requested: SliceSet,
    result: Result<LeafAnswer, CallError>,
}

/// Records, when dropped, the running time of a cancelled or timed-out call.
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
            self.leaf.record_cancelled_call(running);
            // Hedges cancel mainly slow calls; without these, the quantile would fall to the latency of fast calls.
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
        return progress.finish_incomplete(MissingReason::NoReplica);
    };
    scope.state.budget.record_first_attempts(Instant::now(), 1);
    probe_ejected(scope, segment);
    let started = Instant::now();
    let mut hedge_due = hedge_due_at(scope);
    attempts.push(progress.attempt(scope, first));
    loop {
        let done = tokio::select! {
            biased;
            Some(done) = attempts.next() => done,
            () = sleep_until_or_forever(hedge_due) => {
                let hedge = next_hedge(scope, segment, &progress, started);
                hedge_due = hedge.as_ref().and_then(|hedge| hedge.as_ref().err().copied());
                if let Some(Ok(leaf)) = hedge {
                    attempts.push(progress.attempt(scope, leaf));
                }
                continue;
            }
            () = tokio::time::sleep_until(scope.deadline) => {
                return progress.finish_incomplete(MissingReason::Deadline);
            }
        };
        let sent = progress.record_result(scope, done);
        if progress.uncovered.is_empty() {
            return progress.result;
        }
        if !attempts.is_empty() {
            continue;
        }
        progress.result.suspect |=
            scope.context.quarantine.is_suspect_or_quarantined(scope.service, scope.query);
        let Some(leaf) = next_retry(scope, segment, &progress, may_retry, sent) else {
            let reason = progress.last_reason;
            return progress.finish_incomplete(reason);
        };
        progress.result.version_gone = false;
        attempts.push(progress.attempt(scope, leaf));
    }
}

/// Progress of the search of one segment.
struct Progress<'s> {
    last_reason: MissingReason,
    result: SegmentResult,
    tried: Vec<&'s str>,
    uncovered: SliceSet,
}

impl<'s> Progress<'s> {
    /// Starts with all slices uncovered.
    fn new(segment: &Segment) -> Self {
        Self {
            last_reason: MissingReason::NoReplica,
            result: SegmentResult::default(),
            tried: Vec::new(),
            uncovered: segment.slices.clone(),
        }
    }

    /// Ends the search with the uncovered slices reported as missing.
    fn finish_incomplete(mut self, reason: MissingReason) -> SegmentResult {
        self.result.missing = Some((reason, self.uncovered));
        self.result
    }

    /// Selects the next replica that has not been tried.
    fn next_replica(&self, scope: &SearchScope<'_>, segment: &'s Segment) -> Option<&'s Arc<Leaf>> {
        let candidates = preferred_replicas(
            &segment.replicas,
            &self.tried,
            scope.context.replica_selector.uses_ejection(),
        );
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[scope.context.replica_selector.select(&candidates, Instant::now())])
    }

    /// Starts an attempt to search the uncovered slices on a replica.
    fn attempt<'a>(
        &mut self,
        scope: &'a SearchScope<'a>,
        leaf: &'s Arc<Leaf>,
    ) -> impl Future<Output = Attempt> + use<'a, 's> {
        self.tried.push(&leaf.id);
        attempt(scope, leaf, self.uncovered.clone())
    }

    /// Records the result of an attempt; returns false if its request was not sent.
    fn record_result(&mut self, scope: &SearchScope<'_>, done: Attempt) -> bool {
        match done.result {
            Ok(answer) => self.record_answer(scope, &done.leaf, &done.requested, answer),
            Err(CallError::Lost) => {
                on_lost(scope, &done.leaf);
                self.result.suspect = true;
                self.last_reason = MissingReason::ReplicaLost;
            }
            Err(CallError::NotSent(_)) => {
                if done.leaf.mark_down(Instant::now()) {
                    scope.context.leafs.bump_generation();
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
            Err(CallError::Malformed(error)) => {
                log::debug!("malformed answer from backend server {}: {error}", done.leaf.id);
                scope.context.metrics.count("backend.malformed");
                self.last_reason = MissingReason::ReplicaLost;
            }
            Err(CallError::Timeout) => self.last_reason = MissingReason::Deadline,
        }
        true
    }

    /// Records an answer; requested slices that it lacks are removed from the index contents of the backend server.
    fn record_answer(
        &mut self,
        scope: &SearchScope<'_>,
        leaf: &Leaf,
        requested: &SliceSet,
        answer: LeafAnswer,
    ) {
        let searched = SliceSet::from_ranges(&answer.slices);
        let lacked = requested.difference(&searched);
        if !lacked.is_empty() {
            leaf.remove_slices(&lacked);
            scope.context.leafs.bump_generation();
        }
        if answer.version == scope.version {
            self.uncovered = self.uncovered.difference(&searched);
            self.result.answers.push(answer);
        }
    }
}

/// Returns a replica for a hedge, or the later time at which a hedge is worthwhile, or none if no hedge is possible.
fn next_hedge<'s>(
    scope: &SearchScope<'_>,
    segment: &'s Segment,
    progress: &Progress<'s>,
    started: Instant,
) -> Option<Result<&'s Arc<Leaf>, Instant>> {
    let leaf = progress.next_replica(scope, segment)?;
    // A hedge that on average takes longer than the first attempt has run so far would rarely answer first.
    let worthwhile_at = started + Duration::from_micros(leaf.latency_us());
    if Instant::now() < worthwhile_at {
        return Some(Err(worthwhile_at));
    }
    if scope.context.quarantine.is_suspect_or_quarantined(scope.service, scope.query)
        || !take_extra_attempt(scope, "hedge")
    {
        return None;
    }
    Some(Ok(leaf))
}

/// Returns a replica for a retry, or none. The retry of an unsent request is not charged to the retry budget; a suspect
/// query is retried only if `may_retry` is set.
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
    (!sent || take_extra_attempt(scope, "retry")).then_some(leaf)
}

/// Runs one attempt on a replica.
async fn attempt(scope: &SearchScope<'_>, leaf: &Arc<Leaf>, slices: SliceSet) -> Attempt {
    let result = call(scope, leaf, &slices).await;
    Attempt { leaf: Arc::clone(leaf), requested: slices, result }
}

/// Sends one call; records its latency and the index versions that the backend server reports.
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
    let hop_allowance = Duration::from_millis(scope.context.settings.backend.hop_allowance_ms);
    let remaining = scope.deadline.saturating_duration_since(started).saturating_sub(hop_allowance);
    let span = Span::enter_with_parent("backend.search", scope.span);
    let traceparent = SpanContext::from_span(&span).map(traceparent_of).unwrap_or_default();
    let call_context = CallContext {
        deadline_unix_ms: scope.deadline_unix_ms.saturating_sub(hop_allowance.as_millis() as u64),
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
            scope.context.leafs.bump_generation();
        }
    }
    result
}

/// Takes one extra attempt from the retry budget and counts it in the metrics under its kind.
fn take_extra_attempt(scope: &SearchScope<'_>, kind: &str) -> bool {
    if !scope.state.budget.try_take(Instant::now()) {
        scope.context.metrics.count("budget.denied");
        return false;
    }
    scope.context.metrics.count(&format!("budget.{kind}"));
    true
}

/// Sends a copy of the query to an ejected replica whose probe is due; only the latency of the answer is used.
fn probe_ejected(scope: &SearchScope<'_>, segment: &Segment) {
    if !scope.context.replica_selector.uses_ejection() {
        return;
    }
    let Some(leaf) = segment.replicas.iter().find(|leaf| leaf.is_ejected()) else { return };
    let interval = Duration::from_millis(scope.context.settings.ejection.probe_interval_ms);
    let now = Instant::now();
    {
        let mut probes = crate::locks::lock(&leaf.ejection_probes);
        if probes.last_probe_at.is_some_and(|last| now.saturating_duration_since(last) < interval) {
            return;
        }
        probes.last_probe_at = Some(now);
    }
    if scope.context.quarantine.is_suspect_or_quarantined(scope.service, scope.query)
        || !take_extra_attempt(scope, "probe")
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

/// Handles a connection lost while the query ran: the backend server is down and the query is suspect.
fn on_lost(scope: &SearchScope<'_>, leaf: &Leaf) {
    scope.context.metrics.count("backend.lost");
    if leaf.mark_down(Instant::now()) {
        scope.context.leafs.bump_generation();
    }
    scope.context.report_suspect(scope.service, scope.query);
}

/// Counts a refusal and records what it reports about the backend server.
fn on_refused(
    scope: &SearchScope<'_>,
    leaf: &Leaf,
    versions: &[IndexVersion],
    reason: LeafRefusalReason,
) {
    scope.context.metrics.count("backend.refused");
    scope.context.apply_refusal(leaf, versions, reason);
}

/// Returns the time at which a hedge is due, or none if no hedge is to be sent.
fn hedge_due_at(scope: &SearchScope<'_>) -> Option<Instant> {
    scope.context.hedge.delay(&scope.state.latency).map(|delay| Instant::now() + delay)
}
