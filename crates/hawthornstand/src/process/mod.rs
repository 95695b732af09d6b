//! Process infrastructure: startup and shutdown, HTTP serving, clocks, timers, logs, metrics and operator tools.

#[cfg(feature = "own-interface")]
pub mod admin_http;
#[cfg(feature = "own-interface")]
pub mod cli;
pub mod clock;
#[cfg(feature = "own-interface")]
pub mod context;
#[cfg(feature = "own-interface")]
pub mod daemon;
#[cfg(feature = "own-interface")]
pub mod gateway_text;
pub mod head_timeout;
pub mod http_body;
pub mod http_server;
pub mod log_format;
pub mod log_limit;
pub mod metrics;
pub mod request_timeline;
pub mod shutdown;
#[cfg(feature = "own-interface")]
pub mod startup;
#[cfg(feature = "own-interface")]
pub mod status;
pub mod timer;
#[cfg(feature = "own-interface")]
pub mod trace;
