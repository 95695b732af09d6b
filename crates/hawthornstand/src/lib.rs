//! A query tier over many shards.
//!
//! Entry VMs run the daemon; `docs/DESIGN.md` describes its components and how they work together.
//!
//! The feature `own-interface` enables the product's own interface to callers and its traces. A daemon that
//! serves only the [`gateway`] leaves it out: the clock of the trace library calibrates itself before
//! `main` begins, which takes seconds on a small CPU share.

pub mod backends;
pub mod bookings;
pub mod callers;
pub mod configuration;
mod derives;
pub mod error;
pub mod fleet;
pub mod gateway;
mod generated;
pub mod ids;
pub mod locks;
pub mod policy;
pub mod process;
pub mod searches;
pub mod settings;

pub use generated::messages;
