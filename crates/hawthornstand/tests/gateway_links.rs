//! Links between two VMs over a pipe, with paused time.

#[path = "support/gateway.rs"]
mod gateway_support;

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gateway_support::settings;
use hawthornstand::gateway::crash_tracker::CrashTracker;
use hawthornstand::gateway::items::{Change, Update};
use hawthornstand::gateway::peer_link;
use hawthornstand::gateway::peers::Peers;
use hawthornstand::gateway::protocol::{
    PublishedKey, PublishedStore, PublishedValue, StoreError, StoreList,
};
use hawthornstand::gateway::settings::GatewaySettings;
use hawthornstand::gateway::state::State;
use hawthornstand::gateway::telemetry::Telemetry;
use hawthornstand::ids::Revision;
use hawthornstand::process::log_limit::LogLosses;
use rstest::rstest;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::Role;

/// A store that is out of reach.
struct NoStore;

impl PublishedStore for NoStore {
    fn list(&self) -> Pin<Box<dyn Future<Output = Result<StoreList, StoreError>> + Send + '_>> {
        Box::pin(std::future::pending())
    }

    fn watch(
        &self,
        _after: Revision,
        _wait: Duration,
    ) -> Pin<Box<dyn Future<Output = Result<StoreList, StoreError>> + Send + '_>> {
        Box::pin(std::future::pending())
    }

    fn read_key(&self, _key: &str) -> PublishedKey {
        PublishedKey::Unknown
    }

    fn read_value(&self, _key: &str, _value: &[u8]) -> Result<PublishedValue, String> {
        Err("no values here".to_string())
    }
}

/// Creates a VM with the last part of its IP number.
fn vm(number: u8) -> Arc<Peers> {
    let address = ([127, 0, 0, number], 7102).into();
    let settings = GatewaySettings {
        peer_address: Some(address),
        vm_id: format!("front-{number}"),
        ..settings()
    };
    let telemetry = Arc::new(Telemetry::new(LogLosses::new(|| 0)));
    let bytes = telemetry.link_bytes.clone();
    let state = Arc::new(State::new(&settings, Arc::new(NoStore), telemetry));
    Arc::new(Peers::new(address, &settings, Arc::new(CrashTracker::default()), state, bytes))
}

/// Links two VMs; the tasks end with the link.
async fn link(first: &Arc<Peers>, second: &Arc<Peers>) -> [JoinHandle<String>; 2] {
    let (one_end, other_end) = tokio::io::duplex(64 * 1024);
    let client = WebSocketStream::from_raw_socket(one_end, Role::Client, None).await;
    let server = WebSocketStream::from_raw_socket(other_end, Role::Server, None).await;
    let (first, second) = (Arc::clone(first), Arc::clone(second));
    [
        tokio::spawn(async move { peer_link::talk(&first, client).await }),
        tokio::spawn(async move { peer_link::talk(&second, server).await }),
    ]
}

fn change(revision: Revision) -> Update {
    let value = Some(Bytes::from_static(b"value"));
    let change = Change { after_outage: false, key: format!("key-{revision}"), revision, value };
    Update { after: 0, after_outage: false, as_of: revision, changes: vec![change] }
}

#[tokio::test(start_paused = true)]
async fn link_without_news_stays_open() {
    let (first, second) = (vm(1), vm(2));
    let ends = link(&first, &second).await;
    for second in 0..120 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(ends.iter().all(|end| !end.is_finished()), "lost after {second} s");
    }
}

/// A fleet starts, and each VM knows the same three seeds: its links move on once it has heard of the others.
#[rstest]
#[case::start_of_a_large_fleet(3, 69, true)]
#[case::start_of_a_small_fleet(3, 8, true)]
#[case::some_are_known(30, 69, true)]
#[case::most_are_known(50, 69, false)]
#[case::fleet_of_four(1, 3, false)]
#[case::nobody_else_came(3, 3, false)]
fn links_to_seeds_are_given_up(
    #[case] known_at_open: usize,
    #[case] known: usize,
    #[case] expected: bool,
) {
    assert_eq!(peer_link::is_outgrown(known_at_open, known), expected);
}

/// A VM loses the store, and then others read for it: lapsed entries are not kept for good.
#[tokio::test(start_paused = true)]
async fn store_that_answers_others_is_back() {
    let vm = vm(1);
    let second = Duration::from_secs(1);
    tokio::time::sleep(second).await;
    vm.state.confirm(Duration::ZERO);
    vm.state.set_store_away(true);
    vm.state.confirm(second / 2);
    assert_eq!(vm.state.store_back_since(), None, "confirmed before it was lost");
    tokio::time::sleep(second).await;
    vm.state.confirm(Duration::ZERO);
    let back = Instant::now();
    assert_eq!(vm.state.store_back_since(), Some(back));
    tokio::time::sleep(second).await;
    vm.state.confirm(Duration::ZERO);
    assert_eq!(vm.state.store_back_since(), Some(back));
}

/// The store is away for everyone: entries that lapse have their time from its return on.
#[tokio::test(start_paused = true)]
async fn outage_for_all_counts_from_its_end() {
    let vm = vm(1);
    let second = Duration::from_secs(1);
    vm.state.set_store_away(true);
    tokio::time::sleep(second).await;
    vm.state.confirm(Duration::ZERO);
    // Nobody hears of the store for longer than readers are relied on.
    tokio::time::sleep(second * 6).await;
    vm.state.confirm(Duration::ZERO);
    assert_eq!(vm.state.store_back_since(), Some(Instant::now()));
}

/// Every VM is started again while the store is away; the first one that reaches it tells the others.
#[tokio::test(start_paused = true)]
async fn vm_that_knows_nothing_is_told_at_once() {
    let (first, second) = (vm(1), vm(2));
    let _ends = link(&first, &second).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    first.state.take_over(&change(7), "store");
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(second.state.as_of(), 7);
}

#[tokio::test(start_paused = true)]
async fn news_is_fetched_and_confirmed() {
    let (first, second) = (vm(1), vm(2));
    let _ends = link(&first, &second).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    first.state.take_over(&change(7), "store");
    first.state.confirm(Duration::ZERO);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(second.state.as_of(), 7);
    // The next ping says how fresh that is.
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(second.state.age_of_knowledge().is_some());
}
