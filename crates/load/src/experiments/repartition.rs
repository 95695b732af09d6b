//! A new index version and moved slices every second under load.

use std::io;
use std::time::Duration;

use hawthornstand_standins::fleet::Fleet;
use hawthornstand_standins::leaf_model::SliceRange;

use super::{VARIANTS, caller_addresses, start};
use crate::ExperimentOptions;
use crate::deployments::{KADEH, single_pool};
use crate::generator::{LoadSpec, run_load};
use crate::process::counter_sum;
use crate::report::{Table, format_ms};

/// Runs the default settings and the baseline without hedging.
pub async fn run(options: &ExperimentOptions) -> io::Result<()> {
    let mut table = Table::new(&[
        "variant",
        "answers",
        "complete %",
        "mixed or wrong",
        "causes of the rest",
        "restarted",
        "refused",
        "p50 ms",
        "p99 ms",
    ]);
    for (name, settings) in VARIANTS.iter().take(2) {
        let fleet =
            start(single_pool(&options.daemon, &KADEH, &KADEH.pools[0], 3), settings).await?;
        let load = LoadSpec {
            addresses: caller_addresses(&fleet),
            duration: Duration::from_secs(options.seconds_or(20)),
            limit: 1000,
            rate_per_s: options.rate_or(300),
            services: vec![KADEH.pools[0].name.to_string()],
            timeout_ms: 1000,
        };
        let (results, ()) =
            tokio::join!(run_load(&load), change_index(&fleet, options.seconds_or(20)));
        let results = results?;
        table.row(&[
            name.to_string(),
            results.count(|record| record.status == 200).to_string(),
            format!("{:.2}", results.complete_percent()),
            results.count(|record| record.inconsistency.is_some()).to_string(),
            results.incomplete_causes(),
            counter_sum(&fleet, "search.restarted").await.to_string(),
            results.count(|record| record.status != 200).to_string(),
            format_ms(results.quantile_us(0.5)),
            format_ms(results.quantile_us(0.99)),
        ]);
    }
    Ok(())
}

/// Adds a version every second, one backend server after the other, and moves the bounds of the shards.
async fn change_index(fleet: &Fleet, seconds: u64) {
    let count = fleet.leafs.len() as u32;
    for second in 0..seconds {
        let version = second + 2;
        for (number, leaf) in fleet.leafs.values().enumerate() {
            let shard = number as u64 / 3;
            leaf.update_behaviour(|behaviour| {
                behaviour.versions.insert(version);
                while behaviour.versions.len() > 2 {
                    behaviour.versions.pop_first();
                }
                // Every other second a shard also holds the lower half of the next shard.
                let start = shard * 10;
                let end = if second % 2 == 0 { start + 10 } else { (start + 15).min(100) };
                behaviour.slices = vec![SliceRange { start, end }];
            });
            tokio::time::sleep(Duration::from_millis(800) / count).await;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
