//! Client for the platform's published state.

use std::time::Duration;

use crate::backends::backend_client::BoxFuture;
use crate::backends::http_client::{self, HttpError};
use crate::configuration::published::{ListedVmKind, ListedVmState, VmList, WatchAnswer};
use crate::ids::Revision;
use crate::messages::{PeerVm, PeerVmList};

/// Error of a platform read.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum PlatformError {
    /// malformed response: {0}
    Malformed(String),
    /// {0}
    Transport(#[from] HttpError),
    /// unexpected HTTP status {0}
    Status(u16),
}

/// Interface to the platform.
pub trait PlatformReader: Send + Sync {
    /// Waits up to `wait` for changes after the given revisions.
    fn watch<'a>(
        &'a self,
        address: &'a str,
        config_after: Revision,
        list_after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchAnswer, PlatformError>>;
}

/// Platform reader over HTTP.
pub struct HttpPlatformReader {
    pub call_timeout: Duration,
}

impl PlatformReader for HttpPlatformReader {
    fn watch<'a>(
        &'a self,
        address: &'a str,
        config_after: Revision,
        list_after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchAnswer, PlatformError>> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            let path = format!(
                "/watch?config_after={config_after}&list_after={list_after}&wait_ms={wait_ms}"
            );
            let response = http_client::get(address, &path, wait + self.call_timeout).await?;
            if response.status() != 200 {
                return Err(PlatformError::Status(response.status().as_u16()));
            }
            serde_json::from_slice(response.body())
                .map_err(|e| PlatformError::Malformed(e.to_string()))
        })
    }
}

/// Converts the platform's VM list to the form that VMs exchange.
pub fn to_peer_list(list: VmList) -> PeerVmList {
    let mut vms: Vec<PeerVm> = list
        .vms
        .into_iter()
        .map(|vm| PeerVm {
            address: vm.address,
            entry: vm.kind == ListedVmKind::Entry,
            failure_domain: vm.failure_domain,
            id: vm.id,
            leaving: vm.state == ListedVmState::Leaving,
            region: vm.region,
        })
        .collect();
    vms.sort_by(|a, b| a.id.cmp(&b.id));
    PeerVmList { revision: list.revision, vms }
}
