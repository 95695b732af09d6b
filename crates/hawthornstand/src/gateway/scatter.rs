//! Answers a search from one backend server of every shard.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::error::{ErrorKind, Failure};
use crate::gateway::answer_memory::AnswerPermit;
use crate::gateway::attempts::{self, AttemptsError, ServiceCapacity};
use crate::gateway::call::Answer;
use crate::gateway::context::GatewayContext;
use crate::gateway::directory::Service;
use crate::gateway::model::{Route, ShardSet};
use crate::gateway::outbound_request::OutboundRequest;
use crate::gateway::partial::{self, PartialAnswerPolicy, Progress, Step};
use crate::gateway::time_budget::TimeBudget;
use crate::gateway::top_records;
use crate::ids::ServiceName;

/// Merged answer to a search.
#[derive(Debug)]
pub struct MergedAnswer {
    pub body: Bytes,
    /// Shards without a part in the answer.
    pub missing: Vec<ServiceName>,
    /// Signatures of the parts of the answer.
    pub signatures: Vec<Bytes>,
}

/// Parts received so far.
struct GatheredParts {
    answered: Vec<usize>,
    /// Time after the request's arrival at which enough shards had answered.
    enough_after: Option<Duration>,
    bodies: Vec<Bytes>,
    /// Memory of the bodies.
    memory: Vec<AnswerPermit>,
    /// Shards that can no longer answer.
    failed: usize,
    signatures: Vec<Bytes>,
}

/// Sends a search to every shard and answers as soon as the policy for partial answers allows.
///
/// # Errors
///
/// Returns the failure that is reported to the caller if too few shards answer.
pub async fn run(
    route: &Route,
    shard_set: &ShardSet,
    shards: &[Arc<Service>],
    request: &Arc<OutboundRequest>,
    time_budget: &TimeBudget,
    context: &GatewayContext,
) -> Result<MergedAnswer, Failure> {
    let policy = PartialAnswerPolicy {
        target_latency: route.target_latency,
        min_shards: partial::min_shards(shard_set.min_shard_fraction, shards.len()),
        time_limit: time_budget.left(),
    };
    check_capacity(&policy, shards)?;
    let mut parts = GatheredParts {
        answered: Vec::with_capacity(shards.len()),
        enough_after: None,
        bodies: Vec::with_capacity(shards.len()),
        failed: 0,
        memory: Vec::with_capacity(shards.len()),
        signatures: Vec::with_capacity(shards.len()),
    };
    let search = |index: usize| async move {
        (index, attempts::run(&shards[index], request, route, time_budget, context).await)
    };
    let has_trial = request.is_trial && !shards.is_empty();
    let first = has_trial.then(|| rand::random_range(0..shards.len()));
    if let Some(index) = first {
        // One shard shows whether the search crashes backend servers.
        parts.record(index, search(index).await.1);
        if parts.answered.is_empty() {
            return Err(parts.failure(&policy, shards.len(), request));
        }
    }
    let mut calls: FuturesUnordered<_> =
        (0..shards.len()).filter(|index| Some(*index) != first).map(search).collect();
    loop {
        let progress = Progress {
            answered: parts.answered.len(),
            enough_after: parts.enough_after,
            failed: parts.failed,
            shards: shards.len(),
        };
        let until = match partial::next_step(&policy, progress, time_budget.spent()) {
            Step::Answer => break,
            Step::Fail => return Err(parts.failure(&policy, shards.len(), request)),
            Step::WaitUntil(until) => until,
        };
        tokio::select! {
            biased;
            Some((index, result)) = calls.next() => {
                parts.record(index, result);
                if parts.answered.len() >= policy.min_shards {
                    parts.enough_after.get_or_insert_with(|| time_budget.spent());
                }
            }
            () = tokio::time::sleep_until(time_budget.instant_at(until)) => {
                if time_budget.is_spent() {
                    return Err(parts.failure(&policy, shards.len(), request));
                }
            }
        }
    }
    Ok(parts.finish(shard_set, shards))
}

/// Checks that enough shards can take the search, before anything is sent.
///
/// # Errors
///
/// Returns the failure that is reported to the caller.
fn check_capacity(policy: &PartialAnswerPolicy, shards: &[Arc<Service>]) -> Result<(), Failure> {
    let mut available = 0;
    let mut waits: Vec<Duration> = Vec::new();
    for shard in shards {
        match attempts::capacity(shard) {
            ServiceCapacity::Available => available += 1,
            ServiceCapacity::NoRoom { retry_after } => waits.push(retry_after),
            ServiceCapacity::NoServer => {}
        }
    }
    let Some(lacking) = policy.min_shards.checked_sub(available + 1) else { return Ok(()) };
    // The search can run once as many shards as are lacking have room.
    waits.sort_unstable();
    if let Some(retry_after) = waits.get(lacking) {
        let message = format!("{available} of {} shards have room for now", shards.len());
        return Err(Failure::new(ErrorKind::Overloaded, message)
            .with_retry_after_ms(retry_after.as_millis() as u64));
    }
    let message = format!("{available} of {} shards have a backend server", shards.len());
    Err(Failure::new(ErrorKind::NoReplica, message))
}

impl GatheredParts {
    /// Records the result of the attempts on one shard.
    fn record(&mut self, index: usize, result: Result<Answer, AttemptsError>) {
        match result {
            Ok(answer) if !answer.head.signature.is_empty() => {
                self.answered.push(index);
                self.bodies.push(answer.body);
                self.memory.push(answer.body_memory);
                self.signatures.push(answer.head.signature);
            }
            Ok(_) | Err(_) => self.failed += 1,
        }
    }

    /// Returns the failure of the search; it counts as not run only if no part may have run, and none is sent later.
    fn failure(
        &self,
        policy: &PartialAnswerPolicy,
        shards: usize,
        request: &OutboundRequest,
    ) -> Failure {
        let message = format!(
            "{} of {shards} shards answered, {} are needed",
            self.answered.len(),
            policy.min_shards
        );
        let has_not_run = request.attempt_outcomes.seal_if_not_run();
        let kind = if has_not_run { ErrorKind::NoReplica } else { ErrorKind::ShardsLost };
        Failure::new(kind, message)
    }

    /// Merges the parts into an answer.
    fn finish(self, shard_set: &ShardSet, shards: &[Arc<Service>]) -> MergedAnswer {
        let mut missing = Vec::new();
        if self.answered.len() < shards.len() {
            for (index, shard) in shards.iter().enumerate() {
                if !self.answered.contains(&index) {
                    missing.push(shard.name.clone());
                }
            }
        }
        let body = top_records::merge(&self.bodies, shard_set.top_records);
        MergedAnswer { body, missing, signatures: self.signatures }
    }
}
