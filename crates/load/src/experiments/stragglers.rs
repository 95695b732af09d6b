//! One backend server in thirty answers twenty times slower.

use std::io;
use std::time::Duration;

use super::{VARIANTS, callers, start};
use crate::Setup;
use crate::deployments::{KADEH, one_pool};
use crate::generator::{Load, apply};
use crate::process::extra_percent;
use crate::report::{Series, Table, ms, plot};

/// Time left out at the start of each run.
const WARM_UP: Duration = Duration::from_secs(4);

/// Runs every variant with and without the straggler.
pub async fn run(setup: &Setup) -> io::Result<()> {
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
        for slow in [false, true] {
            let fleet =
                start(one_pool(&setup.daemon, &KADEH, &KADEH.pools[0], 3), settings).await?;
            if slow {
                let leaf = fleet.leafs.values().next().expect("a backend server");
                leaf.update_behaviour(|behaviour| behaviour.slowdown = 20.0);
            }
            let load = Load {
                addresses: callers(&fleet),
                duration: WARM_UP + Duration::from_secs(setup.seconds_or(20)),
                limit: 10,
                rate_per_s: setup.rate_or(300),
                services: vec![KADEH.pools[0].name.to_string()],
                timeout_ms: 1000,
            };
            let all = apply(&load).await?;
            let results = all.after(WARM_UP);
            table.row(&[
                name.to_string(),
                if slow { "yes" } else { "no" }.to_string(),
                ms(results.quantile_us(0.5)),
                ms(results.quantile_us(0.99)),
                ms(results.quantile_us(0.999)),
                format!("{:.2}", all.complete_percent()),
                format!("{:.2}", extra_percent(&fleet).await),
                all.count(|event| event.wrong.is_some()).to_string(),
            ]);
            if slow {
                series.push(Series { name: name.to_string(), points: results.quantile_points() });
            }
        }
    }
    plot(
        &setup.out.join("stragglers.svg"),
        "One straggler in thirty",
        "quantile, %",
        "latency, ms",
        &series,
    )
}
