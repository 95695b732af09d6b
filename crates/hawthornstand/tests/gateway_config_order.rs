//! Which configuration may follow which, by every way by which one arrives.

#[path = "support/gateway.rs"]
mod gateway_support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use gateway_support::{link, linkable_vm, settings};
use hawthornstand::gateway::config_order::{Decision, Origin, decide};
use hawthornstand::gateway::items::{Change, Update};
use hawthornstand::gateway::model::{CallerLimits, Routing};
use hawthornstand::gateway::protocol::{
    ListConsistency, PublishedKey, PublishedStore, PublishedValue, StoreError, StoreList,
};
use hawthornstand::gateway::state::PublishedState;
use hawthornstand::gateway::store_version::StoreVersion;
use hawthornstand::gateway::telemetry::Telemetry;
use hawthornstand::ids::{Era, Revision};
use hawthornstand::process::clock::SystemClock;
use hawthornstand::process::log_limit::LogLosses;
use proptest::prelude::*;
use rstest::rstest;

const CONFIG_KEY: &str = "routes";

#[rstest]
#[case::first_one(None, 4, false, Origin::Store, Decision::Activate)]
#[case::newer(Some(4), 9, false, Origin::Store, Decision::Activate)]
#[case::newer_at_another_vm(Some(4), 9, false, Origin::OtherVm, Decision::Activate)]
#[case::older(Some(7), 4, false, Origin::Store, Decision::KeepNewer)]
#[case::older_at_another_vm(Some(7), 4, false, Origin::OtherVm, Decision::KeepNewer)]
#[case::written_again(Some(7), 7, true, Origin::Store, Decision::Unchanged)]
#[case::written_again_with_other_routes(Some(7), 7, false, Origin::Store, Decision::Activate)]
#[case::other_routes_at_another_vm(Some(7), 7, false, Origin::OtherVm, Decision::Unchanged)]
fn older_configuration_never_follows_a_newer_one(
    #[case] active: Option<u64>,
    #[case] offered: u64,
    #[case] is_same_value: bool,
    #[case] origin: Origin,
    #[case] expected: Decision,
) {
    assert_eq!(decide(active, offered, is_same_value, origin), expected);
}

/// A store whose only key is the configuration; a value is the version, a dot and what distinguishes its content.
struct ConfigOnly;

impl PublishedStore for ConfigOnly {
    fn list(&self, _consistency: ListConsistency) -> BoxFuture<'_, Result<StoreList, StoreError>> {
        Box::pin(std::future::pending())
    }

    fn watch(
        &self,
        _after: Revision,
        _wait: Duration,
    ) -> BoxFuture<'_, Result<StoreList, StoreError>> {
        Box::pin(std::future::pending())
    }

    fn read_key(&self, key: &str) -> PublishedKey {
        if key == CONFIG_KEY { PublishedKey::Routing } else { PublishedKey::Unknown }
    }

    fn read_value(&self, _key: &str, value: &[u8]) -> Result<PublishedValue, String> {
        let text = std::str::from_utf8(value).map_err(|error| error.to_string())?;
        let number = text.split('.').next().unwrap_or_default();
        let version = number.parse().map_err(|_| "not a version".to_string())?;
        let limits = CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        };
        let (routes, services) = (Vec::new(), Vec::new());
        Ok(PublishedValue::Routing(Routing { version, routes, services, limits }))
    }
}

/// The operator's store: configurations by revision.
struct ModelStore {
    era: Era,
    history: Vec<(Revision, u64)>,
    /// Versions that a restore has lost and that were not written again yet, oldest first.
    lost: Vec<u64>,
    next_version: u64,
}

impl ModelStore {
    fn new() -> Self {
        Self { era: 0, history: vec![(1, 1)], lost: Vec::new(), next_version: 2 }
    }

    fn as_of(&self) -> StoreVersion {
        StoreVersion { era: self.era, revision: self.history.last().map_or(0, |last| last.0) }
    }

    fn write(&mut self, version: u64) {
        let revision = self.as_of().revision + 1;
        self.history.push((revision, version));
    }

    fn write_new(&mut self) {
        // Versions increase in uneven steps.
        self.write(self.next_version);
        self.next_version += 3;
        self.lost.clear();
    }

    fn restore(&mut self, lost: usize) {
        let kept = self.history.len().saturating_sub(lost).max(1);
        let lost: Vec<u64> = self.history.drain(kept..).map(|(_, version)| version).collect();
        self.lost.extend(lost);
        self.lost.sort_unstable();
        self.lost.dedup();
        self.era += 1;
    }

    /// Writes again what a restore has lost; `all` writes every version, else only the last one.
    fn write_again(&mut self, all: bool) {
        let lost = std::mem::take(&mut self.lost);
        let first = if all { 0 } else { lost.len().saturating_sub(1) };
        for version in &lost[first..] {
            self.write(*version);
        }
    }

