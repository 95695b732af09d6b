//! A tenth of the backend servers is killed at once.

use std::io;
use std::time::Duration;

use super::{VARIANTS, caller_addresses, start};
use crate::ExperimentOptions;
use crate::deployments::{KADEH, single_pool};
use crate::generator::{LoadSpec, run_load};
use crate::process::extra_attempts_percent;
use crate::report::{Table, format_ms};

/// Time of the kill from the start of the load.
const KILL_AT: Duration = Duration::from_secs(4);

/// Kills two of the three replicas of one shard and one replica of another.
pub async fn run(options: &ExperimentOptions) -> io::Result<()> {
    let mut table = Table::new(&[
        "variant",
        "partial after the kill",
        "last partial after, s",
        "complete % from 2 s on",
        "p99 ms from 2 s on",
        "extra %",
        "refused",
        "wrong",
    ]);
    for (name, settings) in VARIANTS.iter().take(2) {
        let fleet =
            start(single_pool(&options.daemon, &KADEH, &KADEH.pools[0], 3), settings).await?;
        let load = LoadSpec {
            addresses: caller_addresses(&fleet),
            duration: KILL_AT + Duration::from_secs(options.seconds_or(10)),
            limit: 1000,
            rate_per_s: options.rate_or(300),
            services: vec![KADEH.pools[0].name.to_string()],
            timeout_ms: 1000,
        };
        let killed: Vec<&String> =
            fleet.leafs.keys().filter(|id| id.contains("-03-") || id.contains("-07-")).collect();
        let kill = async {
            tokio::time::sleep(KILL_AT).await;
            // Two of three replicas of shard 3 and one of shard 7: a tenth of thirty.
            for id in [killed[0], killed[1], killed[3]] {
                fleet.leafs[id].kill();
            }
        };
        let (results, ()) = tokio::join!(run_load(&load), kill);
        let results = results?;
        let partial =
            |record: &&crate::generator::RequestRecord| record.status == 200 && !record.complete;
        let last =
            results.records.iter().filter(partial).map(|record| record.scheduled_offset).max();
        let settled = results.scheduled_from(KILL_AT + Duration::from_secs(2));
        table.row(&[
            name.to_string(),
            results.records.iter().filter(partial).count().to_string(),
            last.map_or("none".to_string(), |at| {
                format!("{:.3}", at.saturating_sub(KILL_AT).as_secs_f64())
            }),
            format!("{:.2}", settled.complete_percent()),
            format_ms(settled.quantile_us(0.99)),
            format!("{:.2}", extra_attempts_percent(&fleet).await),
            results.count(|record| record.status != 200).to_string(),
            results.count(|record| record.inconsistency.is_some()).to_string(),
        ]);
    }
    Ok(())
}
