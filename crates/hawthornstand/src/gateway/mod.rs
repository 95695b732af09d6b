//! The gateway: proxies requests from callers to backend servers over HTTP.
//!
//! [`daemon::run`] starts it. A request passes these modules in order: [`callers`] reads it, [`routes`] finds its
//! route, and [`forward`] or [`scatter`] answers it with [`attempts`], which selects backend servers with [`choice`]
//! and sends the request to them with [`call`].

pub mod attempts;
pub mod call;
pub mod callers;
pub mod choice;
pub mod culprits;
pub mod daemon;
pub mod departure;
pub mod directory;
pub mod estimate;
pub mod forward;
pub mod items;
pub mod listing;
pub mod model;
pub mod partial;
pub mod peer_link;
pub mod peer_messages;
pub mod peers;
pub mod pool;
pub mod probes;
pub mod pulls;
pub mod readers;
pub mod reload;
pub mod routes;
pub mod scatter;
pub mod server;
pub mod settings;
pub mod shares;
pub mod speech;
pub mod state;
pub mod status;
pub mod store_watch;
pub mod telemetry;
pub mod time_budget;
pub mod top_records;
pub mod trail;
pub mod usual_work;
pub mod waiting_line;
