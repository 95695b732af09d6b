//! Runs a caller's search over every block of a service.

use std::sync::Arc;
use std::time::Duration;

use fastrace::Span;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::configuration::published::{Accepted, PlacedService};
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

/// Times a search starts again on another version.
const MAX_RESTARTS: usize = 3;

/// A caller's search with what came in its headers.
pub struct Search {
    pub complete_only: bool,
    pub deadline_unix_ms: UnixMs,
    pub request: SearchRequest,
    pub service: String,
    pub span: Span,
}

/// Answers a search with what is there at its deadline at the latest.
pub async fn run(context: &Arc<Context>, search: &Search) -> Result<SearchAnswer, Failure> {
    let Some(accepted) = context.config.accepted() else {
        return Err(Failure::new(ErrorKind::NotReady, "no configuration is accepted yet"));
    };
    let Some(placed) = accepted.service(&search.service) else {
        return Err(Failure::new(ErrorKind::UnknownService, search.service.clone()));
    };
    let deadline = deadline_instant(&*context.clock, search.deadline_unix_ms);
    settle_standing(context, search, deadline).await?;
    let state = context.services.get_or_create(&search.service);
    let permit =
        state.admission.try_acquire(placed.service.priority, Instant::now()).inspect_err(|_| {
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
    let (answer, overloaded) = search_versions(&accepted, &mut scope).await?;
    permit.finish(Instant::now(), overloaded, state.slowdown_percent());
    context.metrics.count(if answer.coverage.complete {
        "search.complete"
    } else {
        "search.partial"
    });
    if search.complete_only && !answer.coverage.complete {
        let total = slices_in_all(placed);
        let message = format!("the answer lacks {} of {total} slices", total - covered(&answer));
        return Err(Failure::new(ErrorKind::Incomplete, message));
    }
    Ok(answer)
}

/// Searches the best version, and starts again on another one where the first is retired meanwhile.
async fn search_versions(
    accepted: &Accepted,
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
        if best.as_ref().is_none_or(|(known, _)| covered(&answer) > covered(known)) {
            best = Some((answer, overloaded));
        }
        if complete || !version_gone || Instant::now() >= scope.deadline {
            break;
        }
        scope.context.metrics.count("search.restarted");
    }
    best.ok_or_else(|| Failure::new(ErrorKind::NoReplica, scope.service))
}

/// Searches one plan, and what was lost of it once more after the query has proved harmless.
async fn search_plan(scope: &SearchScope<'_>, plan: &RoutingPlan) -> (SearchAnswer, bool, bool) {
    let mut merger = Merger::new(plan.version, plan.slices.clone());
    let result = search_blocks(scope, plan).await;
    let (suspect, mut overloaded, mut version_gone) =
        (result.suspect, result.overloaded, result.version_gone);
    fill(&mut merger, result);
    if suspect && !merger.uncovered().is_empty() {
        let verdict =
            lone_run::resolve_suspect(scope.context, scope.service, scope.query, scope.deadline)
                .await;
        if verdict == LoneVerdict::Cleared {
            let again = search_uncovered(scope, plan, &merger).await;
            overloaded |= again.overloaded;
            version_gone |= again.version_gone;
            fill(&mut merger, again);
        } else {
            merger.add_missing(MissingReason::Quarantined, merger.uncovered());
        }
    }
    let limit = scope.limit.min(scope.context.settings.search.max_hits) as usize;
    (merger.finish(scope.service, limit), overloaded, version_gone)
}

/// Searches every block at once, here or through a relay.
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

/// Searches the slices that are still missing, planned from the present state.
async fn search_uncovered(
    scope: &SearchScope<'_>,
    plan: &RoutingPlan,
    merger: &Merger,
) -> BlockResult {
    let uncovered = merger.uncovered();
    let mut all = BlockResult::default();
    for block in &plan.blocks {
        let open = block.slices.intersection(&uncovered);
        if open.is_empty() {
            continue;
        }
        let result = if block.connected {
            let replicas = scope.context.service_replicas(scope.service, block.block);
            search_segments(scope, &split_into_segments(&replicas, plan.version, &open), true).await
        } else {
            search_block_via_relay(scope, block, true).await
        };
        all.merge(result);
    }
    all
}

/// Moves a result into the merger.
fn fill(merger: &mut Merger, result: BlockResult) {
    for answer in result.answers {
        merger.add(answer);
    }
    for (reason, slices) in result.missing {
        merger.add_missing(reason, slices);
    }
}

/// Refuses a quarantined request and clears a suspect one before it may run.
async fn settle_standing(
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

/// Creates the refusal of a quarantined request.
pub fn quarantined_failure(retry_after: Duration) -> Failure {
    Failure::new(ErrorKind::Quarantined, "a backend server was lost each time it ran")
        .with_retry_after_ms(retry_after.as_millis() as u64)
}

/// Returns how many slices a service has.
fn slices_in_all(placed: &PlacedService) -> u64 {
    placed.service.slice_end - placed.service.slice_start
}

/// Returns how many slices an answer covers.
fn covered(answer: &SearchAnswer) -> u64 {
    answer.coverage.covered.iter().map(|range| range.end - range.start).sum()
}
