//! A small fleet for tests and experiments: stand-ins run in this process, each daemon in a process of its own.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use crate::http;
use crate::leaf::{Leaf, LeafOptions};
use crate::leaf_model::{Behaviour, SliceRange};
use crate::link_proxy::{BlockedDirections, LinkProxy};
use crate::platform::{ListedVm, Platform, Replica};
use crate::serve::{AcceptOptions, Latencies};

/// Signal that suspends a process.
pub const SIGSTOP: &str = "STOP";
/// Signal that resumes a suspended process.
pub const SIGCONT: &str = "CONT";
/// Signal that starts a graceful shutdown.
pub const SIGTERM: &str = "TERM";

/// Number of the next fleet of this process; each fleet has its own loopback network.
static NEXT_FLEET_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Description of one backend server.
#[derive(Clone, Debug)]
pub struct LeafSpec {
    pub connect_cost: Duration,
    pub connection_limit: usize,
    pub failure_domain: String,
    pub id: String,
    pub labels: Vec<(String, String)>,
    pub region: String,
    pub service_time: Duration,
    pub slices: (u64, u64),
    pub slots: usize,
}

/// Description of one service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    pub name: String,
    pub priority: String,
    pub selector: Vec<(String, String)>,
    pub slices: (u64, u64),
}

/// Description of one entry VM.
#[derive(Clone, Debug)]
pub struct VmSpec {
    pub failure_domain: String,
    pub id: String,
    pub region: String,
}

/// One-way latencies between VMs and backend servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    pub between_regions: Duration,
    pub within_region: Duration,
}

/// Description of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    pub block_shards: u64,
    pub daemon: PathBuf,
    pub latency: Latency,
    pub leafs: Vec<LeafSpec>,
    /// Whether links between VMs run through proxies that can block them.
    pub use_link_proxies: bool,
    pub planned_vms: u64,
    pub replaced_at_once: u64,
    pub services: Vec<ServiceSpec>,
    /// YAML added to the settings of every VM.
    pub settings: String,
    pub vms: Vec<VmSpec>,
}

/// An entry VM of the fleet.
pub struct Vm {
    pub admin_address: String,
    pub caller_address: String,
    pub peer_address: String,
    child: Option<Child>,
    ip: String,
    settings: PathBuf,
}

/// A running fleet.
pub struct Fleet {
    pub leafs: BTreeMap<String, Leaf>,
    pub platform: Platform,
    pub replicas: BTreeMap<String, Replica>,
    pub spec: FleetSpec,
    pub vms: BTreeMap<String, Vm>,
    folder: PathBuf,
    /// Latencies of connections to backend servers, by the region of the servers.
    latencies: BTreeMap<String, Latencies>,
    link_proxies: BTreeMap<String, LinkProxy>,
    /// First three octets of the loopback addresses.
    network: String,
}

impl FleetSpec {
    /// Describes VMs in one failure domain and one service `roster` with shards of equal size.
    pub fn with_equal_shards(
        daemon: &Path,
        vms: usize,
        shards: u64,
        replicas: usize,
        slices_per_shard: u64,
    ) -> Self {
        let mut leafs = Vec::new();
        for shard in 0..shards {
            for replica in 0..replicas {
                leafs.push(LeafSpec {
                    connect_cost: Duration::ZERO,
                    connection_limit: 25,
                    failure_domain: "marmara-1".to_string(),
                    id: format!("leaf-{shard:02}-{}", (b'a' + replica as u8) as char),
                    labels: vec![("pool".to_string(), "desk".to_string())],
                    region: "marmara".to_string(),
                    service_time: Duration::from_millis(1),
                    slices: (shard * slices_per_shard, (shard + 1) * slices_per_shard),
                    slots: 4,
                });
            }
        }
        let services = vec![ServiceSpec {
            name: "roster".to_string(),
            priority: "interactive".to_string(),
            selector: vec![("pool".to_string(), "desk".to_string())],
            slices: (0, shards * slices_per_shard),
        }];
        let vms = (1..=vms).map(|number| VmSpec {
            failure_domain: "marmara-1".to_string(),
            id: format!("entry-{number}"),
            region: "marmara".to_string(),
        });
        Self {
            block_shards: 150,
            daemon: daemon.to_path_buf(),
            latency: Latency::default(),
            leafs,
            use_link_proxies: false,
            planned_vms: 9,
            replaced_at_once: 3,
            services,
            settings: String::new(),
            vms: vms.collect(),
        }
    }
}

