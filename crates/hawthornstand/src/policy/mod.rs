//! Policies for load and failures: concurrency limits, retry budgets, hedging, replica selection, ejection, quarantine.

pub mod admission;
pub mod budget;
#[cfg(feature = "own-interface")]
pub mod ejection;
pub mod hedge;
pub mod latency_window;
#[cfg(feature = "own-interface")]
pub mod lone_run;
pub mod min_latency_window;
pub mod quarantine;
pub mod replica_selector;
pub mod service_state;
