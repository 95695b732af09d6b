//! What operators publish about routes and services, and what backend servers say of themselves.

use std::net::SocketAddr;
use std::time::Duration;

use crate::derives::value_types;
use crate::ids::{LeafId, Priority, ServiceName, UnixMs};

value_types! {
    /// Whether a request may run more than once.
    #[derive(Copy, Eq)]
    pub enum Idempotency {
        AtMostOnce,
        Idempotent,
    }

    /// A service with its share of a route's requests.
    pub struct WeightedService {
        pub service: ServiceName,
        pub weight: f64,
    }

    /// Services that each hold one shard, and how their parts make an answer.
    pub struct ShardSet {
        pub services: Vec<ServiceName>,
        /// Smallest share of the shards that makes an answer.
        pub min_shard_fraction: f64,
        /// Number of records in an answer.
        pub top_records: usize,
    }

    /// Where a route sends its requests.
    pub enum Target {
        /// One backend server of one of the services.
        Weighted(Vec<WeightedService>),
        /// One backend server of every shard.
        Shards(ShardSet),
    }

    /// A rule that sends requests of one host below one path to services.
    pub struct Route {
        pub name: String,
        pub host: String,
        /// Begins and ends with a slash.
        pub path_prefix: String,
        pub idempotency: Idempotency,
        /// Longest time a caller is kept waiting.
        pub time_limit: Duration,
        /// Time within which an answer is worth most to the caller.
        pub target_latency: Duration,
        /// Backend servers that one request may be sent to, for each service.
        pub max_attempts: u32,
        /// Rank among routes; 0 comes first.
        pub priority: Priority,
        pub target: Target,
    }

    /// What the operator says of a service.
    pub struct PublishedService {
        pub name: ServiceName,
        pub health_path: String,
        /// Connections that one of its backend servers takes from all callers together.
        pub max_connections: usize,
    }

    /// What a caller may send and how long it may take.
    pub struct CallerLimits {
        pub max_header_bytes: usize,
        pub max_body_bytes: usize,
        pub header_timeout: Duration,
        pub idle_timeout: Duration,
    }

    /// Routes, services and limits of one version of the configuration.
    pub struct Routing {
        pub version: u64,
        pub routes: Vec<Route>,
        pub services: Vec<PublishedService>,
        pub limits: CallerLimits,
    }

    /// What a backend server says of itself.
    #[derive(Eq)]
    pub struct PublishedServer {
        pub id: LeafId,
        /// Start of its process; another value under the same id is another process.
        pub process_start_unix_ms: UnixMs,
        pub service: ServiceName,
        pub address: SocketAddr,
        pub failure_domain: String,
        /// Requests it works on at the same time.
        pub slots: u32,
        pub leaving: bool,
        /// Time for which it stays slow after its start.
        pub warmup_left: Duration,
    }
}
