//! CPU time of the entry VM and of the relaying VMs when searches are relayed through other VMs.

use std::io;
use std::time::Duration;

use hawthornstand_standins::fleet::{Fleet, FleetSpec};

use super::start;
use crate::ExperimentOptions;
use crate::generator::{LoadSpec, run_load};
use crate::process::{counter_sum, cpu_time, status, vm_counter};
use crate::report::{Table, fit_line, format_ms};

/// Numbers of shards per query.
const SIZES: &[u64] = &[150, 300, 730];
/// Number of VMs; for every block, one of them connects to its backend servers.
const VMS: usize = 4;

/// CPU times and counters at one time.
struct Snapshot {
    calls: u64,
    entry_calls: u64,
    entry_cpu: Duration,
    relayed: u64,
    others_cpu: Duration,
}

/// Sends queries through the VM that connects to the fewest backend servers.
pub async fn run(options: &ExperimentOptions) -> io::Result<()> {
    let mut table = Table::new(&[
        "shards",
        "relayed blocks per query",
        "calls of the entry itself per query",
        "entry CPU us per query",
        "relay CPU us per backend call",
        "p50 ms",
        "p99 ms",
        "complete %",
    ]);
    let mut points = Vec::new();
    for &shards in SIZES {
        let mut spec = FleetSpec::with_equal_shards(&options.daemon, VMS, shards, 1, 1);
        for leaf in &mut spec.leafs {
            leaf.connection_limit = 2;
            leaf.slots = 16;
        }
        spec.planned_vms = VMS as u64;
        spec.replaced_at_once = 1;
        spec.block_shards = 75;
        let fleet = start(spec, "").await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let entry = least_connected(&fleet).await?;
        let load = LoadSpec {
            addresses: vec![fleet.vm(&entry)?.caller_address.clone()],
            duration: Duration::from_secs(2),
            limit: 10,
            rate_per_s: (options.rate_or(6000) / shards).max(1),
            services: vec!["roster".to_string()],
            timeout_ms: 2000,
        };
        run_load(&load).await?;
        let before = snapshot(&fleet, &entry).await?;
        let results = run_load(&LoadSpec {
            duration: Duration::from_secs(options.seconds_or(8)),
            ..load.clone()
        })
        .await?;
        let after = snapshot(&fleet, &entry).await?;
        let queries = results.records.len() as f64;
        let entry_us = (after.entry_cpu - before.entry_cpu).as_micros() as f64 / queries;
        let entry_calls = (after.entry_calls - before.entry_calls) as f64 / queries;
        let relayed_calls =
            (after.calls - before.calls) as f64 - (after.entry_calls - before.entry_calls) as f64;
        points.push((shards as f64 - entry_calls, entry_us));
        table.row(&[
            shards.to_string(),
            format!("{:.1}", (after.relayed - before.relayed) as f64 / queries),
            format!("{entry_calls:.1}"),
            format!("{entry_us:.0}"),
            format!(
                "{:.1}",
                (after.others_cpu - before.others_cpu).as_micros() as f64 / relayed_calls.max(1.0)
            ),
            format_ms(results.quantile_us(0.5)),
            format_ms(results.quantile_us(0.99)),
            format!("{:.2}", results.complete_percent()),
        ]);
    }
    let (slope, intercept, residual) = fit_line(&points);
    println!(
        "\nentry CPU per query = {intercept:.0} us + {slope:.2} us x relayed shards, largest residual {residual:.0} us"
    );
    Ok(())
}

/// Returns the VM that has sent the fewest backend probes, hence connects to the fewest backend servers.
async fn least_connected(fleet: &Fleet) -> io::Result<String> {
    let mut fewest = (u64::MAX, String::new());
    for vm in fleet.vms.keys() {
        fewest = fewest.min((vm_counter(&status(fleet, vm).await?, "backend.probes"), vm.clone()));
    }
    Ok(fewest.1)
}

/// Reads the CPU times and counters of the fleet.
async fn snapshot(fleet: &Fleet, entry: &str) -> io::Result<Snapshot> {
    let mut others_cpu = Duration::ZERO;
    for vm in fleet.vms.keys().filter(|vm| *vm != entry) {
        others_cpu += fleet.pid(vm).map_or(Ok(Duration::ZERO), cpu_time)?;
    }
    let state = status(fleet, entry).await?;
    Ok(Snapshot {
        calls: counter_sum(fleet, "backend.calls").await,
        entry_cpu: fleet.pid(entry).map_or(Ok(Duration::ZERO), cpu_time)?,
        entry_calls: vm_counter(&state, "backend.calls"),
        relayed: vm_counter(&state, "relay.requests"),
        others_cpu,
    })
}
