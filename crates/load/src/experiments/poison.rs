//! A request that crashes every backend server that runs it, resent fifty times through all VMs.

use std::io;
use std::time::Duration;

use hawthornstand_standins::fleet::{Fleet, FleetSpec};

use super::{caller_addresses, start};
use crate::ExperimentOptions;
use crate::generator::{Client, LoadSpec, run_load};
use crate::report::Table;

/// Number of resends.
const RESENDS: usize = 50;
/// Time within which the quarantine status of a request must have reached every VM.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// Sends the request and its resends without a pause, and with a pause of `PROPAGATION_LIMIT` after the first send.
pub async fn run(options: &ExperimentOptions) -> io::Result<()> {
    println!(
        "Four shards of four replicas; the first send may cost one replica of each shard and one more.\n"
    );
    let mut table = Table::new(&[
        "resends",
        "lost to the first send",
        "lost to all resends",
        "answers to resends",
        "others complete %",
        "others refused",
    ]);
    for pause in [Duration::ZERO, PROPAGATION_LIMIT] {
        let fleet = start(FleetSpec::with_equal_shards(&options.daemon, 9, 4, 4, 10), "").await?;
        for leaf in fleet.leafs.values() {
            leaf.update_behaviour(|behaviour| behaviour.crash_on = Some("poison".to_string()));
        }
        let addresses = caller_addresses(&fleet);
        let load = LoadSpec {
            addresses: addresses.clone(),
            duration: Duration::from_secs(options.seconds_or(6)),
            limit: 10,
            rate_per_s: options.rate_or(200),
            services: vec!["roster".to_string()],
            timeout_ms: 1000,
        };
        let poison = async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            send(&addresses[0]).await;
            let first = crashed_count(&fleet);
            tokio::time::sleep(pause).await;
            let mut responses: Vec<(String, usize)> = Vec::new();
            for number in 0..RESENDS {
                let response = send(&addresses[number % addresses.len()]).await;
                match responses.iter_mut().find(|(known, _)| *known == response) {
                    Some((_, count)) => *count += 1,
                    None => responses.push((response, 1)),
                }
            }
            (first, crashed_count(&fleet) - first, responses)
        };
        let (results, (first, later, responses)) = tokio::join!(run_load(&load), poison);
        let results = results?;
        let responses: Vec<String> =
            responses.iter().map(|(response, count)| format!("{count} {response}")).collect();
        table.row(&[
            if pause.is_zero() { "at once" } else { "after 2 s" }.to_string(),
            first.to_string(),
            later.to_string(),
            responses.join(", "),
            format!("{:.2}", results.complete_percent()),
            results.count(|record| record.status != 200).to_string(),
        ]);
    }
    Ok(())
}

/// Sends the crashing request and returns a summary of the response.
async fn send(address: &str) -> String {
    let body = r#"{"query":"poison","limit":10}"#.to_string();
    let headers = [("timeout-ms", "1000".to_string())];
    match Client::new(address).post("/services/roster/search", &headers, body).await {
        Ok((200, body)) if body["coverage"]["complete"] == true => "complete".to_string(),
        Ok((200, _)) => "partial".to_string(),
        Ok((status, body)) => format!("{status} {}", body["error"].as_str().unwrap_or("?")),
        Err(_) => "no answer".to_string(),
    }
}

/// Counts the backend servers that have crashed.
fn crashed_count(fleet: &Fleet) -> usize {
    fleet.leafs.values().filter(|leaf| !leaf.is_running()).count()
}
