//! A search as it is offered to relays, and how the offer ended.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::header::HeaderMap;

use crate::error::Failure;
use crate::gateway::call::OutboundRequest;
use crate::gateway::model::{Route, ShardSet};
use crate::gateway::relays::messages::RelayedSearch;
use crate::gateway::scatter::MergedAnswer;
use crate::gateway::time_budget::TimeBudget;
use crate::ids::{Fingerprint, id_text};

/// How a search ended that was offered to relays.
pub enum RelayResult {
    Answered(MergedAnswer),
    Failed(Failure),
    /// No relay answered. Relays may have made this many attempts on each shard.
    NotAnswered {
        attempts: u32,
    },
}

/// A search to hand to a relay.
pub struct SearchOffer<'a> {
    pub fingerprint: Fingerprint,
    pub request: &'a Arc<OutboundRequest>,
    pub route: &'a Route,
    pub shard_set: &'a ShardSet,
    pub time_budget: &'a TimeBudget,
}

impl SearchOffer<'_> {
    /// Returns the search as a relay gets it after others may have made some attempts.
    pub fn to_message(&self, attempts: u32) -> RelayedSearch {
        RelayedSearch {
            body: self.request.body.clone(),
            fingerprint: self.fingerprint,
            headers: header_list(&self.request.headers),
            max_attempts: self.route.max_attempts.saturating_sub(attempts).max(1),
            method: self.request.method.to_string(),
            min_shard_fraction: self.shard_set.min_shard_fraction,
            priority: self.route.priority,
            request_id: self.request.request_id.clone(),
            shards: self.shard_set.services.clone(),
            target_latency_ms: self.route.target_latency.as_millis() as u64,
            time_left_ms: self.time_budget.left().as_millis() as u64,
            time_spent_ms: self.time_budget.spent().as_millis() as u64,
            top_records: self.shard_set.top_records,
            uri: self.request.uri.to_string(),
        }
    }

    /// Logs what became of the offer.
    pub fn log(&self, decision: &str, relay: SocketAddr) {
        log::info!(
            request = id_text(&self.request.request_id).as_ref(),
            relay = relay.to_string(),
            waited_ms = self.time_budget.spent().as_millis() as u64;
            "{decision}"
        );
    }
}

/// Returns names and values of headers.
fn header_list(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let mut list = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        list.push((name.as_str().to_string(), Bytes::copy_from_slice(value.as_bytes())));
    }
    list
}
