//! Runs a suspect request on one backend server alone, before it may run on many.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::backends::backend::{CallContext, CallError};
use crate::backends::health_poll;
use crate::backends::leaf::Leaf;
use crate::ids::{Fingerprint, VmId, fingerprint};
use crate::messages::{FactBody, LeafSearch, LoneRun, LoneVerdict, PeerRequest, PeerResponse};
use crate::policy::quarantine::QuarantineStatus;
use crate::process::context::Context;
use crate::searches::plan::{RoutingPlan, Segment};
use crate::searches::planner::plan;
use crate::searches::relay::ranked_relays;

/// Returns the verdict on a suspect; its owner judges it, or this VM where the owner is out of reach.
///
/// One run of a request at a time, and none once its standing is settled.
pub async fn resolve_suspect(
    context: &Arc<Context>,
    service: &str,
    query: &str,
    deadline: Instant,
) -> LoneVerdict {
    let fingerprint = fingerprint(service, query);
    let Some(lock) = context.quarantine.lone_run_lock(fingerprint) else {
        return LoneVerdict::Cleared;
    };
    let mut out_of_reach: Option<VmId> = None;
    loop {
        let Ok(guard) = tokio::time::timeout_at(deadline, lock.lock()).await else {
            return LoneVerdict::Undecided;
        };
        match context.quarantine.status(fingerprint, Instant::now()) {
            QuarantineStatus::Clear => return LoneVerdict::Cleared,
            QuarantineStatus::Quarantined { .. } => return LoneVerdict::Quarantined,
            QuarantineStatus::Suspect { owner }
                if owner != context.identity.vm_id && out_of_reach.as_ref() != Some(&owner) =>
            {
                // Asking with the lock held would let two VMs wait for each other.
                drop(guard);
                if let Some(verdict) = ask(context, &owner, service, query, deadline, false).await {
                    return verdict;
                }
                log::info!("VM {owner} is out of reach; request {fingerprint:016x} is judged here");
                out_of_reach = Some(owner);
            }
            QuarantineStatus::Suspect { .. } => {
                let verdict = run_alone(context, service, query, deadline).await;
                apply_verdict(context, service, fingerprint, verdict);
                return verdict;
            }
        }
    }
}

/// Takes over a verdict and spreads it.
pub fn apply_verdict(
    context: &Context,
    service: &str,
    fingerprint: Fingerprint,
    verdict: LoneVerdict,
) {
    match verdict {
        LoneVerdict::Cleared => {
            if context.quarantine.clear_suspect(fingerprint) {
                context.peers.spread(vec![FactBody::Cleared { fingerprint }]);
            }
        }
        LoneVerdict::Quarantined => {
            let ttl_ms = context.settings.quarantine.quarantine_ms;
            context.quarantine.mark_quarantined(
                fingerprint,
                Duration::from_millis(ttl_ms),
                Instant::now(),
            );
            context.peers.spread(vec![FactBody::Quarantined { fingerprint, ttl_ms }]);
            context.metrics.count("quarantine.quarantined");
            log::warn!(
                "request {fingerprint:016x} of service {service} quarantined: a second backend server was lost while running it"
            );
        }
        LoneVerdict::Undecided => {}
    }
}

/// Sends the request to one backend server, from here or through a relay.
async fn run_alone(
    context: &Arc<Context>,
    service: &str,
    query: &str,
    deadline: Instant,
) -> LoneVerdict {
    let Some(accepted) = context.config.accepted() else { return LoneVerdict::Undecided };
    let Some(plan) = plan(context, &accepted, service, None) else { return LoneVerdict::Undecided };
    if plan.blocks.iter().any(|block| block.connected) {
        return run_here(context, &plan, query, deadline).await;
    }
    for block in &plan.blocks {
        let Some(relay) = ranked_relays(context, block.block).into_iter().next() else { continue };
        if let Some(verdict) = ask(context, &relay, service, query, deadline, true).await {
            return verdict;
        }
    }
    LoneVerdict::Undecided
}

