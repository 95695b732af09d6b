//! Loads below and above the capacity of the backend servers.

use std::io;
use std::time::Duration;

use super::{caller_addresses, start};
use crate::ExperimentOptions;
use crate::deployments::{KADEH, SERVICE_TIME, single_pool};
use crate::generator::{LoadSpec, run_load};
use crate::process::{extra_attempts_percent, max_timer_p99_us};
use crate::report::{Series, Table, format_ms, plot};

/// Time at the start of each run that the results leave out.
const WARM_UP: Duration = Duration::from_secs(5);
/// Loads, in percent of the capacity of the backend servers.
const LOADS_PERCENT: &[u64] = &[50, 80, 100, 150, 200, 300];

/// Compares the concurrency limit with a baseline without a limit at each load.
pub async fn run(options: &ExperimentOptions) -> io::Result<()> {
    let pool = &KADEH.pools[0];
    let per_shard = pool.replicas as f64 * pool.slots as f64 / (SERVICE_TIME.as_secs_f64() * 1.02);
    let capacity = options.rate_or(per_shard as u64);
    println!("Backend servers can serve {capacity} queries/s of {} shards each.\n", pool.shards);
    let variants = [
        ("candidate", ""),
        (
            "no limit",
            "admission:\n  initial_limit: 100000\n  max_limit: 100000\n  latency_tolerance_percent: 10000\n",
        ),
    ];
    let mut table = Table::new(&[
        "variant",
        "load %",
        "complete/s",
        "partial/s",
        "refused/s",
        "p50 ms",
        "p99 ms",
        "refusal p50 ms",
        "refusal p99 ms",
        "refusal p99 ms within the VM",
        "extra %",
    ]);
    let mut series = Vec::new();
    for (name, settings) in variants {
        let mut points = Vec::new();
        for &percent in LOADS_PERCENT {
            let fleet = start(single_pool(&options.daemon, &KADEH, pool, 3), settings).await?;
            let seconds = options.seconds_or(8);
            let load = LoadSpec {
                addresses: caller_addresses(&fleet),
                duration: WARM_UP + Duration::from_secs(seconds),
                limit: 10,
                rate_per_s: capacity * percent / 100,
                services: vec![pool.name.to_string()],
                timeout_ms: 310,
            };
            let results = run_load(&load).await?.scheduled_from(WARM_UP);
            let per_s = |count: usize| format!("{:.0}", count as f64 / seconds as f64);
            let complete = results.count(|record| record.complete);
            points.push((percent as f64, complete as f64 / seconds as f64));
            table.row(&[
                name.to_string(),
                percent.to_string(),
                per_s(complete),
                per_s(results.count(|record| record.status == 200 && !record.complete)),
                per_s(results.count(|record| record.status == 503)),
                format_ms(results.quantile_us(0.5)),
                format_ms(results.quantile_us(0.99)),
                format_ms(results.refusal_quantile_us(0.5)),
                format_ms(results.refusal_quantile_us(0.99)),
                format_ms(max_timer_p99_us(&fleet, "search.refused").await),
                format!("{:.2}", extra_attempts_percent(&fleet).await),
            ]);
        }
        series.push(Series { name: name.to_string(), points });
    }
    plot(
        &options.out.join("overload.svg"),
        "Goodput under overload",
        "load, % of capacity",
        "complete/s",
        &series,
    )
}
