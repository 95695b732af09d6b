//! Published configuration: reading, validating and storing it.

pub mod config_store;
#[cfg(feature = "own-interface")]
pub mod config_watch;
pub mod platform;
pub mod published;
pub mod schema_check;
