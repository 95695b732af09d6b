//! Searches: routing plans, calls to backend servers and relays, and merging of their answers.

#[cfg(feature = "own-interface")]
pub mod block_search;
pub mod merge;
#[cfg(feature = "own-interface")]
pub mod plan;
#[cfg(feature = "own-interface")]
pub mod planner;
#[cfg(feature = "own-interface")]
pub mod relay;
#[cfg(feature = "own-interface")]
pub mod search;
#[cfg(feature = "own-interface")]
pub mod segment_search;
pub mod slices;
