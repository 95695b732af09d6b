//! Result of a graceful shutdown.

/// Result of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShutdownOutcome {
    /// All requests had finished.
    Clean,
    /// The shutdown time limit passed or a second signal arrived while requests were running.
    Interrupted,
}
