//! Published items after the store was restored from an older copy, which gives revisions out again.

#[path = "support/gateway.rs"]
mod gateway_support;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use gateway_support::{published_server, settings};
use hawthornstand::gateway::directory::Directory;
use hawthornstand::gateway::items::{Change, Update, VersionedItems};
use hawthornstand::gateway::listing::{self, Listing, RESTORED_ENTRY_TIMEOUT};
use hawthornstand::gateway::model::PublishedServer;
use hawthornstand::gateway::peer_messages::PeerMessage;
use hawthornstand::gateway::store_version::StoreVersion;
use hawthornstand::ids::{Era, Revision};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

type Values = BTreeMap<String, Bytes>;

/// The store of a fleet, with the state of every version that it ever had.
struct ModelStore {
    era: Era,
    /// Changes of the current era and of the copy that it began with.
    history: Vec<Change>,
    states: BTreeMap<StoreVersion, Values>,
}

impl ModelStore {
    fn new() -> Self {
        let mut store = Self { era: 0, history: Vec::new(), states: BTreeMap::new() };
        store.write(0, Some(0));
        store
    }

    fn revision(&self) -> Revision {
        self.history.last().map_or(1, |change| change.revision)
    }

    fn version(&self) -> StoreVersion {
        StoreVersion { era: self.era, revision: self.revision() }
    }

    /// Writes a value that differs from all others, or removes a key.
    fn write(&mut self, key: u8, value: Option<u8>) {
        let value = value.map(|value| Bytes::from(format!("{}.{value}", self.states.len())));
        let (key, revision) = (key.to_string(), self.revision() + 1);
        self.history.push(Change { after_outage: false, key, revision, value });
        self.record_state();
    }

    fn restore(&mut self, lost: usize) {
        self.era += 1;
        self.history.truncate(self.history.len().saturating_sub(lost).max(1));
        self.record_state();
    }

    fn record_state(&mut self) {
        let mut values = Values::new();
        for change in &self.history {
            match &change.value {
                Some(value) => values.insert(change.key.clone(), value.clone()),
                None => values.remove(&change.key),
            };
        }
        self.states.insert(self.version(), values);
    }

    /// Returns what a VM reads: a watch from its version, or a list if the store does not have that version.
    fn read(&self, known: StoreVersion) -> Update {
        let is_continued = known.era == self.era && known.revision > 0;
        let (after, changes) = if is_continued {
            let newer = self.history.iter().filter(|change| change.revision > known.revision);
            (known.revision, newer.cloned().collect())
        } else {
            let values = &self.states[&self.version()];
            let latest =
                |key: &String| self.history.iter().rev().find(|change| change.key == *key).cloned();
            (0, values.keys().filter_map(latest).collect())
        };
        Update { after, after_outage: false, as_of: self.revision(), changes, era: self.era }
    }
}

fn live(items: &VersionedItems) -> Values {
    let live = items.changes().iter().filter_map(|change| {
        change.value.as_ref().map(|value| (change.key.clone(), value.clone()))
    });
    live.collect()
}

/// Checks that a VM holds the state of the version that it claims, but for changes after it.
fn assert_state(items: &VersionedItems, store: &ModelStore) {
    let version = items.as_of();
    let Some(expected) = store.states.get(&version) else {
        assert_eq!(version.revision, 0, "a version that the store never had");
        return;
    };
    for change in items.changes() {
        if change.revision <= version.revision {
            assert_eq!(change.value.as_ref(), expected.get(&change.key), "{change:?}");
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Write {
        key: u8,
        value: Option<u8>,
    },
    Restore {
        lost: usize,
    },
    Read {
        vm: usize,
    },
    /// A VM asks the store; the answer arrives with [`Step::Deliver`].
    BeginRead {
        vm: usize,
    },
    Link {
        from: usize,
        to: usize,
    },
    /// A VM answers another one; the answer arrives with [`Step::Deliver`].
    BeginLink {
        from: usize,
        to: usize,
    },
    Deliver,
    Restart {
        vm: usize,
    },
}

const VMS: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u8..4, any::<Option<u8>>()).prop_map(|(key, value)| Step::Write { key, value }),
        1 => (0_usize..5).prop_map(|lost| Step::Restore { lost }),
        3 => (0..VMS).prop_map(|vm| Step::Read { vm }),
        1 => (0..VMS).prop_map(|vm| Step::BeginRead { vm }),
        3 => (0..VMS, 0..VMS).prop_map(|(from, to)| Step::Link { from, to }),
        1 => (0..VMS, 0..VMS).prop_map(|(from, to)| Step::BeginLink { from, to }),
        2 => Just(Step::Deliver),
        1 => (0..VMS).prop_map(|vm| Step::Restart { vm }),
    ]
}

