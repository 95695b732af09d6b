//! Verbs for a steady load in the background.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hawthornstand_standins::http;
use serde_json::json;
use tokio::task::JoinHandle;

use super::observe::check_hits;
use super::{Args, Printed, Runner};

/// Pause between two requests of one sender.
const PAUSE: Duration = Duration::from_millis(5);

#[derive(Default)]
struct Counts {
    complete: AtomicU64,
    cut: AtomicU64,
    /// Time that a VM which stops leaves to whoever saw it ready; a balancer that asks less often may find it gone.
    notice: Option<Duration>,
    partial: AtomicU64,
    refused: AtomicU64,
    wrong: AtomicU64,
}

/// A load that runs until its result is asked for.
pub struct Load {
    counts: Arc<Counts>,
    senders: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

/// Runs one verb.
pub fn run(runner: &mut Runner, args: &Args<'_>) -> Printed {
    if args.0.directive == "load" { start(runner, args) } else { result(runner, args) }
}

/// `load`: searches through VMs that are ready, as a balancer would send them.
fn start(runner: &mut Runner, args: &Args<'_>) -> Printed {
    let mut addresses = Vec::new();
    for id in runner.vm_ids(args, "vm")? {
        addresses.push(runner.fleet()?.vm(&id).map_err(|e| e.to_string())?.callers.clone());
    }
    let notice_ms: Option<u64> = args.optional("notice_ms").and_then(|text| text.parse().ok());
    let notice = notice_ms.map(Duration::from_millis);
    let counts = Arc::new(Counts { notice, ..Counts::default() });
    let stop = Arc::new(AtomicBool::new(false));
    let mut senders = Vec::new();
    for number in 0..args.number("senders", 4)? {
        let (counts, stop, addresses) = (Arc::clone(&counts), Arc::clone(&stop), addresses.clone());
        senders.push(runner.runtime.spawn(async move {
            let mut request = number as usize;
            let mut balancer = vec![None; addresses.len()];
            while !stop.load(Ordering::SeqCst) {
                request += 1;
                let vm = request % addresses.len();
                if is_ready(&counts, &addresses[vm], &mut balancer[vm]).await {
                    send(&counts, &addresses[vm], request).await;
                }
                tokio::time::sleep(PAUSE).await;
            }
        }));
    }
    runner.load = Some(Load { counts, senders, stop });
    Ok("running".to_string())
}

/// `load-result`: stops the load; prints what must be zero, and whether enough was complete.
fn result(runner: &mut Runner, args: &Args<'_>) -> Printed {
    let Some(load) = runner.load.take() else { return Err("no load runs".to_string()) };
    load.stop.store(true, Ordering::SeqCst);
    for sender in load.senders {
        runner.runtime.block_on(sender).map_err(|e| e.to_string())?;
    }
    let get = |count: &AtomicU64| count.load(Ordering::SeqCst);
    let (complete, partial) = (get(&load.counts.complete), get(&load.counts.partial));
    let share = 100 * complete / (complete + partial).max(1);
    let least = args.number("complete_percent", 100)?;
    let verdict = if complete > 0 && share >= least {
        "enough complete".to_string()
    } else {
        format!("{share}% complete")
    };
    let (cut, wrong) = (get(&load.counts.cut), get(&load.counts.wrong));
    if args.optional("refusals").as_deref() == Some("allowed") {
        return Ok(format!("{cut} cut, {wrong} wrong, {verdict}"));
    }
    Ok(format!("{cut} cut, {} refused, {wrong} wrong, {verdict}", get(&load.counts.refused)))
}

/// Asks a VM as a balancer does; one that is gone within its notice after it was ready counts as a cut.
async fn is_ready(counts: &Counts, address: &str, last_ready: &mut Option<Instant>) -> bool {
    let reply = http::get(address, "/ready").await;
    if reply.is_err()
        && let Some(last) = last_ready
    {
        let age = last.elapsed();
        eprintln!("{address} is gone, {} ms after it was ready", age.as_millis());
        if counts.notice.is_none_or(|notice| age < notice) {
            counts.cut.fetch_add(1, Ordering::SeqCst);
        }
    }
    let is_ready = reply.is_ok_and(|reply| reply.status == 200);
    *last_ready = is_ready.then(Instant::now);
    is_ready
}

/// Sends one search to a VM.
async fn send(counts: &Counts, address: &str, number: usize) {
    let body = json!({ "query": format!("load-{number}"), "limit": 1000 }).to_string();
    let headers = [("timeout-ms", "1000".to_string())];
    let reply = http::send(address, "POST", "/services/roster/search", &headers, &body).await;
    let counter = match reply {
        Err(error) => {
            eprintln!("search {number} at {address}: {error}");
            &counts.cut
        }
        Ok(reply) if reply.status != 200 => {
            eprintln!("search {number} at {address}: {} {}", reply.status, reply.body);
            &counts.refused
        }
        Ok(reply) if check_hits(&reply.body).is_some() => &counts.wrong,
        Ok(reply) if reply.body["coverage"]["complete"] == json!(true) => &counts.complete,
        Ok(reply) => {
            eprintln!(
                "search {number} at {address}: missing {}",
                reply.body["coverage"]["missing"]
            );
            &counts.partial
        }
    };
    counter.fetch_add(1, Ordering::SeqCst);
}
