//! A TCP proxy in front of a VM that can block single clients, in one direction or both.

use std::collections::BTreeMap;
use std::io;
use std::net::IpAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::serve::bind;

/// Directions that are blocked for a client; blocked bytes are held back and delivered once unblocked.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BlockedDirections {
    pub from_client: bool,
    pub to_client: bool,
}

/// Blocked directions by the IP address of the client.
type BlockedByClient = BTreeMap<IpAddr, BlockedDirections>;

/// A running proxy; dropping it stops accepting connections and closes the open ones.
pub struct LinkProxy {
    pub address: String,
    blocked: Arc<watch::Sender<BlockedByClient>>,
    task: tokio::task::JoinHandle<()>,
}

impl LinkProxy {
    /// Starts a proxy that forwards from an address to a target.
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: &str, target: &str) -> io::Result<Self> {
        let listener = bind(address)?;
        let address = listener.local_addr()?.to_string();
        let blocked = Arc::new(watch::Sender::new(BlockedByClient::new()));
        let (target, blocked_sender) = (target.to_string(), Arc::clone(&blocked));
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                let (client, from) = tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok(accepted) => accepted,
                        Err(_) => continue,
                    },
                    Some(_) = connections.join_next() => continue,
                };
                connections.spawn(forward_connection(
                    client,
                    from.ip(),
                    target.clone(),
                    blocked_sender.subscribe(),
                ));
            }
        });
        Ok(Self { address, blocked, task })
    }

    /// Sets which directions are blocked for a client.
    pub fn set_blocked(&self, client: IpAddr, directions: BlockedDirections) {
        self.blocked.send_modify(|blocked| {
            blocked.insert(client, directions);
        });
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Forwards one connection until either side closes it.
async fn forward_connection(
    client: TcpStream,
    from: IpAddr,
    target: String,
    blocked: watch::Receiver<BlockedByClient>,
) {
    let Ok(server) = TcpStream::connect(&target).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let from_client_blocked = move |blocked: &BlockedByClient| {
        blocked.get(&from).is_some_and(|directions| directions.from_client)
    };
    let to_client_blocked = move |blocked: &BlockedByClient| {
        blocked.get(&from).is_some_and(|directions| directions.to_client)
    };
    tokio::select! {
        () = copy(client_read, server_write, blocked.clone(), from_client_blocked) => {}
        () = copy(server_read, client_write, blocked, to_client_blocked) => {}
    }
}

/// Copies one direction; bytes that were read while it is blocked wait until it is unblocked.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut blocked: watch::Receiver<BlockedByClient>,
    is_blocked: impl Fn(&BlockedByClient) -> bool + Copy,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(read) = from.read(&mut buffer).await else { return };
        if read == 0 || blocked.wait_for(|blocked| !is_blocked(blocked)).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
