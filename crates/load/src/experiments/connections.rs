//! Connections at the backend servers while three of nine VMs are replaced at once.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::{callers, start};
use crate::Setup;
use crate::deployments::{KADEH, one_pool, vm};
use crate::generator::{Load, apply};
use crate::report::Table;

/// Counts connections under load and replacement, with as many connections as the share allows.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let mut table = Table::new(&[
        "pool",
        "limit",
        "peak",
        "refused over the limit",
        "opened in all",
        "complete %",
    ]);
    for pool in KADEH.pools {
        let settings = "backend:\n  max_connections_per_leaf: 64\n";
        let mut fleet = start(one_pool(&setup.daemon, &KADEH, pool, 9), settings).await?;
        let load = Load {
            addresses: callers(&fleet)[3..].to_vec(),
            duration: Duration::from_secs(setup.seconds_or(8)),
            limit: 10,
            rate_per_s: setup.rate_or(200),
            services: vec![pool.name.to_string()],
            timeout_ms: 1000,
        };
        let running = tokio::spawn(async move { apply(&load).await });
        tokio::time::sleep(Duration::from_secs(2)).await;
        // The new ones run before the old ones are gone, and the list knows of neither change yet.
        for number in 9..12 {
            let spec = vm(number, KADEH.regions[0]);
            fleet.add_vm(&spec)?;
            fleet.start_vm(&spec.id)?;
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        for number in 0..3 {
            fleet.kill_vm(&vm(number, "").id)?;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.publish_vm_list(|id| !["entry-1", "entry-2", "entry-3"].contains(&id));
        let results = running.await??;
        let most = |pick: fn(&hawthornstand_standins::serve::ConnectionCounts) -> usize| {
            fleet.leafs.values().map(|leaf| pick(&leaf.connections)).max().unwrap_or(0)
        };
        table.row(&[
            pool.name.to_string(),
            pool.connection_limit.to_string(),
            most(|counts| counts.peak.load(Ordering::SeqCst)).to_string(),
            most(|counts| counts.over_limit.load(Ordering::SeqCst)).to_string(),
            most(|counts| counts.total.load(Ordering::SeqCst)).to_string(),
            format!("{:.2}", results.complete_percent()),
        ]);
    }
    Ok(())
}
