//! Reports what callers hold, and what they were refused to stay within the limits of the VM.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::derives::value_types;
use crate::gateway::context::GatewayContext;

/// Shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

value_types! {
    /// What callers hold at a VM.
    #[derive(Copy, Default, Deserialize, Eq, Serialize)]
    pub struct CallerLoad {
        /// Memory of the bodies of their requests.
        pub body_bytes: usize,
        /// Open connections.
        pub connections: usize,
    }
}

/// Logs what callers were refused, at most once per second.
#[derive(Default)]
pub struct RefusalLog {
    evicted_connections: u64,
    logged_at: Option<Instant>,
    refused_bodies: u64,
}

/// Returns what callers hold.
pub fn current(context: &GatewayContext) -> CallerLoad {
    CallerLoad {
        body_bytes: context.body_memory.held_bytes(),
        connections: context.caller_connections.open_connections(),
    }
}

impl RefusalLog {
    /// Writes a line if callers were refused since the last one.
    pub fn update(&mut self, context: &GatewayContext, now: Instant) {
        let refused_bodies = context.telemetry.refused_bodies.get();
        let evicted_connections = context.telemetry.evicted_connections.get();
        let is_unchanged = refused_bodies == self.refused_bodies
            && evicted_connections == self.evicted_connections;
        let is_early = self.logged_at.is_some_and(|at| now < at + LOG_INTERVAL);
        if is_unchanged || is_early {
            return;
        }
        let load = current(context);
        log::warn!(
            refused_bodies = refused_bodies - self.refused_bodies,
            evicted_connections = evicted_connections - self.evicted_connections,
            held_body_bytes = load.body_bytes,
            open_connections = load.connections;
            "callers were refused to stay within the memory and the descriptors of this VM"
        );
        *self = Self { evicted_connections, logged_at: Some(now), refused_bodies };
    }
}
