//! A request as it is offered to another VM, and how the offer ended.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

use crate::error::Failure;
use crate::gateway::attempt_outcomes::AttemptOutcomes;
use crate::gateway::call::Answer;
use crate::gateway::connection_headers;
use crate::gateway::model::{Idempotency, Route, ShardSet};
use crate::gateway::outbound_request::OutboundRequest;
use crate::gateway::reach::needs::Needs;
use crate::gateway::relays::messages::{
    ForwardedAnswer, RelayMessage, RelayedRequest, RelayedSearch, SearchId,
};
use crate::gateway::scatter::MergedAnswer;
use crate::gateway::time_budget::TimeBudget;
use crate::ids::{ServiceName, id_text};

/// An answer to a request, from this VM or from another one.
#[derive(Debug)]
pub enum RequestAnswer {
    /// The answer of one backend server.
    Forwarded(ForwardedAnswer),
    /// The answer to a search.
    Merged(MergedAnswer),
}

impl RequestAnswer {
    /// Returns whether backend servers answered with success.
    pub fn is_success(&self) -> bool {
        match self {
            Self::Forwarded(answer) => (200..300).contains(&answer.status),
            Self::Merged(_) => true,
        }
    }
}

/// How a request ended that was offered to other VMs.
pub enum OfferResult {
    Answered(RequestAnswer),
    Failed(Failure),
    /// No VM answered. Other VMs may have made this many attempts on each service.
    NotAnswered {
        attempts: u32,
    },
}

/// What a request needs to be answered.
#[derive(Clone, Copy)]
pub enum OfferTarget<'a> {
    Search(&'a ShardSet),
    Service(&'a ServiceName),
}

/// A request to hand to another VM.
#[derive(Clone, Copy)]
pub struct Offer<'a> {
    pub needs: Needs<'a>,
    pub request: &'a Arc<OutboundRequest>,
    pub route: &'a Route,
    pub target: OfferTarget<'a>,
    pub time_budget: &'a TimeBudget,
}

impl Offer<'_> {
    /// Returns whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.request.idempotency == Idempotency::Idempotent
    }

    /// Returns the request without the outcomes of the attempts of this VM.
    pub fn without_outcomes(&self) -> Arc<OutboundRequest> {
        Arc::new(OutboundRequest {
            attempt_outcomes: AttemptOutcomes::default(),
            body: self.request.body.clone(),
            fingerprint: self.request.fingerprint,
            headers: self.request.headers.clone(),
            idempotency: self.request.idempotency,
            is_trial: self.request.is_trial,
            method: self.request.method.clone(),
            request_id: self.request.request_id.clone(),
            uri: self.request.uri.clone(),
        })
    }

    /// Returns the message that offers the request after others may have made some attempts.
    pub fn to_message(&self, id: SearchId, attempts: u32) -> RelayMessage {
        let request = self.request;
        let max_attempts = self.route.max_attempts.saturating_sub(attempts).max(1);
        let target_latency_ms = self.route.target_latency.as_millis() as u64;
        let time_left_ms = self.time_budget.left().as_millis() as u64;
        let time_spent_ms = self.time_budget.spent().as_millis() as u64;
        match self.target {
            OfferTarget::Search(shard_set) => RelayMessage::Search {
                id,
                search: Box::new(RelayedSearch {
                    body: request.body.clone(),
                    fingerprint: request.fingerprint,
                    headers: header_list(&request.headers),
                    max_attempts,
                    method: request.method.to_string(),
                    min_shard_fraction: shard_set.min_shard_fraction,
                    priority: self.route.priority,
                    request_id: request.request_id.clone(),
                    shards: shard_set.services.clone(),
                    target_latency_ms,
                    time_left_ms,
                    time_spent_ms,
                    top_records: shard_set.top_records,
                    uri: request.uri.to_string(),
                }),
            },
            OfferTarget::Service(service) => RelayMessage::Request {
                id,
                request: Box::new(RelayedRequest {
                    body: request.body.clone(),
                    fingerprint: request.fingerprint,
                    headers: header_list(&request.headers),
                    is_idempotent: self.is_idempotent(),
                    max_attempts,
                    method: request.method.to_string(),
                    priority: self.route.priority,
                    request_id: request.request_id.clone(),
                    service: service.clone(),
                    target_latency_ms,
                    time_left_ms,
                    time_spent_ms,
                    uri: request.uri.to_string(),
                }),
            },
        }
    }

    /// Logs what became of the offer.
    pub fn log(&self, decision: &str, vm: SocketAddr) {
        log::info!(
            request = id_text(&self.request.request_id).as_ref(),
            vm = vm.to_string(),
            waited_ms = self.time_budget.spent().as_millis() as u64;
            "{decision}"
        );
    }
}

/// Returns the answer of a backend server as it is passed to the caller.
pub fn forwarded(answer: Answer) -> ForwardedAnswer {
    let mut headers = answer.headers;
    connection_headers::remove(&mut headers);
    ForwardedAnswer {
        body: answer.body,
        headers: header_list(&headers),
        status: answer.status.as_u16(),
    }
}

/// Returns names and values of headers.
pub fn header_list(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let mut list = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        list.push((name.as_str().to_string(), Bytes::copy_from_slice(value.as_bytes())));
    }
    list
}

/// Returns headers from their names and values; none if one is malformed.
pub fn header_map(list: &[(String, Bytes)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(list.len());
    for (name, value) in list {
        headers.append(
            HeaderName::from_bytes(name.as_bytes()).ok()?,
            HeaderValue::from_maybe_shared(value.clone()).ok()?,
        );
    }
    Some(headers)
}
