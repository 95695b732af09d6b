//! The gateway: proxies requests from callers to backend servers over HTTP.
//!
//! [`daemon::run`] starts it. A request passes these modules in order: [`request_handler`] reads it, [`routes`] finds
//! its route, and [`forward`] or [`scatter`] answers it with [`attempts`], which selects backend servers with
//! [`server_selection`] and sends the request to them with [`call`]. In a large fleet, [`relays`] hand searches to the
//! VMs that hold connections to the shards.

pub mod abandoned_calls;
pub mod answer_memory;
pub mod attempt_outcomes;
pub mod attempts;
pub mod call;
pub mod caller_limits;
pub mod caller_load;
pub mod config_in_force;
pub mod config_order;
pub mod connection_headers;
pub mod connection_queue;
pub mod context;
pub mod crash_check;
pub mod crash_tracker;
pub mod daemon;
pub mod directory;
pub mod forward;
pub mod items;
pub mod latency_estimate;
pub mod listing;
pub mod maintenance;
pub mod model;
pub mod not_run_promise;
pub mod outbound_request;
pub mod partial;
pub mod peer_link;
pub mod peer_messages;
pub mod peers;
pub mod pool;
pub mod protocol;
pub mod pulls;
pub mod reach;
pub mod readers;
pub mod relays;
pub mod reload;
pub mod request_allowance;
pub mod request_guard;
pub mod request_handler;
pub mod request_load;
pub mod routes;
pub mod scatter;
pub mod server;
pub mod server_selection;
pub mod server_statements;
pub mod service_time;
pub mod settings;
pub mod state;
pub mod status;
pub mod store_contact;
pub mod store_version;
pub mod store_watch;
pub mod telemetry;
pub mod time_budget;
pub mod top_records;
pub mod weighted_round_robin;
pub mod wire_limit;
