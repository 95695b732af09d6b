//! Relays: searches of blocks through other VMs.

use std::sync::Arc;

use fastrace::collector::SpanContext;
use tokio::time::Instant;

use crate::ids::{BlockId, VmId};
use crate::messages::{BlockSearch, MissingReason, PeerRequest, PeerResponse};
use crate::process::context::Context;
use crate::process::trace::traceparent_of;
use crate::searches::block_search::BlockResult;
use crate::searches::plan::BlockPlan;
use crate::searches::segment_search::SearchScope;
use crate::searches::slices::SliceSet;

/// Maximum number of relays tried for one block.
const MAX_RELAYS: usize = 2;

/// Searches a block through a VM that connects to it, and through a second one if the first one fails and the retry
/// budget allows it.
pub async fn search_block_via_relay(
    scope: &SearchScope<'_>,
    block: &BlockPlan,
    may_retry: bool,
) -> BlockResult {
    let request = PeerRequest::BlockSearch(BlockSearch {
        block: block.block,
        config_revision: scope.context.config.revision(),
        deadline_unix_ms: scope.deadline_unix_ms,
        limit: scope.limit,
        query: scope.query.to_string(),
        retry: may_retry,
        service: scope.service.to_string(),
        traceparent: SpanContext::from_span(scope.span).map(traceparent_of).unwrap_or_default(),
        version: scope.version,
    });
    scope.state.budget.record_first_attempts(Instant::now(), 1);
    let relays = ranked_relays(scope.context, block.block);
    for (index, relay) in relays.iter().take(MAX_RELAYS).enumerate() {
        if index > 0 && !scope.state.budget.try_take(Instant::now()) {
            break;
        }
        scope.context.metrics.count("relay.requests");
        let attempt_deadline = relay_deadline(scope, index + 1 < relays.len().min(MAX_RELAYS));
        match scope
            .context
            .peers
            .request(&scope.context.config.list(), relay, request.clone(), attempt_deadline)
            .await
        {
            Ok(PeerResponse::Block(answer)) => {
                if answer.suspect {
                    scope.context.report_suspect(scope.service, scope.query);
                }
                let missing = answer
                    .missing
                    .iter()
                    .map(|entry| (entry.reason, SliceSet::from_ranges(&entry.slices)))
                    .collect();
                return BlockResult {
                    answers: answer.answers,
                    missing,
                    overloaded: false,
                    suspect: answer.suspect,
                    version_gone: answer.version_gone,
                };
            }
            Ok(_) | Err(_) => continue,
        }
    }
    BlockResult {
        missing: vec![(MissingReason::RelayLost, block.slices.clone())],
        ..BlockResult::default()
    }
}

/// Returns the deadline for one relay: after half of the remaining time if another relay is left to try.
fn relay_deadline(scope: &SearchScope<'_>, another_left: bool) -> Instant {
    if !another_left {
        return scope.deadline;
    }
    let now = Instant::now();
    now + scope.deadline.saturating_duration_since(now) / 2
}

/// Returns the other reachable VMs that connect to a block, nearest and least loaded first.
pub fn ranked_relays(context: &Arc<Context>, block: BlockId) -> Vec<VmId> {
    let Some(accepted) = context.config.accepted() else { return Vec::new() };
    let members = context.vms_connected_to_block(&accepted, block);
    let mut ranked: Vec<(u64, u32, VmId)> = Vec::new();
    for id in members {
        if id == context.identity.vm_id || context.peers.is_unreachable(&id) {
            continue;
        }
        let distance = context.distance_weight(&id);
        let load = context.peers.requests_in_flight(&id) as u64 + 1;
        ranked.push((distance * load, rand::random(), id));
    }
    ranked.sort();
    ranked.into_iter().map(|(_, _, id)| id).collect()
}
