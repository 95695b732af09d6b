//! Messages on the links between VMs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::derives::value_types;
use crate::gateway::crash_tracker::CrashReport;
use crate::gateway::items::Update;
use crate::ids::Revision;

value_types! {
    /// Message on a link.
    #[derive(Serialize, Deserialize)]
    pub enum PeerMessage {
        /// Backend servers were lost while they ran a request.
        Crashed { crashes: CrashReport },
        /// First message in both directions.
        Hello { address: SocketAddr, as_of: Revision, failure_domain: String, known: Vec<SocketAddr> },
        /// VMs that the receiver may not know.
        Known { known: Vec<SocketAddr> },
        /// Answer to a pull.
        News { update: Update },
        /// What the sender knows and how long ago the store confirmed it.
        Ping { age_ms: Option<u64>, as_of: Revision },
        /// Asks for what happened after a revision.
        Pull { after: Revision },
    }
}
