//! Backend servers: their state, connections to them, and calls.

pub mod backend_client;
pub mod connect_rate_limiter;
pub mod connection_group_table;
pub mod connection_groups;
pub mod connection_pool;
#[cfg(feature = "own-interface")]
pub mod health_prober;
pub mod http_client;
pub mod leaf;
pub mod leaf_table;