proptest! {
    /// Guards against a state of an older era that outlives its replacement, whatever reads, links and restarts cross.
    #[test]
    fn any_interleaving_ends_in_the_state_of_the_last_era(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut store = ModelStore::new();
        let mut vms: Vec<VersionedItems> = (0..VMS).map(|_| VersionedItems::default()).collect();
        let mut in_flight: Vec<(usize, Update)> = Vec::new();
        for step in steps {
            let before: Vec<StoreVersion> = vms.iter().map(VersionedItems::as_of).collect();
            let mut restarted = None;
            match step {
                Step::Write { key, value } => store.write(key, value),
                Step::Restore { lost } => store.restore(lost),
                Step::Read { vm } => {
                    let update = store.read(vms[vm].as_of());
                    vms[vm].apply(&update);
                }
                Step::BeginRead { vm } => in_flight.push((vm, store.read(vms[vm].as_of()))),
                Step::Link { from, to } => {
                    let update = vms[from].changes_since(vms[to].as_of());
                    vms[to].apply(&update);
                }
                Step::BeginLink { from, to } => {
                    in_flight.push((to, vms[from].changes_since(vms[to].as_of())));
                }
                Step::Deliver if in_flight.is_empty() => {}
                Step::Deliver => {
                    let (vm, update) = in_flight.remove(0);
                    vms[vm].apply(&update);
                }
                Step::Restart { vm } => {
                    vms[vm] = VersionedItems::default();
                    in_flight.retain(|(to, _)| *to != vm);
                    restarted = Some(vm);
                }
            }
            for (index, vm) in vms.iter().enumerate() {
                prop_assert!(vm.as_of() >= before[index] || restarted == Some(index));
                assert_state(vm, &store);
            }
        }
        for vm in &mut vms {
            vm.apply(&store.read(vm.as_of()));
            prop_assert_eq!(vm.as_of(), store.version());
            prop_assert_eq!(&live(vm), &store.states[&store.version()]);
        }
    }
}

fn change(key: &str, revision: Revision, value: Option<&'static str>) -> Change {
    let value = value.map(|text| Bytes::from_static(text.as_bytes()));
    Change { after_outage: false, key: key.to_string(), revision, value }
}

fn update(era: Era, after: Revision, as_of: Revision, changes: Vec<Change>) -> Update {
    Update { after, after_outage: false, as_of, changes, era }
}

/// Guards against a state that stays in force until the revisions of the new era pass its own.
#[test]
fn first_list_of_an_era_replaces_a_state_of_higher_revisions() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 0, 900, vec![change("a", 900, Some("old")), change("b", 7, Some("x"))]));
    let applied = items.apply(&update(1, 0, 6, vec![change("a", 5, Some("new"))]));
    assert_eq!(applied.replaced, Some(StoreVersion { era: 0, revision: 900 }));
    assert_eq!(items.as_of(), StoreVersion { era: 1, revision: 6 });
    let expected = Values::from([("a".to_string(), Bytes::from_static(b"new"))]);
    assert_eq!(live(&items), expected);
    assert!(items.last_change("b").is_some_and(|lost| lost.after_outage), "it may come back");
}

#[test]
fn changes_of_an_era_without_its_list_are_ignored() {
    let mut items = VersionedItems::default();
    items.apply(&update(0, 0, 9, vec![change("a", 9, Some("x"))]));
    let applied = items.apply(&update(1, 7, 8, vec![change("a", 8, Some("y"))]));
    assert_eq!((applied.changes.len(), applied.outdated), (0, 1));
    assert_eq!(items.as_of(), StoreVersion { era: 0, revision: 9 });
}

/// Guards against a VM that hands the lost state on as the newer one.
#[test]
fn vm_of_an_older_era_has_nothing_for_one_of_a_newer_era() {
    let mut old = VersionedItems::default();
    old.apply(&update(0, 0, 900, vec![change("a", 900, Some("old"))]));
    let mut new = VersionedItems::default();
    new.apply(&update(1, 0, 6, vec![change("a", 5, Some("new"))]));
    assert!(old.changes_since(new.as_of()).changes.is_empty());
    assert!(new.apply(&old.changes_since(StoreVersion::default())).changes.is_empty());
    let handed_on = new.changes_since(old.as_of());
    assert_eq!((handed_on.after, handed_on.changes.len()), (0, 1));
}