impl Fleet {
    /// Starts the stand-ins and publishes the configuration and the VM list; `start_vms` starts the VMs.
    pub async fn start(spec: FleetSpec) -> io::Result<Self> {
        let number = NEXT_FLEET_NUMBER.fetch_add(1, Ordering::SeqCst);
        // Test processes that run at the same time use different loopback networks.
        let process = u64::from(std::process::id());
        let network = format!("127.{}.{}", 64 + process % 190, (process / 190 * 41 + number) % 250);
        let folder =
            std::env::temp_dir().join(format!("hawthornstand-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            leafs: BTreeMap::new(),
            platform: Platform::default(),
            replicas: BTreeMap::new(),
            vms: BTreeMap::new(),
            folder,
            latencies: BTreeMap::new(),
            link_proxies: BTreeMap::new(),
            network,
            spec,
        };
        fleet.start_leafs()?;
        fleet.publish_fleet().map_err(io::Error::other)?;
        fleet.publish_services().map_err(io::Error::other)?;
        fleet.publish_leafs(|_| None).map_err(io::Error::other)?;
        for spec in fleet.spec.vms.clone() {
            fleet.add_vm(&spec)?;
        }
        fleet.publish_vm_list(|_| true);
        Ok(fleet)
    }

    /// Starts every VM and waits until all are ready, each for at most 20 s.
    pub async fn start_vms(&mut self) -> io::Result<()> {
        let ids: Vec<String> = self.vms.keys().cloned().collect();
        for id in &ids {
            self.start_vm(id)?;
        }
        for id in &ids {
            self.wait_ready(id, Duration::from_secs(20)).await?;
        }
        Ok(())
    }

    /// Starts one VM; kills it first if it is running.
    pub fn start_vm(&mut self, id: &str) -> io::Result<()> {
        self.kill_vm(id)?;
        let daemon = self.spec.daemon.clone();
        let vm = self.vm_mut(id)?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(vm.settings.with_extension("log"))?;
        let level = std::env::var("FLEET_LOG").unwrap_or_else(|_| "info".to_string());
        let child = Command::new(daemon)
            .arg("--settings")
            .arg(&vm.settings)
            .env("RUST_LOG", level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        vm.child = Some(child);
        Ok(())
    }

    /// Waits until a VM is ready; returns an error when the time limit is over.
    pub async fn wait_ready(&self, id: &str, limit: Duration) -> io::Result<()> {
        let deadline = Instant::now() + limit;
        let address = &self.vm(id)?.caller_address;
        while Instant::now() < deadline {
            if http::get(address, "/ready").await.is_ok_and(|reply| reply.status == 200) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("{id} did not become ready")))
    }

    /// Kills the process of a VM without a shutdown.
    pub fn kill_vm(&mut self, id: &str) -> io::Result<()> {
        if let Some(mut child) = self.vm_mut(id)?.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Sends a signal to the process of a VM, if it is running; waits until SIGSTOP has taken effect.
    pub fn signal(&self, id: &str, signal: &str) -> io::Result<()> {
        let Some(child) = &self.vm(id)?.child else { return Ok(()) };
        Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status()?;
        if signal == SIGSTOP {
            wait_stopped(child.id());
        }
        Ok(())
    }

    /// Waits until the process of a VM has ended and returns its exit code.
    ///
    /// Returns 0 if the VM is not running, -1 if a signal ended it, and an error when the time limit is over.
    pub async fn wait_exit(&mut self, id: &str, limit: Duration) -> io::Result<i32> {
        let deadline = Instant::now() + limit;
        let vm = self.vm_mut(id)?;
        let Some(child) = &mut vm.child else { return Ok(0) };
        while Instant::now() < deadline {
            if let Some(status) = child.try_wait()? {
                vm.child = None;
                return Ok(status.code().unwrap_or(-1));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("{id} is still running")))
    }

    /// Returns the process ID of a VM, if it is running.
    pub fn pid(&self, id: &str) -> Option<u32> {
        self.vms.get(id)?.child.as_ref().map(Child::id)
    }

    /// Returns a VM.
    pub fn vm(&self, id: &str) -> io::Result<&Vm> {
        self.vms
            .get(id)
            .ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, format!("unknown VM {id}")))
    }

