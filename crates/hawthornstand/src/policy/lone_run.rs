//! Lone runs: a suspect request runs in isolation on one backend server before it may run on many.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::backends::backend_client::{CallContext, CallError};
use crate::backends::health_prober;
use crate::backends::leaf::Leaf;
use crate::ids::{Fingerprint, VmId, fingerprint};
use crate::messages::{FactBody, LeafSearch, LoneRun, LoneVerdict, PeerRequest, PeerResponse};
use crate::policy::quarantine::QuarantineStatus;
use crate::process::context::Context;
use crate::searches::plan::{RoutingPlan, Segment};
use crate::searches::planner::plan;
use crate::searches::relay::ranked_relays;

/// Returns the verdict on a suspect request: that of its owner VM, or that of a lone run by this VM if it is the owner
/// or gets no verdict from it.
///
/// On this VM, at most one lone run of a request is in progress at a time, and none is started once the request is
/// cleared or quarantined.
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
    let mut unreachable_owner: Option<VmId> = None;
    loop {
        let Ok(guard) = tokio::time::timeout_at(deadline, lock.lock()).await else {
            return LoneVerdict::Undecided;
        };
        match context.quarantine.status(fingerprint, Instant::now()) {
            QuarantineStatus::Clear => return LoneVerdict::Cleared,
            QuarantineStatus::Quarantined { .. } => return LoneVerdict::Quarantined,
            QuarantineStatus::Suspect { owner }
                if owner != context.identity.vm_id
                    && unreachable_owner.as_ref() != Some(&owner) =>
            {
                // Two VMs that request verdicts from each other with the lock held would deadlock.
                drop(guard);
                if let Some(verdict) =
                    request_verdict(context, &owner, service, query, deadline, false).await
                {
                    return verdict;
                }
                log::info!(
                    "no verdict from VM {owner}; this VM runs request {fingerprint:016x} alone"
                );
                unreachable_owner = Some(owner);
            }
            QuarantineStatus::Suspect { .. } => {
                let verdict = run_locally_or_relayed(context, service, query, deadline).await;
                apply_verdict(context, service, fingerprint, verdict);
                return verdict;
            }
        }
    }
}

/// Records a verdict in the quarantine table and broadcasts it to other VMs.
pub fn apply_verdict(
    context: &Context,
    service: &str,
    fingerprint: Fingerprint,
    verdict: LoneVerdict,
) {
    match verdict {
        LoneVerdict::Cleared => {
            if context.quarantine.clear_suspect(fingerprint) {
                context.peers.broadcast_facts(vec![FactBody::Cleared { fingerprint }]);
            }
        }
        LoneVerdict::Quarantined => {
            let ttl_ms = context.settings.quarantine.quarantine_ms;
            context.quarantine.mark_quarantined(
                fingerprint,
                Duration::from_millis(ttl_ms),
                Instant::now(),
            );
            context.peers.broadcast_facts(vec![FactBody::Quarantined { fingerprint, ttl_ms }]);
            context.metrics.count("quarantine.quarantined");
            log::warn!(
                "request {fingerprint:016x} of service {service} quarantined: a second backend server was lost while running it"
            );
        }
        LoneVerdict::Undecided => {}
    }
}

/// Runs the request on one backend server, from this VM or through a relay VM.
async fn run_locally_or_relayed(
    context: &Arc<Context>,
    service: &str,
    query: &str,
    deadline: Instant,
) -> LoneVerdict {
    let Some(accepted) = context.config.accepted() else { return LoneVerdict::Undecided };
    let Some(plan) = plan(context, &accepted, service, None) else { return LoneVerdict::Undecided };
    if plan.blocks.iter().any(|block| block.connected) {
        return run_locally(context, &plan, query, deadline).await;
    }
    for block in &plan.blocks {
        let Some(relay) = ranked_relays(context, block.block).into_iter().next() else { continue };
        if let Some(verdict) =
            request_verdict(context, &relay, service, query, deadline, true).await
        {
            return verdict;
        }
    }
    LoneVerdict::Undecided
}

/// Runs the request on one backend server that this VM connects to, preferably one whose slices have other replicas.
///
/// No two lone runs share a backend server at the same time: its loss could not be attributed to one of the requests.
async fn run_locally(
    context: &Arc<Context>,
    plan: &RoutingPlan,
    query: &str,
    deadline: Instant,
) -> LoneVerdict {
    for (segment, leaf) in lone_run_candidates(plan) {
        let Ok(_lone_run) = tokio::time::timeout_at(deadline, leaf.lone_run.lock()).await else {
            return LoneVerdict::Undecided;
        };
        if leaf.is_leaving() || leaf.is_down() {
            continue;
        }
        // Probes first, so that a crash caused by another request is not blamed on this one.
        health_prober::probe(context, leaf).await;
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
                context.leafs.bump_generation();
                return LoneVerdict::Quarantined;
            }
            Err(CallError::NotSent(_) | CallError::Refused(_)) => continue,
            Err(CallError::Malformed(_) | CallError::Timeout) => return LoneVerdict::Undecided,
        }
    }
    LoneVerdict::Undecided
}

/// Returns the replicas for a lone run: those without one in progress first, then those whose segment has the most
/// replicas.
fn lone_run_candidates(plan: &RoutingPlan) -> Vec<(&Segment, &Arc<Leaf>)> {
    let mut candidates = Vec::new();
    for segment in
        plan.blocks.iter().filter(|block| block.connected).flat_map(|block| &block.segments)
    {
        candidates.extend(segment.replicas.iter().map(|leaf| (segment, leaf)));
    }
    candidates.sort_by_key(|(segment, leaf)| {
        (leaf.lone_run.try_lock().is_err(), Reverse(segment.replicas.len()))
    });
    candidates
}

/// Requests the verdict of another VM; returns none if the request fails or its response is no verdict.
///
/// `direct` requests a lone run on a backend server that the other VM connects to.
async fn request_verdict(
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
            log::debug!("verdict request to VM {vm} failed: {error}");
            None
        }
    }
}

/// Serves a verdict request from another VM.
pub async fn serve(context: &Arc<Context>, request: LoneRun) -> PeerResponse {
    let deadline =
        crate::process::clock::deadline_instant(&*context.clock, request.deadline_unix_ms);
    if !request.direct {
        // The gossiped fact that marks the request as suspect may arrive after this message.
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
        Some(plan) => {
            PeerResponse::Lone(run_locally(context, &plan, &request.query, deadline).await)
        }
        None => PeerResponse::Lone(LoneVerdict::Undecided),
    }
}
