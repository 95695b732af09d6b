//! How a daemon's planned stop went.

/// How the daemon ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// Every request ended.
    Clean,
    /// The limit on the planned stop was hit, or a second signal came, with requests running.
    CutOff,
}
