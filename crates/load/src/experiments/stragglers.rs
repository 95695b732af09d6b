//! One of thirty backend servers is twenty times slower than the others.

use std::io;
use std::time::Duration;

use super::{VARIANTS, caller_addresses, start};
use crate::ExperimentOptions;
use crate::deployments::{KADEH, single_pool};
use crate::generator::{LoadSpec, run_load};
use crate::process::extra_attempts_percent;
use crate::report::{Series, Table, format_ms, plot};

/// Time at the start of each run that the latencies leave out.
const WARM_UP: Duration = Duration::from_secs(4);

/// Runs every variant with and without the straggler.
pub async fn run(options: &ExperimentOptions) -> io::Result<()> {
    let mut table = Table::new(&[
        "variant",
        "straggler",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "complete %",
        "extra %",
        "wrong",
    ]);
    let mut series = Vec::new();
    for (name, settings) in VARIANTS {
        for with_straggler in [false, true] {
            let fleet =
                start(single_pool(&options.daemon, &KADEH, &KADEH.pools[0], 3), settings).await?;
            if with_straggler {
                let leaf = fleet.leafs.values().next().expect("a backend server");
                leaf.update_behaviour(|behaviour| behaviour.slowdown = 20.0);
            }
            let load = LoadSpec {
                addresses: caller_addresses(&fleet),
                duration: WARM_UP + Duration::from_secs(options.seconds_or(20)),
                limit: 10,
                rate_per_s: options.rate_or(300),
                services: vec![KADEH.pools[0].name.to_string()],
                timeout_ms: 1000,
            };
            let all = run_load(&load).await?;
            let results = all.scheduled_from(WARM_UP);
            table.row(&[
                name.to_string(),
                if with_straggler { "yes" } else { "no" }.to_string(),
                format_ms(results.quantile_us(0.5)),
                format_ms(results.quantile_us(0.99)),
                format_ms(results.quantile_us(0.999)),
                format!("{:.2}", all.complete_percent()),
                format!("{:.2}", extra_attempts_percent(&fleet).await),
                all.count(|record| record.inconsistency.is_some()).to_string(),
            ]);
            if with_straggler {
                series.push(Series { name: name.to_string(), points: results.quantile_points() });
            }
        }
    }
    plot(
        &options.out.join("stragglers.svg"),
        "One straggler in thirty",
        "quantile, %",
        "latency, ms",
        &series,
    )
}
