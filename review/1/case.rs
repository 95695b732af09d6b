//! All VMs are killed and start again while their callers wait; the backend servers are sound and busy.

#[path = "../harness.rs"]
mod harness;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

const HOST: &str = "desk.example";
const VMS: usize = 2;
const LEAFS: usize = 3;
const SLOTS: usize = 4;
const QUEUE: usize = 2;
/// Each caller has one request at a time: together as many as the backend servers take.
const CALLERS: usize = LEAFS * (SLOTS + QUEUE);
const WORK_MS: u64 = 2000;
const TARGET_MS: u64 = 4000;
const DEADLINE_MS: u64 = 10_000;
/// Time between the starts of two callers.
const CALLER_EVERY_MS: u64 = 400;
/// Time for which the processes are down, as in the closing faults of the site files.
const DOWN_MS: u64 = 1500;
/// `recoveryS`.
const RECOVERY_S: f64 = 12.0;
const BEFORE_S: f64 = 25.0;
const AFTER_S: f64 = 50.0;
/// Pause of a caller after an answer, and before it connects again where it was refused.
const PAUSE_MS: u64 = 50;

/// When each request was sent, and whether it was served.
type Requests = Arc<Mutex<Vec<(f64, bool)>>>;

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| give_up("the path of the record is missing"));
    let record = Record::create(Path::new(&path));
    std::process::exit(run(&record));
}

fn run(record: &Record) -> i32 {
    let work = Work::create();
    let store = Store::start();
    let routes = [route(HOST, "/report/", "safe", &["reports"], (DEADLINE_MS, TARGET_MS), 1)];
    let services = [("reports", 110)];
    store.put("op/config", &config(7, &routes, &services));
    let settings = LeafSettings {
        service: "reports".to_string(),
        slots: SLOTS,
        queue: QUEUE,
        max_connections: 110,
        work_ms: WORK_MS,
    };
    let leafs: Vec<Leaf> =
        (0..LEAFS).map(|n| Leaf::start(&format!("i-reports-{n}"), settings.clone(), "", record)).collect();
    leafs.iter().for_each(|leaf| leaf.publish(&store));
    let ips: Vec<_> = (0..VMS).map(|_| free_ip()).collect();
    let mut vms: Vec<Vm> =
        (1..).zip(&ips).map(|(n, ip)| Vm::new(&format!("front-{n}"), *ip, &store, &ips, &work.0)).collect();
    vms.iter_mut().for_each(Vm::start);
    vms.iter().for_each(Vm::wait_ready);
    sleep_ms(3000);

    let requests: Requests = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let begin = Instant::now();
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let front = vms[number % VMS].front;
        let (requests, stop, record) = (requests.clone(), stop.clone(), record.clone());
        callers.push(thread::spawn(move || run_caller(front, &requests, &stop, &record)));
        sleep_ms(CALLER_EVERY_MS);
    }
    thread::sleep(Duration::from_secs_f64(BEFORE_S).saturating_sub(begin.elapsed()));
    let fault_s = record.now_s();
    store.put("op/config", &config(9, &routes, &services));
    record.say("a configuration with another version is written and acknowledged");
    if with_trouble() {
        record.say("all VMs are killed");
        vms.iter_mut().for_each(Vm::kill);
        sleep_ms(DOWN_MS);
        vms.iter_mut().for_each(Vm::start);
        record.say("all VMs are started again");
    }
    let back_s = record.now_s();
    thread::sleep(Duration::from_secs_f64(AFTER_S));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }

    let requests = std::mem::take(&mut *lock(&requests));
    let share = |from: f64, to: f64| {
        let sent: Vec<bool> =
            requests.iter().filter(|(at, _)| *at >= from && *at < to).map(|(_, served)| *served).collect();
        (sent.iter().filter(|served| **served).count(), sent.len())
    };
    for start in (0..(back_s + AFTER_S) as usize).step_by(10) {
        let (served, sent) = share(start as f64, start as f64 + 10.0);
        record.say(&format!("sent from {start} s on: {served} of {sent} served"));
    }
    for leaf in &leafs {
        record.say(&format!(
            "{} ran {} requests, turned away {} requests and {} health probes",
            leaf.id,
            leaf.runs.load(Ordering::SeqCst),
            leaf.shed_requests.load(Ordering::SeqCst),
            leaf.shed_probes.load(Ordering::SeqCst)
        ));
    }
    for vm in &vms {
        let lines = vm.log_lines("another backend server has the address").len();
        record.say(&format!("log of {}: {lines} lines 'another backend server has the address'", vm.name));
    }
    let (served_before, sent_before) = share(0.0, fault_s);
    let (served, sent) = share(back_s + RECOVERY_S, f64::MAX);
    record.say(&format!("before the fault, {served_before} of {sent_before} were served"));
    record.say(&format!(
        "of the requests sent later than {RECOVERY_S} s after the VMs were back, {served} of {sent} were served"
    ));
    if served_before * 4 < sent_before || sent == 0 {
        return NOT_RUN;
    }
    if served * 4 < sent { BROKEN } else { HELD }
}

/// Sends one request after the other to one VM until it is stopped; waits as a refusal says.
fn run_caller(front: SocketAddr, requests: &Requests, stop: &AtomicBool, record: &Record) {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    while !stop.load(Ordering::SeqCst) {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let request = CallerRequest {
            method: "GET",
            host: HOST,
            path: format!("/report/{number}"),
            id: format!("r{number}"),
            deadline_ms: DEADLINE_MS,
            body: String::new(),
        };
        let sent_s = record.now_s();
        record.line(&format!("client sends {} to {front}", request.id));
        let answer = call(front, &request);
        record.line(&format!("client gets {}: {}", request.id, outcome(&answer)));
        let served = answer.as_ref().is_ok_and(|answer| answer.status() == 200);
        lock(requests).push((sent_s, served));
        let retry_after: Option<f64> = answer.ok().and_then(|answer| answer.header("retry-after").parse().ok());
        let pause = retry_after.map_or(Duration::from_millis(PAUSE_MS), Duration::from_secs_f64);
        thread::sleep(pause);
    }
}
