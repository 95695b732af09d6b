//! CPU time and memory of a process, and counters and timers of VMs.

use std::io;
use std::time::Duration;

use hawthornstand_standins::fleet::Fleet;
use hawthornstand_standins::http;
use serde_json::Value;

/// Returns the CPU time that the threads of a process have used, from `/proc/{pid}/task/*/schedstat`.
pub fn cpu_time(pid: u32) -> io::Result<Duration> {
    let mut total_ns: u64 = 0;
    for entry in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let path = entry?.path().join("schedstat");
        let Ok(text) = std::fs::read_to_string(path) else { continue };
        total_ns += text.split(' ').next().and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok(Duration::from_nanos(total_ns))
}

/// Returns the resident memory of a process in bytes, from `/proc/{pid}/status`; 0 if it is not listed.
pub fn resident_bytes(pid: u32) -> io::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kib: u64 = line.split_whitespace().nth(1).and_then(|field| field.parse().ok()).unwrap_or(0);
    Ok(kib * 1024)
}

/// Returns the status of a VM from its admin address.
pub async fn status(fleet: &Fleet, vm: &str) -> io::Result<Value> {
    Ok(http::get(&fleet.vm(vm)?.admin_address, "/status").await?.body)
}

/// Returns the sum of one counter over all VMs that respond.
pub async fn counter_sum(fleet: &Fleet, name: &str) -> u64 {
    let mut sum = 0;
    for vm in fleet.vms.keys() {
        let Ok(status) = status(fleet, vm).await else { continue };
        sum += vm_counter(&status, name);
    }
    sum
}

/// Returns one counter from the status of a VM; 0 if it is not listed.
pub fn vm_counter(status: &Value, name: &str) -> u64 {
    let counters = status["counters"].as_array().cloned().unwrap_or_default();
    let found = counters.iter().find(|pair| pair[0] == name);
    found.and_then(|pair| pair[1].as_u64()).unwrap_or(0)
}

/// Returns the extra attempts (hedges, probes and retries) in percent of the first attempts, over all VMs since
/// their start.
pub async fn extra_attempts_percent(fleet: &Fleet) -> f64 {
    let mut extra = 0;
    for name in ["budget.hedge", "budget.probe", "budget.retry"] {
        extra += counter_sum(fleet, name).await;
    }
    let probes = counter_sum(fleet, "budget.probe").await;
    let calls = counter_sum(fleet, "backend.calls").await + probes;
    100.0 * extra as f64 / (calls - extra.min(calls)).max(1) as f64
}

/// Returns the largest 99th percentile of a timer among all VMs, in microseconds.
pub async fn max_timer_p99_us(fleet: &Fleet, name: &str) -> u64 {
    let mut largest = 0;
    for vm in fleet.vms.keys() {
        let Ok(status) = status(fleet, vm).await else { continue };
        let timers = status["timers"].as_array().cloned().unwrap_or_default();
        let found = timers.iter().find(|pair| pair[0] == name);
        largest = largest.max(found.and_then(|pair| pair[1][2].as_u64()).unwrap_or(0));
    }
    largest
}
