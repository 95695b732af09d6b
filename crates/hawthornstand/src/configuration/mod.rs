//! What the platform publishes, and how it comes here.

pub mod config_store;
#[cfg(feature = "own-interface")]
pub mod config_watch;
pub mod platform;
pub mod published;
pub mod schema_check;
