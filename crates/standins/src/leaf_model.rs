//! Request and response bodies and the adjustable behaviour of a stand-in backend server.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A half-open range of slices.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct SliceRange {
    pub start: u64,
    pub end: u64,
}

/// Body of a search request, as `docs/CONTRACTS.md` defines it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Search {
    pub limit: u64,
    pub query: String,
    pub service: String,
    pub slices: Vec<SliceRange>,
    pub version: u64,
}

/// Body of a booking request, as `docs/CONTRACTS.md` defines it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Booking {
    pub key: String,
    pub payload: String,
    pub service: String,
    pub slice: u64,
}

/// One hit of a search.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hit {
    pub key: String,
    pub record: String,
    pub score: f64,
    pub slice: u64,
}

/// Response to a search.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SearchResponse {
    pub hits: Vec<Hit>,
    pub slices: Vec<SliceRange>,
    pub version: u64,
    pub versions: Vec<u64>,
}

/// Record of one execution, for tests and `/executions`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Execution {
    pub kind: String,
    pub payload: String,
    pub request_id: String,
}

/// Behaviour of a stand-in, which tests and experiments change while it runs.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Behaviour {
    /// Text that crashes the server if the body of a request contains it.
    pub crash_on: Option<String>,
    /// Whether requests are refused because the server is still warming up.
    pub cold: bool,
    /// Whether new requests are refused because the server is shutting down.
    pub draining: bool,
    /// Whether `/health` keeps reporting the behaviour that the server started with.
    pub health_lies: bool,
    /// Whether search responses are truncated to half of their body.
    pub malformed: bool,
    /// Requests that may wait for a slot; further ones are refused as overloaded.
    pub queue_limit: usize,
    pub slices: Vec<SliceRange>,
    /// Factor applied to the service time.
    pub slowdown: f64,
    pub service_time: Duration,
    /// Whether requests never get a response.
    pub stuck: bool,
    pub versions: BTreeSet<u64>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            crash_on: None,
            cold: false,
            draining: false,
            health_lies: false,
            malformed: false,
            queue_limit: 16,
            slices: Vec::new(),
            slowdown: 1.0,
            service_time: Duration::from_millis(1),
            stuck: false,
            versions: BTreeSet::from([1]),
        }
    }
}

/// Returns the hits of a search: one per slice, computed from its number so that tests can check them.
pub fn generate_hits(search: &Search, slices: &[SliceRange]) -> Vec<Hit> {
    let mut hits = Vec::new();
    for range in slices {
        for slice in range.start..range.end {
            if hits.len() as u64 >= search.limit {
                return hits;
            }
            hits.push(Hit {
                key: format!("{}-{slice}", search.query),
                record: format!("record of slice {slice} at version {}", search.version),
                score: 1.0 / (1.0 + slice as f64),
                slice,
            });
        }
    }
    hits
}

/// Returns the parts of the requested ranges that are available.
pub fn intersect_ranges(requested: &[SliceRange], available: &[SliceRange]) -> Vec<SliceRange> {
    let mut result = Vec::new();
    for request in requested {
        for held in available {
            let (start, end) = (request.start.max(held.start), request.end.min(held.end));
            if start < end {
                result.push(SliceRange { start, end });
            }
        }
    }
    result
}
