//! Routes and services published by operators, and the entries that backend servers publish of themselves.

use std::net::SocketAddr;
use std::time::Duration;

use crate::derives::value_types;
use crate::ids::{LeafId, Priority, ServiceName, UnixMs};

value_types! {
    /// Whether a request may be sent again after it may have run.
    #[derive(Copy, Eq)]
    pub enum Idempotency {
        AtMostOnce,
        Idempotent,
    }

    /// A service with its weight among the services of a route.
    pub struct WeightedService {
        pub service: ServiceName,
        pub weight: f64,
    }

    /// Services that hold one shard each, and the settings for merging their parts of an answer.
    pub struct ShardSet {
        pub services: Vec<ServiceName>,
        /// Smallest fraction of the shards with which a search is answered, 0 to 1.
        pub min_shard_fraction: f64,
        /// Number of records in a merged answer.
        pub top_records: usize,
    }

    /// Target of the requests of a route.
    pub enum Target {
        /// One backend server of one of the services, selected by weight.
        Weighted(Vec<WeightedService>),
        /// One backend server of every shard.
        Shards(ShardSet),
    }

    /// Rule that sends the requests of a host below a path to services.
    pub struct Route {
        pub name: String,
        pub host: String,
        /// Begins and ends with a slash.
        pub path_prefix: String,
        pub idempotency: Idempotency,
        /// Time limit on a request, which its caller may shorten.
        pub time_limit: Duration,
        /// Time within which an answer is worth most to the caller.
        pub target_latency: Duration,
        /// Limit on attempts of a request, for each service.
        pub max_attempts: u32,
        /// Priority in the queue for connections; 0 is the highest.
        pub priority: Priority,
        pub target: Target,
    }

    /// A service as published by the operator.
    pub struct PublishedService {
        pub name: ServiceName,
        pub health_path: String,
        /// Connections that each of its backend servers accepts from all VMs together.
        pub max_connections: usize,
    }

    /// Limits on the size and the duration of callers' requests.
    #[derive(Copy, Eq)]
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

    /// Published entry of a backend server.
    #[derive(Eq)]
    pub struct PublishedServer {
        pub id: LeafId,
        /// Start of its process in milliseconds of Unix time; another value with the same id means another process.
        pub process_start_unix_ms: UnixMs,
        pub service: ServiceName,
        pub address: SocketAddr,
        pub failure_domain: String,
        /// Requests it works on at the same time.
        pub slots: u32,
        pub leaving: bool,
        /// Remaining time for which it is slow after its start.
        pub warmup_left: Duration,
    }
}

impl Target {
    /// Returns the names of all services that a request may go to.
    pub fn service_names(&self) -> Vec<&str> {
        match self {
            Self::Weighted(services) => {
                services.iter().map(|weighted| weighted.service.as_str()).collect()
            }
            Self::Shards(set) => set.services.iter().map(String::as_str).collect(),
        }
    }
}
