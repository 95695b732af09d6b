//! A new index version and moved slices every second, under load.

use std::io;
use std::time::Duration;

use hawthornstand_standins::fleet::Fleet;
use hawthornstand_standins::leaf_model::SliceRange;

use super::{VARIANTS, callers, start};
use crate::Setup;
use crate::deployments::{KADEH, one_pool};
use crate::generator::{Load, apply};
use crate::process::counter;
use crate::report::{Table, ms};

/// Runs the candidate and the baseline without hedging.
pub async fn run(setup: &Setup) -> io::Result<()> {
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
        let fleet = start(one_pool(&setup.daemon, &KADEH, &KADEH.pools[0], 3), settings).await?;
        let load = Load {
            addresses: callers(&fleet),
            duration: Duration::from_secs(setup.seconds_or(20)),
            limit: 1000,
            rate_per_s: setup.rate_or(300),
            services: vec![KADEH.pools[0].name.to_string()],
            timeout_ms: 1000,
        };
        let (results, ()) = tokio::join!(apply(&load), change(&fleet, setup.seconds_or(20)));
        let results = results?;
        table.row(&[
            name.to_string(),
            results.count(|event| event.status == 200).to_string(),
            format!("{:.2}", results.complete_percent()),
            results.count(|event| event.wrong.is_some()).to_string(),
            results.causes(),
            counter(&fleet, "search.restarted").await.to_string(),
            results.count(|event| event.status != 200).to_string(),
            ms(results.quantile_us(0.5)),
            ms(results.quantile_us(0.99)),
        ]);
    }
    Ok(())
}

/// Publishes a version a second, backend server by backend server, and moves the borders of shards.
async fn change(fleet: &Fleet, seconds: u64) {
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
                // Every other second the upper half of each shard is also held by its left neighbour.
                let start = shard * 10;
                let end = if second % 2 == 0 { start + 10 } else { (start + 15).min(100) };
                behaviour.slices = vec![SliceRange { start, end }];
            });
            tokio::time::sleep(Duration::from_millis(800) / count).await;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