    fn read(&self, known: StoreVersion) -> Update {
        let is_continued = known.era == self.era && known.revision > 0;
        let after = if is_continued { known.revision } else { 0 };
        let newer = self.history.iter().filter(|(revision, _)| *revision > after);
        let change = |(revision, version): &(Revision, u64)| Change {
            after_outage: false,
            key: CONFIG_KEY.to_string(),
            revision: *revision,
            value: Some(Bytes::from(format!("{version}.routes"))),
        };
        let mut changes: Vec<Change> = newer.map(change).collect();
        if !is_continued {
            changes.drain(..changes.len() - 1);
        }
        let as_of = self.as_of().revision;
        Update { after, after_outage: false, as_of, changes, era: self.era }
    }
}

fn start_vm() -> PublishedState {
    let telemetry = Arc::new(Telemetry::new(LogLosses::new(|| 0)));
    PublishedState::new(&settings(), Arc::new(SystemClock), Arc::new(ConfigOnly), telemetry)
}

/// Hands over what one VM lacks, as links do.
fn hand_over(from: &PublishedState, to: &PublishedState) {
    let retained = from.retained_config().filter(|_| to.config_version() < from.config_version());
    if let Some(retained) = retained {
        to.apply_retained_config(&retained, "peer");
    }
    to.apply_update(&from.changes_since(to.as_of()), "peer");
}

#[derive(Clone, Debug)]
enum Step {
    Write,
    WriteAgain { all: bool },
    Restore { lost: usize },
    Read { vm: usize },
    Link { from: usize, to: usize },
    Restart { vm: usize },
}

const VMS: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Write),
        2 => any::<bool>().prop_map(|all| Step::WriteAgain { all }),
        1 => (1_usize..4).prop_map(|lost| Step::Restore { lost }),
        4 => (0..VMS).prop_map(|vm| Step::Read { vm }),
        4 => (0..VMS, 0..VMS).prop_map(|(from, to)| Step::Link { from, to }),
        1 => (0..VMS).prop_map(|vm| Step::Restart { vm }),
    ]
}

/// Guards against a VM that serves the older configuration of a restored store beside VMs that have the lost one.
#[tokio::test(start_paused = true)]
async fn lost_configuration_is_handed_to_a_vm_that_has_the_same_state_of_the_store() {
    let (running, started) =
        (linkable_vm(1, Arc::new(ConfigOnly)), linkable_vm(2, Arc::new(ConfigOnly)));
    let mut store = ModelStore::new();
    store.write_new();
    running.state.apply_update(&store.read(running.state.as_of()), "store");
    store.restore(1);
    for vm in [&running, &started] {
        vm.state.apply_update(&store.read(vm.state.as_of()), "store");
    }
    let versions = || [running.state.config_version(), started.state.config_version()];
    assert_eq!(versions(), [2, 1]);
    let _tasks = link(&running, &started).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(versions(), [2, 2]);
    store.write_new();
    running.state.apply_update(&store.read(running.state.as_of()), "store");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(versions(), [5, 5]);
    assert!(started.state.retained_config().is_none());
}

proptest! {
    /// Guards against a configuration that goes back, whether a list, a watch, a link or another VM brings the older one,
    /// and against VMs that do not agree once they have heard of each other.
    #[test]
    fn configuration_never_goes_back_and_all_vms_end_with_the_same(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut store = ModelStore::new();
        let mut vms: Vec<PublishedState> = (0..VMS).map(|_| start_vm()).collect();
        for step in steps {
            let before: Vec<u64> = vms.iter().map(PublishedState::config_version).collect();
            let mut restarted = None;
            match step {
                Step::Write => store.write_new(),
                Step::WriteAgain { all } => store.write_again(all),
                Step::Restore { lost } => store.restore(lost),
                Step::Read { vm } => vms[vm].apply_update(&store.read(vms[vm].as_of()), "store"),
                Step::Link { from, to } => hand_over(&vms[from], &vms[to]),
                Step::Restart { vm } => {
                    vms[vm] = start_vm();
                    restarted = Some(vm);
                }
            }
            for (index, vm) in vms.iter().enumerate() {
                prop_assert!(vm.config_version() >= before[index] || restarted == Some(index));
            }
        }
        for vm in &vms {
            vm.apply_update(&store.read(vm.as_of()), "store");
        }
        for from in 0..VMS {
            for to in 0..VMS {
                hand_over(&vms[from], &vms[to]);
            }
        }
        for from in 0..VMS {
            for to in 0..VMS {
                hand_over(&vms[from], &vms[to]);
            }
        }
        let versions: Vec<u64> = vms.iter().map(PublishedState::config_version).collect();
        prop_assert!(versions.windows(2).all(|pair| pair[0] == pair[1]), "{versions:?}");
        store.write_new();
        for vm in &vms {
            vm.apply_update(&store.read(vm.as_of()), "store");
            prop_assert_eq!(vm.config_version(), store.next_version - 3);
            prop_assert!(vm.retained_config().is_none());
        }
    }
}
