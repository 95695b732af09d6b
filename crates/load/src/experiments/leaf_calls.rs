//! CPU time of a VM per backend call, for queries to 30 up to 730 shards.

use std::io;
use std::time::Duration;

use hawthornstand_standins::fleet::FleetSpec;

use super::start;
use crate::ExperimentOptions;
use crate::generator::{LoadSpec, run_load};
use crate::process::{counter_sum, cpu_time, resident_bytes};
use crate::report::{Series, Table, fit_line, format_ms, plot};

/// Numbers of shards per query.
const SIZES: &[u64] = &[30, 100, 300, 730];

/// Measures one VM at each number of shards, at about the same rate of backend calls.
pub async fn run(options: &ExperimentOptions) -> io::Result<()> {
    let calls_per_s = options.rate_or(9000);
    let mut table = Table::new(&[
        "shards",
        "queries/s",
        "calls/s",
        "CPU us per call",
        "CPU us per query",
        "p50 ms",
        "p99 ms",
        "complete %",
        "causes of the rest",
        "resident MiB",
    ]);
    let mut per_query = Vec::new();
    let mut per_call = Vec::new();
    for &shards in SIZES {
        let mut spec = FleetSpec::with_equal_shards(&options.daemon, 1, shards, 1, 1);
        for leaf in &mut spec.leafs {
            leaf.service_time = Duration::from_millis(1);
            leaf.slots = 16;
        }
        spec.block_shards = 1000;
        let fleet = start(spec, "").await?;
        let pid = fleet.pid("entry-1").expect("a running VM");
        let load = LoadSpec {
            addresses: vec![fleet.vm("entry-1")?.caller_address.clone()],
            duration: Duration::from_secs(2),
            limit: 10,
            rate_per_s: (calls_per_s / shards).max(1),
            services: vec!["roster".to_string()],
            timeout_ms: 2000,
        };
        run_load(&load).await?;
        let (cpu, calls) = (cpu_time(pid)?, counter_sum(&fleet, "backend.calls").await);
        let seconds = options.seconds_or(8);
        let results =
            run_load(&LoadSpec { duration: Duration::from_secs(seconds), ..load.clone() }).await?;
        let used_us = (cpu_time(pid)? - cpu).as_micros() as f64;
        let calls = (counter_sum(&fleet, "backend.calls").await - calls) as f64;
        let queries = results.records.len() as f64;
        per_query.push((shards as f64, used_us / queries));
        per_call.push((shards as f64, used_us / calls));
        table.row(&[
            shards.to_string(),
            format!("{:.0}", queries / seconds as f64),
            format!("{:.0}", calls / seconds as f64),
            format!("{:.1}", used_us / calls),
            format!("{:.0}", used_us / queries),
            format_ms(results.quantile_us(0.5)),
            format_ms(results.quantile_us(0.99)),
            format!("{:.2}", results.complete_percent()),
            results.incomplete_causes(),
            format!("{:.1}", resident_bytes(pid)? as f64 / f64::from(1 << 20)),
        ]);
    }
    let (slope, intercept, residual) = fit_line(&per_query);
    println!(
        "\nCPU per query = {intercept:.0} us + {slope:.1} us x shards, largest residual {residual:.0} us"
    );
    let series = [Series { name: "CPU per backend call".to_string(), points: per_call }];
    plot(
        &options.out.join("leaf-calls.svg"),
        "CPU per backend call",
        "shards per query",
        "us",
        &series,
    )
}
