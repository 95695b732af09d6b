//! Decides which configuration may follow which, however it arrives.

/// Where an offered configuration comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// It is the last one that the store is known to have had, read from it or received over a link.
    Store,
    /// It is in force on another VM, although the store has an older one.
    OtherVm,
}

/// What becomes of an offered configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    Activate,
    /// The active one is newer: callers may have seen its effect.
    KeepNewer,
    /// It is in force already.
    Unchanged,
}

/// Decides by the numbers that operators give their configurations, which rise with each one.
///
/// Revisions of the store say nothing here: a store that was restored from a copy has older configurations under newer
/// revisions, also while the operator writes again what was lost. `is_same_value` is whether both have the same content.
pub fn decide(active: Option<u64>, offered: u64, is_same_value: bool, origin: Origin) -> Decision {
    let Some(active) = active else { return Decision::Activate };
    match origin {
        _ if offered > active => Decision::Activate,
        _ if offered < active => Decision::KeepNewer,
        // The store's last word on a version replaces what was written under it before.
        Origin::Store if !is_same_value => Decision::Activate,
        Origin::Store | Origin::OtherVm => Decision::Unchanged,
    }
}