    /// Blocks or unblocks the link between two VMs, in both directions or only from the first to the second.
    pub fn set_partition(
        &self,
        from: &str,
        to: &str,
        blocked: bool,
        both_ways: bool,
    ) -> io::Result<()> {
        let (from_ip, to_ip) = (self.ip(from)?, self.ip(to)?);
        let set = |vm: &str, client: IpAddr, directions: BlockedDirections| {
            if let Some(proxy) = self.link_proxies.get(vm) {
                proxy.set_blocked(client, directions);
            }
        };
        set(
            to,
            from_ip,
            BlockedDirections { from_client: blocked, to_client: blocked && both_ways },
        );
        set(
            from,
            to_ip,
            BlockedDirections { from_client: blocked && both_ways, to_client: blocked },
        );
        Ok(())
    }

    /// Publishes the list of the VMs that pass a filter, all with the state `live`.
    pub fn publish_vm_list(&self, filter: impl Fn(&str) -> bool) {
        let mut list = Vec::new();
        for spec in self.spec.vms.iter().filter(|spec| filter(&spec.id)) {
            let Some(vm) = self.vms.get(&spec.id) else { continue };
            let address = self
                .link_proxies
                .get(&spec.id)
                .map_or(vm.peer_address.clone(), |proxy| proxy.address.clone());
            list.push(ListedVm {
                address,
                failure_domain: spec.failure_domain.clone(),
                id: spec.id.clone(),
                kind: "entry".to_string(),
                region: spec.region.clone(),
                state: "live".to_string(),
            });
        }
        self.platform.set_vm_list(list);
    }

    /// Publishes every backend server, with a phase label where the function returns one.
    pub fn publish_leafs(
        &self,
        phase: impl Fn(&str) -> Option<&'static str>,
    ) -> Result<u64, String> {
        let mut text = String::from("backend_servers:\n");
        for spec in &self.spec.leafs {
            let Some(leaf) = self.leafs.get(&spec.id) else { continue };
            let mut labels: Vec<String> =
                spec.labels.iter().map(|(name, value)| format!("{name}: \"{value}\"")).collect();
            labels.extend(phase(&spec.id).map(|phase| format!("phase: {phase}")));
            let _ = write!(
                text,
                "- id: {}\n  address: {}\n  region: {}\n  failure_domain: {}\n  labels: {{{}}}\n  slots: {}\n  \
                 connection_limit: {}\n  slice_start: {}\n  slice_end: {}\n",
                spec.id,
                leaf.address,
                spec.region,
                spec.failure_domain,
                labels.join(", "),
                spec.slots,
                spec.connection_limit,
                spec.slices.0,
                spec.slices.1
            );
        }
        self.platform.publish("backend-servers/all", Some(text))
    }

    /// Publishes the services.
    pub fn publish_services(&self) -> Result<u64, String> {
        let mut text = String::from("services:\n");
        for spec in &self.spec.services {
            let selector: Vec<String> = spec
                .selector
                .iter()
                .map(|(label, value)| format!("{label}: \"{value}\""))
                .collect();
            let _ = write!(
                text,
                "- name: {}\n  priority: {}\n  selector: {{{}}}\n  slice_start: {}\n  slice_end: {}\n",
                spec.name,
                spec.priority,
                selector.join(", "),
                spec.slices.0,
                spec.slices.1
            );
        }
        self.platform.publish("services/all", Some(text))
    }

    /// Publishes the limits of the fleet.
    pub fn publish_fleet(&self) -> Result<u64, String> {
        let FleetSpec { planned_vms, replaced_at_once, block_shards, .. } = &self.spec;
        let text = format!(
            "name: test\nplanned_vms: {planned_vms}\nreplaced_at_once: {replaced_at_once}\nblock_shards: {block_shards}\n"
        );
        self.platform.publish("fleet", Some(text))
    }

