//! Messages on the links between VMs, encoded as CBOR.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::derives::value_types;
use crate::gateway::crash_tracker::CrashReport;
use crate::gateway::items::{Change, Update};
use crate::gateway::relays::choice::VmProfile;
use crate::ids::{Era, Revision};

value_types! {
    /// A message on a link.
    #[derive(Serialize, Deserialize)]
    pub enum PeerMessage {
        /// Reports backend servers that crashed while they ran a request.
        Crashed { crashes: CrashReport },
        /// First message in each direction: introduces the sender, its version and the VMs it knows.
        Hello {
            address: SocketAddr,
            as_of: Revision,
            /// Version of the configuration in force; 0 if there is none, or in a build that does not report it.
            #[serde(default)]
            config_version: u64,
            #[serde(default)]
            era: Era,
            failure_domain: String,
            known: Vec<SocketAddr>,
            /// The VMs that the sender takes for the best relays of each region, and itself.
            #[serde(default)]
            profiles: Vec<VmProfile>,
        },
        /// Addresses of VMs that the receiver may not know, and profiles of relays.
        Known {
            known: Vec<SocketAddr>,
            #[serde(default)]
            profiles: Vec<VmProfile>,
        },
        /// Answers a pull with the changes after its version.
        News {
            /// The configuration in force at the sender, if the store has an older one and the receiver reported an older
            /// one.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            retained_config: Option<Change>,
            update: Update,
        },
        /// Announces the sender's version and the time since the store last confirmed it.
        Ping {
            age_ms: Option<u64>,
            as_of: Revision,
            /// As in [`PeerMessage::Hello`].
            #[serde(default)]
            config_version: u64,
            #[serde(default)]
            era: Era,
        },
        /// Requests the changes after a version.
        Pull {
            after: Revision,
            /// As in [`PeerMessage::Hello`].
            #[serde(default)]
            config_version: u64,
            #[serde(default)]
            era: Era,
        },
    }
}
