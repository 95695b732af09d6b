//! Connections to the store and to other VMs on which nothing arrives any more, without a reset.

use std::net::SocketAddr;
use std::time::Duration;

use hawthornstand::backends::http_client;
use hawthornstand::gateway::peer_link;
use tokio::net::{TcpListener, TcpStream};

/// `stableWindowMs` of the smallest deployment: time after which a VM counts as in touch again.
const STABLE_WINDOW: Duration = Duration::from_secs(5);
/// Time for opening another connection and reading what was missed.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);
/// State of a socket in `/proc/net/tcp` whose keepalive timer runs.
const KEEPALIVE_TIMER: &str = "02";
/// Unit of the timers in `/proc/net/tcp`.
const TICK: Duration = Duration::from_millis(10);

/// Returns an address as `/proc/net/tcp` writes it.
fn table_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("an IPv4 address") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port())
}

/// Returns the timer of a connection: its kind, and the time until it fires.
fn timer(local: SocketAddr, remote: SocketAddr) -> (String, Duration) {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    // Connections that have ended may have the same local port.
    let ends = [table_address(local), table_address(remote)];
    let line = table
        .lines()
        .skip(1)
        .find(|line| line.split_whitespace().skip(1).take(2).eq(ends.iter().map(String::as_str)));
    let field = line.and_then(|line| line.split_whitespace().nth(5)).expect("the connection");
    let (kind, ticks) = field.split_once(':').expect("kind and time of the timer");
    let ticks = u32::from_str_radix(ticks, 16).expect("a hexadecimal number");
    (kind.to_string(), TICK * ticks)
}

/// Accepts a connection and checks that its other end soon probes a peer that stays silent.
async fn assert_probed(listener: TcpListener) -> TcpStream {
    let (stream, client) = listener.accept().await.expect("a connection");
    // The request has been acknowledged.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let (kind, first_probe) = timer(client, listener.local_addr().expect("an address"));
    assert_eq!(kind, KEEPALIVE_TIMER, "no probes");
    assert!(first_probe < STABLE_WINDOW - CATCH_UP_TIME, "first probe after {first_probe:?}");
    stream
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Guards against a watch that waits for its whole time on a connection that went silent.
#[tokio::test]
async fn watch_of_the_store_is_probed() {
    let (listener, address) = listen().await;
    let watch = tokio::spawn(async move {
        http_client::get(&address.to_string(), "/watch", Duration::from_secs(30)).await
    });
    let _stream = assert_probed(listener).await;
    watch.abort();
}

/// Guards against links that carry no news after they went silent.
#[tokio::test]
async fn link_is_probed() {
    let (listener, address) = listen().await;
    let link = tokio::spawn(async move {
        let opened = peer_link::open(address, "/").await;
        opened.is_ok()
    });
    let _stream = assert_probed(listener).await;
    link.abort();
}