/// What the state of a backend server becomes when its entry is back with the copy, or lacks there.
#[rstest]
#[case::known_and_in_the_copy(Listing::Listed, true, false)]
#[case::left_and_back_with_the_copy(Listing::Leaving, false, false)]
fn server_that_had_left_is_not_used_because_a_copy_lists_it(
    #[case] before: Listing,
    #[case] allows_requests: bool,
    #[case] was_removed: bool,
) {
    let directory = Directory::new(settings());
    directory.put(published_server("i-1"));
    let server = directory.service("portal").servers()[0].clone();
    server.set_listing(before);
    directory.put_restored(published_server("i-1"), was_removed);
    assert_eq!(server.listing().allows_requests(), allows_requests);
}

/// Guards against requests to a server that the fleet had forgotten after it left.
#[test]
fn forgotten_server_is_not_used_because_a_copy_lists_it() {
    let directory = Directory::new(settings());
    directory.put_restored(published_server("i-1"), true);
    let server = directory.service("portal").servers()[0].clone();
    let Listing::Restored { since } = server.listing() else {
        panic!("{:?}", server.listing());
    };
    let drain = Duration::from_secs(4);
    let expire = |now| listing::expire(server.listing(), now, Some(since), drain);
    assert!(!expire(since + RESTORED_ENTRY_TIMEOUT / 2).allows_requests());
    // A gone server's entry would have been removed by now.
    assert_eq!(expire(since + RESTORED_ENTRY_TIMEOUT), Listing::Listed);
    directory.remove(&"i-1".to_string(), true);
    assert_eq!(server.listing(), Listing::Leaving);
}

#[test]
fn server_whose_entry_the_store_lost_stays_in_use_while_it_may_be_written_again() {
    let directory = Directory::new(settings());
    directory.put(published_server("i-1"));
    directory.remove(&"i-1".to_string(), true);
    let server = directory.service("portal").servers()[0].clone();
    assert!(matches!(server.listing(), Listing::Lapsed { .. }), "{:?}", server.listing());
}

/// Guards against calls to an earlier process of a server whose later entry the store has lost.
#[test]
fn entry_of_an_earlier_process_does_not_replace_the_running_one() {
    let directory = Directory::new(settings());
    let address = ([127, 0, 0, 2], 9).into();
    let running = PublishedServer { process_start_unix_ms: 2, address, ..published_server("i-1") };
    directory.put(running);
    directory.put_restored(published_server("i-1"), false);
    let servers = directory.service("portal").servers();
    assert_eq!((servers.len(), servers[0].published.address), (1, address));
    assert!(servers[0].listing().allows_requests());
}

/// A heartbeat is sent every 1.2 s; the store removes an entry after three of silence.
#[test]
fn restored_entry_is_believed_only_after_the_store_would_have_removed_it() {
    assert!(RESTORED_ENTRY_TIMEOUT > Duration::from_millis(3 * 1200));
    let now = Instant::now();
    let restored = Listing::Restored { since: now };
    let later = now + Duration::from_secs(60);
    assert_eq!(listing::expire(restored, later, None, Duration::from_secs(4)), restored);
}

/// Messages as builds without eras write and read them.
#[derive(Debug, PartialEq, serde::Deserialize, serde::Serialize)]
enum OldMessage {
    News { update: OldUpdate },
    Ping { age_ms: Option<u64>, as_of: u64 },
    Pull { after: u64 },
}

#[derive(Debug, PartialEq, serde::Deserialize, serde::Serialize)]
struct OldUpdate {
    after: u64,
    as_of: u64,
    changes: Vec<Change>,
}

fn encode(message: &impl serde::Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("CBOR");
    bytes
}

/// Guards against a rolling replacement during which VMs close the links to each other.
#[test]
fn messages_of_builds_without_eras_are_of_era_0_and_theirs_are_understood() {
    let decode = |message: &OldMessage| -> PeerMessage {
        ciborium::from_reader(encode(message).as_slice()).expect("a message of an old build")
    };
    let update = OldUpdate { after: 0, as_of: 9, changes: vec![change("a", 9, Some("x"))] };
    let PeerMessage::News { retained_config: None, update } = decode(&OldMessage::News { update })
    else {
        panic!("not the changes");
    };
    assert_eq!(update.version(), StoreVersion { era: 0, revision: 9 });
    let ping = decode(&OldMessage::Ping { age_ms: Some(3), as_of: 9 });
    assert_eq!(ping, PeerMessage::Ping { age_ms: Some(3), as_of: 9, config_version: 0, era: 0 });
    let pull = decode(&OldMessage::Pull { after: 9 });
    assert_eq!(pull, PeerMessage::Pull { after: 9, config_version: 0, era: 0 });
    let new = encode(&PeerMessage::Ping { age_ms: None, as_of: 5, config_version: 7, era: 1 });
    let old: OldMessage = ciborium::from_reader(new.as_slice()).expect("a ping");
    assert_eq!(old, OldMessage::Ping { age_ms: None, as_of: 5 });
}