    /// Adds a VM with its platform replica and, with `use_link_proxies`, its proxy.
    pub fn add_vm(&mut self, spec: &VmSpec) -> io::Result<()> {
        let number = self.vms.len() + 1;
        let ip = format!("{}.{number}", self.network);
        let replica = self.platform.start_replica(&format!("{ip}:7090"))?;
        let vm = Vm {
            admin_address: format!("{ip}:7002"),
            caller_address: format!("{ip}:7000"),
            peer_address: format!("{ip}:7001"),
            child: None,
            settings: self.folder.join(format!("{}.yaml", spec.id)),
            ip,
        };
        let text = format!(
            "vm_id: {}\nfleet: test\nregion: {}\nfailure_domain: {}\ncaller_address: {}\npeer_address: {}\n\
             admin_address: {}\nplatform:\n  addresses: [\"{}\"]\n{}",
            spec.id,
            spec.region,
            spec.failure_domain,
            vm.caller_address,
            vm.peer_address,
            vm.admin_address,
            replica.address,
            self.spec.settings
        );
        std::fs::write(&vm.settings, text)?;
        let source: IpAddr = vm.ip.parse().map_err(io::Error::other)?;
        for (region, latencies) in &self.latencies {
            let Latency { between_regions, within_region } = self.spec.latency;
            let latency = if *region == spec.region { within_region } else { between_regions };
            latencies.write().unwrap_or_else(PoisonError::into_inner).insert(source, latency);
        }
        if self.spec.use_link_proxies {
            let proxy = LinkProxy::start(&format!("{}:7003", vm.ip), &vm.peer_address)?;
            self.link_proxies.insert(spec.id.clone(), proxy);
        }
        self.replicas.insert(spec.id.clone(), replica);
        self.vms.insert(spec.id.clone(), vm);
        if !self.spec.vms.iter().any(|known| known.id == spec.id) {
            self.spec.vms.push(spec.clone());
        }
        Ok(())
    }

    /// Returns the log of a VM; empty if it cannot be read.
    pub fn log(&self, id: &str) -> String {
        let path = self.folder.join(format!("{id}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the IP address of a VM.
    fn ip(&self, id: &str) -> io::Result<IpAddr> {
        self.vm(id)?.ip.parse().map_err(io::Error::other)
    }

    /// Returns a VM by mutable reference.
    fn vm_mut(&mut self, id: &str) -> io::Result<&mut Vm> {
        self.vms
            .get_mut(id)
            .ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, format!("unknown VM {id}")))
    }

    /// Starts the stand-in backend servers.
    fn start_leafs(&mut self) -> io::Result<()> {
        for (number, spec) in self.spec.leafs.clone().into_iter().enumerate() {
            let options = LeafOptions {
                accept: AcceptOptions {
                    connect_cost: spec.connect_cost,
                    limit: Some(spec.connection_limit),
                    latencies: Arc::clone(self.latencies.entry(spec.region.clone()).or_default()),
                },
                address: format!("{}.200:{}", self.network, 10_000 + number),
                behaviour: Behaviour {
                    service_time: spec.service_time,
                    slices: vec![SliceRange { start: spec.slices.0, end: spec.slices.1 }],
                    ..Behaviour::default()
                },
                slots: spec.slots,
            };
            self.leafs.insert(spec.id, Leaf::start(options)?);
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in self.vms.values_mut() {
            if let Some(mut child) = vm.child.take() {
                let _ = (child.kill(), child.wait());
            }
        }
        if std::env::var_os("FLEET_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits until every thread of a process is stopped, for at most about 1 s.
///
/// `kill` returns before the signal has taken effect.
fn wait_stopped(pid: u32) {
    let is_stopped =
        |stat: String| stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'));
    for _ in 0..1000 {
        let Ok(tasks) = std::fs::read_dir(format!("/proc/{pid}/task")) else { return };
        let stats = tasks
            .flatten()
            .filter_map(|task| std::fs::read_to_string(task.path().join("stat")).ok());
        if stats.into_iter().all(is_stopped) {
            return;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}
