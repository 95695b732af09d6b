//! Messages between a VM and a relay, encoded as CBOR.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::derives::value_types;
use crate::ids::{Fingerprint, Priority, ServiceName};
use crate::messages::Refusal;

/// Path at which a VM accepts links for searches and requests of other VMs.
pub const RELAY_PATH: &str = "/searches";

/// Header in the handshake of a link by which a VM tells that it also runs [`RelayedRequest`]s.
pub const REQUESTS_HEADER: &str = "hawthornstand-requests";

/// Number of a search or request, unique on one link.
pub type SearchId = u64;

value_types! {
    /// A search that a relay runs. It names the shards, so that the configuration of the sender decides.
    #[derive(Serialize, Deserialize)]
    pub struct RelayedSearch {
        pub body: Bytes,
        pub fingerprint: Fingerprint,
        /// Headers of the caller's request, without those of its connection.
        pub headers: Vec<(String, Bytes)>,
        pub max_attempts: u32,
        pub method: String,
        pub min_shard_fraction: f64,
        pub priority: Priority,
        pub request_id: Bytes,
        pub shards: Vec<ServiceName>,
        pub target_latency_ms: u64,
        pub time_left_ms: u64,
        /// Time since the request arrived at the sender.
        pub time_spent_ms: u64,
        pub top_records: usize,
        pub uri: String,
    }

    /// A request to one service that another VM runs.
    #[derive(Serialize, Deserialize)]
    pub struct RelayedRequest {
        pub body: Bytes,
        pub fingerprint: Fingerprint,
        /// Headers of the caller's request, without those of its connection.
        pub headers: Vec<(String, Bytes)>,
        /// Whether it may run more than once.
        pub is_idempotent: bool,
        pub max_attempts: u32,
        pub method: String,
        pub priority: Priority,
        pub request_id: Bytes,
        pub service: ServiceName,
        pub target_latency_ms: u64,
        pub time_left_ms: u64,
        /// Time since the request arrived at the sender.
        pub time_spent_ms: u64,
        pub uri: String,
    }

    /// The answer of a backend server, without the headers of its connection.
    #[derive(Serialize, Deserialize)]
    pub struct ForwardedAnswer {
        pub body: Bytes,
        pub headers: Vec<(String, Bytes)>,
        pub status: u16,
    }

    /// A message on a link to a relay.
    #[derive(Serialize, Deserialize)]
    pub enum RelayMessage {
        /// The relay has begun to run a search or request.
        Accepted { id: SearchId },
        Answered { id: SearchId, body: Bytes, missing: Vec<ServiceName>, signatures: Vec<Bytes> },
        /// The sender no longer waits for a search or request.
        Cancel { id: SearchId },
        Failed { id: SearchId, refusal: Refusal },
        /// The sender of this message runs.
        Ping,
        /// The relay does not run a search or request: it is stopping, does not know its services, or reaches no backend
        /// server. After [`Self::Accepted`], it has ended its attempts.
        Refused {
            id: SearchId,
            /// Attempts that it has made on a service at most; none from VMs of earlier builds.
            #[serde(default)]
            attempts: Option<u32>,
        },
        Request { id: SearchId, request: Box<RelayedRequest> },
        Responded { id: SearchId, answer: ForwardedAnswer },
        Search { id: SearchId, search: Box<RelayedSearch> },
    }
}
