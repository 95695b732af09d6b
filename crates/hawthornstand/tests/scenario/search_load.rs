//! Directives for a continuous search load in the background.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hawthornstand_standins::http;
use serde_json::json;
use tokio::task::JoinHandle;

use super::observe::check_hits;
use super::{Args, DirectiveResult, Runner};

/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(5);

/// Requests by result, shared by all clients.
#[derive(Default)]
struct Counts {
    complete: AtomicU64,
    /// Requests that failed without a response, and readiness probes that failed within the notice time.
    dropped: AtomicU64,
    /// Time for which a stopping VM still accepts connections after it was last ready.
    ///
    /// A load balancer that probes less often than this may find the VM gone.
    notice: Option<Duration>,
    partial: AtomicU64,
    refused: AtomicU64,
    wrong: AtomicU64,
}

/// Clients that send searches until the result is requested.
pub struct SearchLoad {
    clients: Vec<JoinHandle<()>>,
    counts: Arc<Counts>,
    stop: Arc<AtomicBool>,
}

/// Runs one directive.
pub fn run(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    if args.0.directive == "search-load" { start(runner, args) } else { result(runner, args) }
}

/// `search-load`: starts clients that search through the ready VMs in turn, as a load balancer would.
fn start(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    let mut addresses = Vec::new();
    for id in runner.vm_ids(args, "vm")? {
        addresses.push(runner.fleet()?.vm(&id).map_err(|e| e.to_string())?.caller_address.clone());
    }
    let notice_ms: Option<u64> = args.optional("notice_ms").and_then(|text| text.parse().ok());
    let notice = notice_ms.map(Duration::from_millis);
    let counts = Arc::new(Counts { notice, ..Counts::default() });
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..args.number_or("clients", 4)? {
        let (counts, stop, addresses) = (Arc::clone(&counts), Arc::clone(&stop), addresses.clone());
        clients.push(runner.runtime.spawn(async move {
            let mut request = number as usize;
            let mut last_ready = vec![None; addresses.len()];
            while !stop.load(Ordering::SeqCst) {
                request += 1;
                let vm = request % addresses.len();
                if is_ready(&counts, &addresses[vm], &mut last_ready[vm]).await {
                    send(&counts, &addresses[vm], request).await;
                }
                tokio::time::sleep(PAUSE).await;
            }
        }));
    }
    runner.search_load = Some(SearchLoad { clients, counts, stop });
    Ok("running".to_string())
}

/// `search-load-result`: stops the load, prints the counts that must be zero and whether `complete_percent` was reached.
fn result(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    let Some(load) = runner.search_load.take() else {
        return Err("no search load is running".to_string());
    };
    load.stop.store(true, Ordering::SeqCst);
    for client in load.clients {
        runner.runtime.block_on(client).map_err(|e| e.to_string())?;
    }
    let get = |count: &AtomicU64| count.load(Ordering::SeqCst);
    let (complete, partial) = (get(&load.counts.complete), get(&load.counts.partial));
    let percent = 100 * complete / (complete + partial).max(1);
    let required_percent = args.number_or("complete_percent", 100)?;
    let completeness = if complete > 0 && percent >= required_percent {
        "enough complete".to_string()
    } else {
        format!("{percent}% complete")
    };
    let (dropped, wrong) = (get(&load.counts.dropped), get(&load.counts.wrong));
    if args.optional("refusals").as_deref() == Some("allowed") {
        return Ok(format!("{dropped} dropped, {wrong} wrong, {completeness}"));
    }
    Ok(format!(
        "{dropped} dropped, {} refused, {wrong} wrong, {completeness}",
        get(&load.counts.refused)
    ))
}

/// Probes the readiness of a VM as a load balancer does.
///
/// A VM that is unreachable less than the notice time after it was ready counts as dropped; without a notice
/// time, however long after.
async fn is_ready(counts: &Counts, address: &str, last_ready: &mut Option<Instant>) -> bool {
    let reply = http::get(address, "/ready").await;
    if reply.is_err()
        && let Some(last) = last_ready
    {
        let age = last.elapsed();
        eprintln!("{address} is unreachable, {} ms after it was ready", age.as_millis());
        if counts.notice.is_none_or(|notice| age < notice) {
            counts.dropped.fetch_add(1, Ordering::SeqCst);
        }
    }
    let is_ready = reply.is_ok_and(|reply| reply.status == 200);
    *last_ready = is_ready.then(Instant::now);
    is_ready
}

/// Sends one search to a VM and counts its result.
async fn send(counts: &Counts, address: &str, number: usize) {
    let body = json!({ "query": format!("load-{number}"), "limit": 1000 }).to_string();
    let headers = [("timeout-ms", "1000".to_string())];
    let reply = http::send(address, "POST", "/services/roster/search", &headers, &body).await;
    let counter = match reply {
        Err(error) => {
            eprintln!("search {number} at {address}: {error}");
            &counts.dropped
        }
        Ok(reply) if reply.status != 200 => {
            eprintln!("search {number} at {address}: {} {}", reply.status, reply.body);
            &counts.refused
        }
        Ok(reply) if check_hits(&reply.body).is_some() => &counts.wrong,
        Ok(reply) if reply.body["coverage"]["complete"] == json!(true) => &counts.complete,
        Ok(reply) => {
            eprintln!(
                "search {number} at {address}: missing slices {}",
                reply.body["coverage"]["missing"]
            );
            &counts.partial
        }
    };
    counter.fetch_add(1, Ordering::SeqCst);
}
