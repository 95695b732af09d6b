//! The deployments of both users at their current sizes, with all services and emulated latencies between regions.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::{VARIANTS, caller_addresses, start};
use crate::ExperimentOptions;
use crate::deployments::{KADEH, KRTACKA, full_deployment};
use crate::generator::{LoadSpec, run_load};
use crate::process::extra_attempts_percent;
use crate::report::{Table, format_ms};

/// Time at the start of each run that the latencies leave out.
const WARM_UP: Duration = Duration::from_secs(3);

/// Runs each deployment with every variant.
pub async fn run(options: &ExperimentOptions) -> io::Result<()> {
    let mut table = Table::new(&[
        "deployment",
        "variant",
        "backend servers",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "complete %",
        "extra %",
        "connections over a limit",
        "wrong",
    ]);
    for deployment in [&KADEH, &KRTACKA] {
        for (name, settings) in VARIANTS {
            let fleet = start(full_deployment(&options.daemon, deployment), settings).await?;
            let load = LoadSpec {
                addresses: caller_addresses(&fleet),
                duration: WARM_UP + Duration::from_secs(options.seconds_or(10)),
                limit: 10,
                rate_per_s: options.rate_or(300),
                services: deployment.pools.iter().map(|pool| pool.name.to_string()).collect(),
                timeout_ms: 1000,
            };
            let all = run_load(&load).await?;
            let results = all.scheduled_from(WARM_UP);
            let over: usize = fleet
                .leafs
                .values()
                .map(|leaf| leaf.connections.over_limit.load(Ordering::SeqCst))
                .sum();
            table.row(&[
                deployment.name.to_string(),
                name.to_string(),
                fleet.leafs.len().to_string(),
                format_ms(results.quantile_us(0.5)),
                format_ms(results.quantile_us(0.99)),
                format_ms(results.quantile_us(0.999)),
                format!("{:.2}", results.complete_percent()),
                format!("{:.2}", extra_attempts_percent(&fleet).await),
                over.to_string(),
                all.count(|record| record.inconsistency.is_some()).to_string(),
            ]);
        }
    }
    Ok(())
}
