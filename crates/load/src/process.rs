//! Processor time and memory of a process, and counters of a VM.

use std::io;
use std::time::Duration;

use hawthornstand_standins::fleet::Fleet;
use hawthornstand_standins::http;
use serde_json::Value;

/// Returns the processor time a process has used.
pub fn cpu_time(pid: u32) -> io::Result<Duration> {
    let mut total_ns: u64 = 0;
    for entry in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let path = entry?.path().join("schedstat");
        let Ok(text) = std::fs::read_to_string(path) else { continue };
        total_ns += text.split(' ').next().and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok(Duration::from_nanos(total_ns))
}

/// Returns the resident memory of a process, in bytes.
pub fn resident_bytes(pid: u32) -> io::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kib: u64 = line.split_whitespace().nth(1).and_then(|field| field.parse().ok()).unwrap_or(0);
    Ok(kib * 1024)
}

/// Returns the state of a VM.
pub async fn status(fleet: &Fleet, vm: &str) -> io::Result<Value> {
    Ok(http::get(&fleet.vm(vm)?.admin_address, "/status").await?.body)
}

/// Returns one counter summed over all VMs that answer.
pub async fn counter(fleet: &Fleet, name: &str) -> u64 {
    let mut sum = 0;
    for vm in fleet.vms.keys() {
        let Ok(status) = status(fleet, vm).await else { continue };
        sum += counter_of(&status, name);
    }
    sum
}

/// Returns one counter of a VM's state.
pub fn counter_of(status: &Value, name: &str) -> u64 {
    let counters = status["counters"].as_array().cloned().unwrap_or_default();
    let found = counters.iter().find(|pair| pair[0] == name);
    found.and_then(|pair| pair[1].as_u64()).unwrap_or(0)
}

/// Returns extra attempts as a share of first attempts over all VMs since the start, in percent.
pub async fn extra_percent(fleet: &Fleet) -> f64 {
    let mut extra = 0;
    for name in ["budget.hedge", "budget.probe", "budget.retry"] {
        extra += counter(fleet, name).await;
    }
    let probes = counter(fleet, "budget.probe").await;
    let calls = counter(fleet, "backend.calls").await + probes;
    100.0 * extra as f64 / (calls - extra.min(calls)).max(1) as f64
}

/// Returns the largest 99th percentile of a timer over all VMs, in microseconds.
pub async fn timer_p99_us(fleet: &Fleet, name: &str) -> u64 {
    let mut largest = 0;
    for vm in fleet.vms.keys() {
        let Ok(status) = status(fleet, vm).await else { continue };
        let timers = status["timers"].as_array().cloned().unwrap_or_default();
        let found = timers.iter().find(|pair| pair[0] == name);
        largest = largest.max(found.and_then(|pair| pair[1][2].as_u64()).unwrap_or(0));
    }
    largest
}
