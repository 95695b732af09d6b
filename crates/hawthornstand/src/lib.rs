//! A query tier over many shards.
//!
//! Entry VMs run the daemon; `docs/DESIGN.md` describes the parts and how they work together.
//!
//! The feature `own-interface` holds the product's own interface to callers and its traces. A daemon that
//! serves only the [`gateway`] leaves it out: the clock of the trace library calibrates itself before
//! `main` begins, which takes seconds on a small share of a core.

#[cfg(feature = "own-interface")]
pub mod admin_http;
pub mod admission;
pub mod backend;
#[cfg(feature = "own-interface")]
pub mod block_search;
#[cfg(feature = "own-interface")]
pub mod block_versions;
#[cfg(feature = "own-interface")]
pub mod booking;
#[cfg(feature = "own-interface")]
pub mod booking_run;
pub mod budget;
#[cfg(feature = "own-interface")]
pub mod caller_http;
#[cfg(feature = "own-interface")]
pub mod cli;
pub mod clock;
pub mod config_store;
#[cfg(feature = "own-interface")]
pub mod config_watch;
pub mod connect_rate;
pub mod connections;
#[cfg(feature = "own-interface")]
pub mod context;
#[cfg(feature = "own-interface")]
pub mod daemon;
mod derives;
#[cfg(feature = "own-interface")]
pub mod ejection;
pub mod ending;
pub mod error;
pub mod gateway;
mod generated;
#[cfg(feature = "own-interface")]
pub mod gossip;
#[cfg(feature = "own-interface")]
pub mod health_poll;
pub mod hedge;
pub mod http_client;
pub mod http_server;
pub mod ids;
pub mod latency_floor;
pub mod latency_window;
pub mod leaf;
pub mod leaf_table;
#[cfg(feature = "own-interface")]
pub mod link;
pub mod log_limit;
#[cfg(feature = "own-interface")]
pub mod lone_run;
pub mod merge;
pub mod metrics;
#[cfg(feature = "own-interface")]
pub mod overlay;
#[cfg(feature = "own-interface")]
pub mod peer_service;
#[cfg(feature = "own-interface")]
pub mod peers;
#[cfg(feature = "own-interface")]
pub mod planner;
pub mod platform;
pub mod published;
pub mod quarantine;
pub mod reach;
pub mod reach_table;
#[cfg(feature = "own-interface")]
pub mod relay;
pub mod replica_choice;
pub mod request_headers;
#[cfg(feature = "own-interface")]
pub mod request_story;
pub mod schema_check;
#[cfg(feature = "own-interface")]
pub mod search;
#[cfg(feature = "own-interface")]
pub mod segment_search;
pub mod service_state;
pub mod settings;
pub mod slices;
#[cfg(feature = "own-interface")]
pub mod startup;
#[cfg(feature = "own-interface")]
pub mod status;
pub mod ticket;
pub mod ticket_office;
pub mod timer;
#[cfg(feature = "own-interface")]
pub mod trace;

pub use generated::messages;
