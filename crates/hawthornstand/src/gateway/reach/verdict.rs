//! Whether this VM reaches the backend servers of a service.

use std::time::Duration;

use crate::derives::value_types;

value_types! {
    /// Which backend servers of a service this VM reaches.
    #[derive(Copy, Default, Eq)]
    pub enum Reach {
        /// All that may get requests respond, as far as is known.
        Reached,
        /// Some do not respond.
        Partly,
        /// None responds.
        Lost,
        /// None may get requests, so that there is no evidence.
        #[default]
        Unknown,
    }

    /// What this VM has seen of one backend server.
    #[derive(Copy, Eq)]
    pub struct ServerEvidence {
        /// Whether it may get requests, by its entry and by what it says itself.
        pub allows_requests: bool,
        /// Whether it is known not to respond, for longer than a pause takes.
        pub is_unresponsive: bool,
    }

    /// Reach of a service for the log.
    #[derive(Copy, Eq)]
    pub struct ReachChange {
        pub from: Reach,
        pub to: Reach,
        /// How long the service was lost, if it was.
        pub lost_for: Option<Duration>,
    }
}

/// Returns the reach of a service; `has_contact` is whether this VM reaches any backend server of any service.
pub fn of_service(servers: impl Iterator<Item = ServerEvidence>, has_contact: bool) -> Reach {
    let (mut responsive, mut unresponsive) = (0, 0);
    for server in servers.filter(|server| server.allows_requests) {
        if server.is_unresponsive {
            unresponsive += 1;
        } else {
            responsive += 1;
        }
    }
    match (responsive, unresponsive) {
        (0, 0) => Reach::Unknown,
        (0, _) => Reach::Lost,
        (_, _) if !has_contact => Reach::Lost,
        (_, 0) => Reach::Reached,
        (_, _) => Reach::Partly,
    }
}
