//! Processor time of entry and relays when queries reach their shards through other VMs.

use std::io;
use std::time::Duration;

use hawthornstand_standins::fleet::{Fleet, FleetSpec};

use super::start;
use crate::Setup;
use crate::generator::{Load, apply};
use crate::process::{counter, counter_of, cpu_time, status};
use crate::report::{Table, fit, ms};

/// Shards of a query.
const SIZES: &[u64] = &[150, 300, 730];
/// VMs; each block is reached by one of them.
const VMS: usize = 4;

/// Processor time and counters before or after a run.
struct Mark {
    calls: u64,
    entry: Duration,
    entry_calls: u64,
    relayed: u64,
    others: Duration,
}

/// Sends queries through the VM that reaches the fewest blocks itself.
pub async fn run(setup: &Setup) -> io::Result<()> {
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
        let mut spec = FleetSpec::with_equal_shards(&setup.daemon, VMS, shards, 1, 1);
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
        let load = Load {
            addresses: vec![fleet.vm(&entry)?.caller_address.clone()],
            duration: Duration::from_secs(2),
            limit: 10,
            rate_per_s: (setup.rate_or(6000) / shards).max(1),
            services: vec!["roster".to_string()],
            timeout_ms: 2000,
        };
        apply(&load).await?;
        let before = mark(&fleet, &entry).await?;
        let results =
            apply(&Load { duration: Duration::from_secs(setup.seconds_or(8)), ..load.clone() })
                .await?;
        let after = mark(&fleet, &entry).await?;
        let queries = results.events.len() as f64;
        let entry_us = (after.entry - before.entry).as_micros() as f64 / queries;
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
                (after.others - before.others).as_micros() as f64 / relayed_calls.max(1.0)
            ),
            ms(results.quantile_us(0.5)),
            ms(results.quantile_us(0.99)),
            format!("{:.2}", results.complete_percent()),
        ]);
    }
    let (slope, intercept, residual) = fit(&points);
    println!(
        "\nentry CPU per query = {intercept:.0} us + {slope:.2} us x relayed shards, largest residual {residual:.0} us"
    );
    Ok(())
}

/// Returns the VM that made the fewest backend probes, hence reaches the fewest backend servers.
async fn least_connected(fleet: &Fleet) -> io::Result<String> {
    let mut fewest = (u64::MAX, String::new());
    for vm in fleet.vms.keys() {
        fewest = fewest.min((counter_of(&status(fleet, vm).await?, "backend.probes"), vm.clone()));
    }
    Ok(fewest.1)
}

/// Reads processor time and counters.
async fn mark(fleet: &Fleet, entry: &str) -> io::Result<Mark> {
    let mut others = Duration::ZERO;
    for vm in fleet.vms.keys().filter(|vm| *vm != entry) {
        others += fleet.pid(vm).map_or(Ok(Duration::ZERO), cpu_time)?;
    }
    let state = status(fleet, entry).await?;
    Ok(Mark {
        calls: counter(fleet, "backend.calls").await,
        entry: fleet.pid(entry).map_or(Ok(Duration::ZERO), cpu_time)?,
        entry_calls: counter_of(&state, "backend.calls"),
        relayed: counter_of(&state, "relay.requests"),
        others,
    })
}
