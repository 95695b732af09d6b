//! Messages between a VM and a relay, encoded as CBOR.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::derives::value_types;
use crate::ids::{Fingerprint, Priority, ServiceName};
use crate::messages::Refusal;

/// Path at which a VM accepts links for searches.
pub const RELAY_PATH: &str = "/searches";

/// Number of a search, unique on one link.
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

    /// A message on a link to a relay.
    #[derive(Serialize, Deserialize)]
    pub enum RelayMessage {
        /// The relay has begun to run a search.
        Accepted { id: SearchId },
        Answered { id: SearchId, body: Bytes, missing: Vec<ServiceName>, signatures: Vec<Bytes> },
        /// The sender no longer waits for a search.
        Cancel { id: SearchId },
        Failed { id: SearchId, refusal: Refusal },
        /// The sender of this message runs.
        Ping,
        /// The relay does not run a search: it is stopping, or does not know its shards.
        Refused { id: SearchId },
        Search { id: SearchId, search: Box<RelayedSearch> },
    }
}
