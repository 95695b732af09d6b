//! Runs a caller's search over every block of a service.

use std::sync::Arc;
use std::time::Duration;

use fastrace::Span;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::configuration::published::{AcceptedConfig, ResolvedService};
use crate::error::{ErrorKind, Failure};
use crate::ids::{UnixMs, fingerprint};
use crate::messages::{LoneVerdict, MissingReason, SearchAnswer, SearchRequest};
use crate::policy::lone_run;
use crate::policy::quarantine::QuarantineStatus;
use crate::process::clock::deadline_instant;
use crate::process::context::Context;
use crate::searches::block_search::{BlockResult, search_segments};
use crate::searches::merge::Merger;
use crate::searches::plan::RoutingPlan;
use crate::searches::planner::{plan, split_into_segments};
use crate::searches::relay::search_block_via_relay;
use crate::searches::segment_search::SearchScope;

/// Maximum number of restarts of a search on another index version.
const MAX_RESTARTS: usize = 3;

/// A caller's search request with the parameters from its headers.
pub struct Search {
    pub complete_only: bool,
    pub deadline_unix_ms: UnixMs,
    pub request: SearchRequest,
    pub service: String,
    pub span: Span,
}

/// Runs a search and returns the answer, possibly a partial one, by its deadline.
pub async fn run(context: &Arc<Context>, search: &Search) -> Result<SearchAnswer, Failure> {
    let Some(accepted) = context.config.accepted() else {
        return Err(Failure::new(ErrorKind::NotReady, "no configuration is accepted yet"));
    };
    let Some(resolved) = accepted.service(&search.service) else {
        return Err(Failure::new(ErrorKind::UnknownService, search.service.clone()));
    };
    let deadline = deadline_instant(&*context.clock, search.deadline_unix_ms);
    check_quarantine(context, search, deadline).await?;
    let state = context.services.get_or_create(&search.service);
    let permit = state
        .admission
        .try_acquire(resolved.service.priority, Instant::now())
        .inspect_err(|_| {
            context.metrics.count("search.refused");
        })?;
    let request_id = context.next_request_id();
    let mut scope = SearchScope {
        context,
        deadline,
        deadline_unix_ms: search.deadline_unix_ms,
        limit: search.request.limit,
        query: &search.request.query,
        request_id: &request_id,
        service: &search.service,
        state: &state,
        span: &search.span,
        version: 0,
    };
    let (answer, overloaded) = search_with_restarts(&accepted, &mut scope).await?;
    permit.finish(Instant::now(), overloaded, state.slowdown_percent());
    context.metrics.count(if answer.coverage.complete {
        "search.complete"
    } else {
        "search.partial"
    });
    if search.complete_only && !answer.coverage.complete {
        let total = service_slice_count(resolved);
        let message =
            format!("the answer lacks {} of {total} slices", total - covered_slice_count(&answer));
        return Err(Failure::new(ErrorKind::Incomplete, message));
    }
    Ok(answer)
}

/// Searches the best index version; restarts on another one if that version is retired during the search.
///
/// Returns the best answer and whether a backend server shed load during its search.
async fn search_with_restarts(
    accepted: &AcceptedConfig,
    scope: &mut SearchScope<'_>,
) -> Result<(SearchAnswer, bool), Failure> {
    let mut best: Option<(SearchAnswer, bool)> = None;
    for _ in 0..=MAX_RESTARTS {
        let Some(plan) = plan(scope.context, accepted, scope.service, None) else {
            return Err(Failure::new(ErrorKind::UnknownService, scope.service));
        };
        if plan.version == 0 {
            return Err(Failure::new(
                ErrorKind::NoReplica,
                "no backend server of the service has answered yet",
            ));
        }
        if best.as_ref().is_some_and(|(answer, _)| answer.version == plan.version) {
            break;
        }
        scope.version = plan.version;
        let (answer, overloaded, version_gone) = search_plan(scope, &plan).await;
        let complete = answer.coverage.complete;
        if best.as_ref().is_none_or(|(previous, _)| {
            covered_slice_count(&answer) > covered_slice_count(previous)
        }) {
            best = Some((answer, overloaded));
        }
        if complete || !version_gone || Instant::now() >= scope.deadline {
            break;
        }
        scope.context.metrics.count("search.restarted");
    }
    best.ok_or_else(|| Failure::new(ErrorKind::NoReplica, scope.service))
}