/// Sends the request to one backend server; a replica that shares its slices with others goes first.
///
/// Of several suspects each runs at a backend server of its own: the loss of one would tell of all of them.
async fn run_here(
    context: &Arc<Context>,
    plan: &RoutingPlan,
    query: &str,
    deadline: Instant,
) -> LoneVerdict {
    for (segment, leaf) in places(plan) {
        let Ok(_alone) = tokio::time::timeout_at(deadline, leaf.lone_run.lock()).await else {
            return LoneVerdict::Undecided;
        };
        if leaf.is_leaving() || leaf.is_down() {
            continue;
        }
        // A server that another request has just crashed would tell nothing of this one.
        health_poll::probe(context, leaf).await;
        if leaf.is_down() {
            continue;
        }
        let search = LeafSearch {
            limit: 1,
            query: query.to_string(),
            service: plan.service.name.clone(),
            slices: segment.slices.to_ranges(),
            version: plan.version,
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        let request_id = context.next_request_id();
        let call = CallContext {
            deadline_unix_ms: context.clock.unix_ms() + remaining.as_millis() as u64,
            remaining,
            request_id: &request_id,
            traceparent: "",
        };
        let _in_flight = leaf.begin_call();
        match context.backend.search(leaf, &search, call).await {
            Ok(_) => return LoneVerdict::Cleared,
            Err(CallError::Lost) => {
                leaf.mark_down(Instant::now());
                context.leafs.bump();
                return LoneVerdict::Quarantined;
            }
            Err(CallError::NotSent(_) | CallError::Refused(_)) => continue,
            Err(CallError::Malformed(_) | CallError::Timeout) => return LoneVerdict::Undecided,
        }
    }
    LoneVerdict::Undecided
}

/// Returns where a suspect may run: where none runs now first, then where the most replicas are left.
fn places(plan: &RoutingPlan) -> Vec<(&Segment, &Arc<Leaf>)> {
    let mut places = Vec::new();
    for segment in
        plan.blocks.iter().filter(|block| block.connected).flat_map(|block| &block.segments)
    {
        places.extend(segment.replicas.iter().map(|leaf| (segment, leaf)));
    }
    places.sort_by_key(|(segment, leaf)| {
        (leaf.lone_run.try_lock().is_err(), Reverse(segment.replicas.len()))
    });
    places
}

/// Asks another VM for the verdict; none if it cannot be asked or does not answer.
async fn ask(
    context: &Arc<Context>,
    vm: &VmId,
    service: &str,
    query: &str,
    deadline: Instant,
    direct: bool,
) -> Option<LoneVerdict> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let request = PeerRequest::LoneRun(LoneRun {
        deadline_unix_ms: context.clock.unix_ms() + remaining.as_millis() as u64,
        direct,
        query: query.to_string(),
        service: service.to_string(),
    });
    match context.peers.request(&context.config.list(), vm, request, deadline).await {
        Ok(PeerResponse::Lone(verdict)) => Some(verdict),
        Ok(_) => None,
        Err(error) => {
            log::debug!("VM {vm} gives no verdict: {error}");
            None
        }
    }
}

/// Serves another VM's request for a verdict.
pub async fn serve(context: &Arc<Context>, request: LoneRun) -> PeerResponse {
    let deadline =
        crate::process::clock::deadline_instant(&*context.clock, request.deadline_unix_ms);
    if !request.direct {
        // The fact that made it suspect may be slower than this request.
        let ttl = Duration::from_millis(context.settings.quarantine.suspect_ms);
        let fingerprint = fingerprint(&request.service, &request.query);
        context.quarantine.mark_suspect(fingerprint, &context.identity.vm_id, ttl, Instant::now());
        return PeerResponse::Lone(
            resolve_suspect(context, &request.service, &request.query, deadline).await,
        );
    }
    let accepted = context.config.accepted();
    let plan = accepted.and_then(|accepted| plan(context, &accepted, &request.service, None));
    match plan {
        Some(plan) => PeerResponse::Lone(run_here(context, &plan, &request.query, deadline).await),
        None => PeerResponse::Lone(LoneVerdict::Undecided),
    }
}
