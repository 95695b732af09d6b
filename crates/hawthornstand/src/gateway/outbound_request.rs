//! A caller's request on its way to backend servers.

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};

use crate::gateway::attempt_outcomes::AttemptOutcomes;
use crate::gateway::model::Idempotency;
use crate::ids::Fingerprint;

/// A caller's request as it is sent to backend servers.
pub struct OutboundRequest {
    pub attempt_outcomes: AttemptOutcomes,
    pub body: Bytes,
    /// The same for equal requests on every VM.
    pub fingerprint: Fingerprint,
    pub headers: HeaderMap,
    pub idempotency: Idempotency,
    /// Whether it was refused as crashing before, and is sent to one backend server first.
    pub is_trial: bool,
    pub method: Method,
    pub request_id: Bytes,
    pub uri: Uri,
}