/// Searches one plan; if a backend server was lost, searches the uncovered slices again once a lone run has cleared
/// the query.
///
/// Returns the answer, whether a backend server shed load, and whether the index version is no longer held.
async fn search_plan(scope: &SearchScope<'_>, plan: &RoutingPlan) -> (SearchAnswer, bool, bool) {
    let mut merger = Merger::new(plan.version, plan.slices.clone());
    let result = search_blocks(scope, plan).await;
    let (suspect, mut overloaded, mut version_gone) =
        (result.suspect, result.overloaded, result.version_gone);
    merge_result(&mut merger, result);
    if suspect && !merger.uncovered().is_empty() {
        let verdict =
            lone_run::resolve_suspect(scope.context, scope.service, scope.query, scope.deadline)
                .await;
        if verdict == LoneVerdict::Cleared {
            let retried = search_uncovered(scope, plan, &merger).await;
            overloaded |= retried.overloaded;
            version_gone |= retried.version_gone;
            merge_result(&mut merger, retried);
        } else {
            merger.add_missing(MissingReason::Quarantined, merger.uncovered());
        }
    }
    let limit = scope.limit.min(scope.context.settings.search.max_hits) as usize;
    (merger.finish(scope.service, limit), overloaded, version_gone)
}

/// Searches all blocks concurrently, from this VM or through a relay.
async fn search_blocks(scope: &SearchScope<'_>, plan: &RoutingPlan) -> BlockResult {
    let mut running = FuturesUnordered::new();
    for block in &plan.blocks {
        running.push(async move {
            if block.connected {
                search_segments(scope, &block.segments, false).await
            } else {
                search_block_via_relay(scope, block, false).await
            }
        });
    }
    let mut all = BlockResult::default();
    while let Some(result) = running.next().await {
        all.merge(result);
    }
    all
}

/// Searches the uncovered slices, in segments built from the current state of the backend servers.
async fn search_uncovered(
    scope: &SearchScope<'_>,
    plan: &RoutingPlan,
    merger: &Merger,
) -> BlockResult {
    let uncovered = merger.uncovered();
    let mut all = BlockResult::default();
    for block in &plan.blocks {
        let uncovered_in_block = block.slices.intersection(&uncovered);
        if uncovered_in_block.is_empty() {
            continue;
        }
        let result = if block.connected {
            let replicas = scope.context.service_replicas(scope.service, block.block);
            search_segments(
                scope,
                &split_into_segments(&replicas, plan.version, &uncovered_in_block),
                true,
            )
            .await
        } else {
            search_block_via_relay(scope, block, true).await
        };
        all.merge(result);
    }
    all
}

/// Adds the answers and missing slices of a result to the merger.
fn merge_result(merger: &mut Merger, result: BlockResult) {
    for answer in result.answers {
        merger.add(answer);
    }
    for (reason, slices) in result.missing {
        merger.add_missing(reason, slices);
    }
}

/// Refuses a quarantined request; a suspect one must be cleared by a lone run first.
async fn check_quarantine(
    context: &Arc<Context>,
    search: &Search,
    deadline: Instant,
) -> Result<(), Failure> {
    let fingerprint = fingerprint(&search.service, &search.request.query);
    match context.quarantine.status(fingerprint, Instant::now()) {
        QuarantineStatus::Clear => Ok(()),
        QuarantineStatus::Quarantined { retry_after } => Err(quarantined_failure(retry_after)),
        QuarantineStatus::Suspect { .. } => {
            let (service, query) = (&search.service, &search.request.query);
            match lone_run::resolve_suspect(context, service, query, deadline).await {
                LoneVerdict::Cleared => Ok(()),
                LoneVerdict::Quarantined => Err(quarantined_failure(Duration::from_millis(
                    context.settings.quarantine.quarantine_ms,
                ))),
                LoneVerdict::Undecided => {
                    Err(Failure::new(ErrorKind::Suspect, search.service.clone()))
                }
            }
        }
    }
}

/// Creates the failure of a quarantined request.
pub fn quarantined_failure(retry_after: Duration) -> Failure {
    Failure::new(ErrorKind::Quarantined, "a backend server was lost each time it ran")
        .with_retry_after_ms(retry_after.as_millis() as u64)
}

/// Returns the number of slices of a service.
fn service_slice_count(resolved: &ResolvedService) -> u64 {
    resolved.service.slice_end - resolved.service.slice_start
}

/// Returns the number of slices that an answer covers.
fn covered_slice_count(answer: &SearchAnswer) -> u64 {
    answer.coverage.covered.iter().map(|range| range.end - range.start).sum()
}
