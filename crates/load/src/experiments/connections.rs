//! Connections of the backend servers while three of nine VMs are replaced at once.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::{caller_addresses, start};
use crate::ExperimentOptions;
use crate::deployments::{KADEH, single_pool, vm};
use crate::generator::{LoadSpec, run_load};
use crate::report::Table;

/// Counts the connections under load and replacement, with a limit per VM high enough to use its full share.
pub async fn run(options: &ExperimentOptions) -> io::Result<()> {
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
        let mut fleet = start(single_pool(&options.daemon, &KADEH, pool, 9), settings).await?;
        let load = LoadSpec {
            addresses: caller_addresses(&fleet)[3..].to_vec(),
            duration: Duration::from_secs(options.seconds_or(8)),
            limit: 10,
            rate_per_s: options.rate_or(200),
            services: vec![pool.name.to_string()],
            timeout_ms: 1000,
        };
        let running = tokio::spawn(async move { run_load(&load).await });
        tokio::time::sleep(Duration::from_secs(2)).await;
        // The new VMs start before the old ones are killed, and the VM list contains neither change yet.
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
        let max_of = |pick: fn(&hawthornstand_standins::serve::ConnectionCounts) -> usize| {
            fleet.leafs.values().map(|leaf| pick(&leaf.connections)).max().unwrap_or(0)
        };
        table.row(&[
            pool.name.to_string(),
            pool.connection_limit.to_string(),
            max_of(|counts| counts.peak.load(Ordering::SeqCst)).to_string(),
            max_of(|counts| counts.over_limit.load(Ordering::SeqCst)).to_string(),
            max_of(|counts| counts.total.load(Ordering::SeqCst)).to_string(),
            format!("{:.2}", results.complete_percent()),
        ]);
    }
    Ok(())
}
