//! The directives of the scenario language.

mod book;
mod booking_load;
mod faults;
mod observe;
mod search_load;

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use datadriven::TestCase;
use hawthornstand_standins::fleet::{Fleet, FleetSpec, VmSpec};
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

/// Output of a directive, or the error that it prints.
pub type DirectiveResult = Result<String, String>;

/// State of one scenario: its fleet, and what directives keep for later ones.
pub struct Runner {
    pub background_bookings: BTreeMap<String, JoinHandle<DirectiveResult>>,
    pub booking_load: Option<booking_load::BookingLoad>,
    pub fleet: Option<Fleet>,
    pub runtime: Runtime,
    pub search_load: Option<search_load::SearchLoad>,
    pub tickets: BTreeMap<String, String>,
}

/// Arguments of one directive.
pub struct Args<'a>(pub &'a TestCase);

impl Args<'_> {
    /// Returns the value of a required argument.
    pub fn required(&self, name: &str) -> Result<String, String> {
        self.optional(name)
            .ok_or_else(|| format!("{}: argument {name} is missing", self.0.directive))
    }

    /// Returns the value of an optional argument; several values are joined by commas.
    pub fn optional(&self, name: &str) -> Option<String> {
        self.0.args.get(name).map(|values| values.join(","))
    }

    /// Returns every value of an argument; empty if the argument is missing.
    pub fn list(&self, name: &str) -> Vec<String> {
        self.0.args.get(name).cloned().unwrap_or_default()
    }

    /// Returns the number that an argument holds, or the default if the argument is missing.
    pub fn number_or(&self, name: &str, default: u64) -> Result<u64, String> {
        let Some(text) = self.optional(name) else { return Ok(default) };
        text.parse().map_err(|_| format!("{}: {name}={text} is not a number", self.0.directive))
    }
}

impl Runner {
    /// Creates a scenario without a fleet.
    pub fn new() -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("runtime starts");
        Self {
            background_bookings: BTreeMap::new(),
            booking_load: None,
            fleet: None,
            runtime,
            search_load: None,
            tickets: BTreeMap::new(),
        }
    }

    /// Runs one directive and returns its output.
    pub fn run(&mut self, case: &TestCase) -> String {
        let args = Args(case);
        let result = match case.directive.as_str() {
            "fleet" => self.start_fleet(&args),
            "start" => self.start_vm(&args),
            "await-executions"
            | "await-quarantine-status"
            | "await-revision"
            | "await-search"
            | "await-state"
            | "executions"
            | "platform-calls"
            | "status" => observe::run(self, &args),
            "booking-load" | "booking-load-result" => booking_load::run(self, &args),
            "book" | "join" | "ticket" => book::run(self, &args),
            "search-load" | "search-load-result" => search_load::run(self, &args),
            "search" => observe::search(self, &args),
            "sleep" => self.sleep(&args),
            _ => faults::run(self, &args),
        };
        match result {
            Ok(output) => format!("{output}\n"),
            Err(error) => format!("error: {error}\n"),
        }
    }

    /// Returns the fleet.
    pub fn fleet(&self) -> Result<&Fleet, String> {
        self.fleet.as_ref().ok_or_else(|| "no fleet was started".to_string())
    }

    /// Returns the VM IDs that an argument names; `all` stands for every VM.
    pub fn vm_ids(&self, args: &Args<'_>, name: &str) -> Result<Vec<String>, String> {
        let ids = args.list(name);
        if ids.iter().any(|id| id == "all") {
            return Ok(self.fleet()?.vms.keys().cloned().collect());
        }
        if ids.is_empty() {
            return Err(format!("{}: argument {name} is missing", args.0.directive));
        }
        Ok(ids)
    }

    /// `fleet`: starts the stand-ins and VMs; the input block is added to the settings of every VM.
    fn start_fleet(&mut self, args: &Args<'_>) -> DirectiveResult {
        let daemon = Path::new(env!("CARGO_BIN_EXE_hawthornstandd"));
        let vms = args.number_or("vms", 3)? as usize;
        let replicas = args.number_or("replicas", 2)? as usize;
        let mut spec = FleetSpec::with_equal_shards(
            daemon,
            vms,
            args.number_or("shards", 4)?,
            replicas,
            args.number_or("slices", 10)?,
        );
        spec.settings = args.0.input.clone();
        spec.use_link_proxies = args.optional("links").as_deref() == Some("proxy");
        spec.planned_vms = args.number_or("planned_vms", 9)?;
        spec.block_shards = args.number_or("block_shards", 150)?;
        spec.replaced_at_once = args.number_or("replaced_at_once", 3)?;
        let service_time = Duration::from_millis(args.number_or("service_time_ms", 1)?);
        let limit = args.number_or("connection_limit", 25)? as usize;
        for leaf in &mut spec.leafs {
            leaf.service_time = service_time;
            leaf.connection_limit = limit;
        }
        let start = args.optional("start").as_deref() != Some("no");
        let started = self.runtime.block_on(async {
            let mut fleet = Fleet::start(spec).await?;
            if start {
                fleet.start_vms().await?;
            }
            Ok::<_, io::Error>(fleet)
        });
        self.fleet = Some(started.map_err(|e| e.to_string())?);
        Ok(if start { "ready" } else { "published" }.to_string())
    }

    /// `start`: starts VMs and waits until they are ready; an unknown ID adds a VM to the fleet.
    fn start_vm(&mut self, args: &Args<'_>) -> DirectiveResult {
        let ids = self.vm_ids(args, "vm")?;
        let limit = Duration::from_secs(args.number_or("within_s", 20)?);
        let wait = args.optional("wait").as_deref() != Some("no");
        let Some(fleet) = &mut self.fleet else { return Err("no fleet was started".to_string()) };
        self.runtime.block_on(async {
            for id in &ids {
                if !fleet.vms.contains_key(id) {
                    let spec = VmSpec {
                        failure_domain: "marmara-1".to_string(),
                        id: id.clone(),
                        region: "marmara".to_string(),
                    };
                    fleet.add_vm(&spec).map_err(|e| e.to_string())?;
                    fleet.publish_vm_list(|_| true);
                }
                fleet.start_vm(id).map_err(|e| e.to_string())?;
            }
            if !wait {
                return Ok("started".to_string());
            }
            for id in &ids {
                fleet.wait_ready(id, limit).await.map_err(|e| e.to_string())?;
            }
            Ok("ready".to_string())
        })
    }

    /// `sleep`: waits for a fixed time, for scenarios that test what happens as time passes.
    fn sleep(&self, args: &Args<'_>) -> DirectiveResult {
        std::thread::sleep(Duration::from_millis(args.number_or("ms", 0)?));
        Ok("ok".to_string())
    }
}

/// Polls a condition until it is true or the time limit is over; returns whether it became true.
pub fn poll_until(
    limit: Duration,
    mut condition: impl FnMut() -> Result<bool, String>,
) -> Result<bool, String> {
    let deadline = Instant::now() + limit;
    loop {
        if condition()? {
            return Ok(true);
        }
        if Instant::now() >= deadline {
            return Ok(false);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
