//! Version of the published state.

use serde::{Deserialize, Serialize};

use crate::derives::value_types;
use crate::ids::{Era, Revision};

value_types! {
    /// Version of the published state, ordered by era, then by revision.
    ///
    /// The store gives revisions out again after it was restored from an older copy, which starts a new era.
    #[derive(Copy, Default, Eq, Ord, PartialOrd, Serialize, Deserialize)]
    pub struct StoreVersion {
        pub era: Era,
        pub revision: Revision,
    }
}
