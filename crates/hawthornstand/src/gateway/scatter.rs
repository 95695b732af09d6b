//! Answers a search from one backend server of every shard.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::error::{ErrorKind, Failure};
use crate::gateway::attempts::{self, AttemptsError, GatewayContext};
use crate::gateway::call::{Answer, OutboundRequest};
use crate::gateway::directory::Service;
use crate::gateway::model::{Route, ShardSet};
use crate::gateway::partial::{self, Progress, Step, Terms};
use crate::gateway::time_budget::TimeBudget;
use crate::gateway::top_records;
use crate::ids::ServiceName;

/// Answer of a search.
pub struct Gathered {
    pub body: Bytes,
    /// Shards that are not in the answer.
    pub missing: Vec<ServiceName>,
    /// Proofs of the parts that are in the answer.
    pub signatures: Vec<Bytes>,
}

/// Parts that came in so far.
struct Gathering {
    answered: Vec<usize>,
    bodies: Vec<Bytes>,
    any_sent: bool,
    lost: usize,
    signatures: Vec<Bytes>,
}

/// Asks every shard and answers as soon as the policy for partial answers says so.
pub async fn run(
    route: &Route,
    set: &ShardSet,
    shards: &[Arc<Service>],
    request: &Arc<OutboundRequest>,
    time: &TimeBudget,
    context: &GatewayContext,
) -> Result<Gathered, Failure> {
    let terms = Terms {
        target_latency: route.target_latency,
        min_shards: partial::min_shards(set.min_shard_fraction, shards.len()),
        time_limit: time.left(),
    };
    let available = shards.iter().filter(|shard| attempts::is_available(shard)).count();
    if available < terms.min_shards {
        let message = format!("{available} of {} shards have a backend server", shards.len());
        return Err(Failure::new(ErrorKind::NoReplica, message));
    }
    let mut calls: FuturesUnordered<_> = shards
        .iter()
        .enumerate()
        .map(|(index, shard)| async move {
            (index, attempts::run(shard, request, route, time, context).await)
        })
        .collect();
    let mut gathering = Gathering {
        answered: Vec::with_capacity(shards.len()),
        bodies: Vec::with_capacity(shards.len()),
        any_sent: false,
        lost: 0,
        signatures: Vec::with_capacity(shards.len()),
    };
    loop {
        let progress = Progress {
            answered: gathering.answered.len(),
            lost: gathering.lost,
            shards: shards.len(),
        };
        let until = match partial::next_step(&terms, progress, time.spent()) {
            Step::Answer => break,
            Step::GiveUp => return Err(gathering.failure(&terms, shards.len())),
            Step::WaitUntil(until) => until,
        };
        tokio::select! {
            biased;
            Some((index, end)) = calls.next() => gathering.take(index, end),
            () = tokio::time::sleep_until(time.instant_at(until)) => {
                if time.is_spent() {
                    return Err(gathering.failure(&terms, shards.len()));
                }
            }
        }
    }
    Ok(gathering.finish(set, shards))
}

impl Gathering {
    /// Takes over the end of the attempts on one shard.
    fn take(&mut self, index: usize, end: Result<Answer, AttemptsError>) {
        match end {
            Ok(answer) if !answer.head.signature.is_empty() => {
                self.any_sent = true;
                self.answered.push(index);
                self.bodies.push(answer.body);
                self.signatures.push(answer.head.signature);
            }
            Ok(_) => {
                self.any_sent = true;
                self.lost += 1;
            }
            Err(error) => {
                self.any_sent |= !error.has_not_run();
                self.lost += 1;
            }
        }
    }

    /// Returns why there is no answer; where parts ran it is no refusal.
    fn failure(&self, terms: &Terms, shards: usize) -> Failure {
        let message = format!(
            "{} of {shards} shards answered, {} are needed",
            self.answered.len(),
            terms.min_shards
        );
        if self.answered.len() + self.lost < shards {
            return Failure::new(ErrorKind::ShardsLost, message);
        }
        let kind = if self.any_sent { ErrorKind::ShardsLost } else { ErrorKind::NoReplica };
        Failure::new(kind, message)
    }

    /// Merges the parts.
    fn finish(self, set: &ShardSet, shards: &[Arc<Service>]) -> Gathered {
        let mut missing = Vec::new();
        if self.answered.len() < shards.len() {
            for (index, shard) in shards.iter().enumerate() {
                if !self.answered.contains(&index) {
                    missing.push(shard.name.clone());
                }
            }
        }
        let body = top_records::merge(&self.bodies, set.top_records);
        Gathered { body, missing, signatures: self.signatures }
    }
}
