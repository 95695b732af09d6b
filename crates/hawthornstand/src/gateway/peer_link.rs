//! Links between VMs: news of the published state, and who else is there.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::derives::value_types;
use crate::gateway::culprits::{Crashes, Culprits};
use crate::gateway::items::Update;
use crate::gateway::readers;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::state::State;
use crate::gateway::store_watch::ReadDuty;
use crate::ids::Revision;
use crate::locks::lock;

/// Links that each VM opens.
const LINKS: usize = 3;
/// Time allowed for opening a link.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two messages on a link that has no news.
const IDLE_PING: Duration = Duration::from_secs(2);
/// Time for which news waits for the other VM to get it from the store itself.
const NEWS_DELAY: Duration = Duration::from_millis(300);
/// Time over which newly known VMs are gathered into one message.
const KNOWN_DELAY: Duration = Duration::from_secs(1);
/// Silence after which a link counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// Time between two attempts to open a link.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

value_types! {
    /// Message on a link.
    #[derive(Serialize, Deserialize)]
    pub enum PeerMessage {
        /// Backend servers were lost while they ran a request.
        Crashed { crashes: Crashes },
        /// First message in both directions.
        Hello { address: SocketAddr, as_of: Revision, known: Vec<SocketAddr> },
        /// VMs that the receiver may not know.
        Known { known: Vec<SocketAddr> },
        News { update: Update },
        /// What the sender knows, how long ago the store confirmed it, and whether it reads the store.
        Ping { age_ms: Option<u64>, as_of: Revision, reads: bool },
    }
}

/// VMs that were heard of.
pub struct Peers {
    culprits: Arc<Culprits>,
    known: watch::Sender<Vec<SocketAddr>>,
    linked: Mutex<Vec<SocketAddr>>,
    own: SocketAddr,
    state: Arc<State>,
}

impl Peers {
    /// Creates the list of VMs with those that the settings name.
    pub fn new(
        own: SocketAddr,
        seeds: &[SocketAddr],
        culprits: Arc<Culprits>,
        state: Arc<State>,
    ) -> Self {
        let known = watch::Sender::new(Vec::new());
        let peers = Self { culprits, known, linked: Mutex::default(), own, state };
        peers.learn(seeds);
        peers
    }

    /// Adds VMs.
    fn learn(&self, addresses: &[SocketAddr]) {
        self.known.send_if_modified(|known| {
            let before = known.len();
            for address in addresses {
                if *address == self.own {
                    continue;
                }
                if let Err(index) = known.binary_search(address) {
                    known.insert(index, *address);
                }
            }
            known.len() > before
        });
    }

    /// Takes over what the first message on a link says of the fleet.
    fn greet(&self, address: SocketAddr, known: &[SocketAddr]) {
        self.learn(&[address]);
        self.learn(known);
        let fleet = self.known.borrow().len() + 1;
        if fleet != self.state.directory.fleet() {
            self.state.directory.set_fleet(fleet);
        }
    }

    /// Returns a VM to open a link to.
    fn next(&self) -> Option<SocketAddr> {
        let mut linked = lock(&self.linked);
        let known = self.known.borrow();
        let free: Vec<SocketAddr> =
            known.iter().filter(|address| !linked.contains(address)).copied().collect();
        if free.is_empty() {
            return None;
        }
        let address = free[rand::random_range(0..free.len())];
        linked.push(address);
        Some(address)
    }

    /// Notes that a link has ended.
    fn unlink(&self, address: SocketAddr) {
        lock(&self.linked).retain(|linked| *linked != address);
    }
}

impl ReadDuty for Peers {
    fn reads(&self) -> bool {
        readers::reads(self.own, &self.known.borrow(), self.state.age_of_knowledge())
    }

    fn watch_wait(&self) -> Duration {
        readers::watch_wait(self.known.borrow().len() + 1)
    }
}

impl Peers {
    /// Returns what this VM knows and how fresh it is.
    fn ping(&self) -> PeerMessage {
        PeerMessage::Ping {
            age_ms: self.state.age_of_knowledge().map(|age| age.as_millis() as u64),
            as_of: self.state.as_of(),
            reads: self.reads(),
        }
    }
}

/// Accepts links from other VMs.
pub async fn serve(peers: Arc<Peers>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("link not accepted: {error}; check the limit on open files");
                tokio::time::sleep(REOPEN_PAUSE).await;
                continue;
            }
        };
        let peers = Arc::clone(&peers);
        tokio::spawn(async move {
            match tokio::time::timeout(OPEN_TIMEOUT, tokio_tungstenite::accept_async(stream)).await
            {
                Ok(Ok(socket)) => drop(talk(&peers, socket).await),
                Ok(Err(error)) => log::debug!("link refused: {error}"),
                Err(_) => log::debug!("link not opened in time"),
            }
        });
    }
}

/// Keeps a few links to other VMs open, also to those that changed settings name.
pub async fn run(peers: Arc<Peers>, mut settings: watch::Receiver<GatewaySettings>) {
    for _ in 0..LINKS {
        tokio::spawn(keep_link(Arc::clone(&peers)));
    }
    while settings.changed().await.is_ok() {
        peers.learn(&settings.borrow_and_update().seeds);
    }
}

/// Keeps one link open, to one VM after the other.
async fn keep_link(peers: Arc<Peers>) {
    loop {
        if let Some(address) = peers.next() {
            match tokio::time::timeout(OPEN_TIMEOUT, open(address)).await {
                Ok(Ok(socket)) => {
                    log::info!(peer = address.to_string(); "link open");
                    let reason = talk(&peers, socket).await;
                    log::info!(peer = address.to_string(); "link lost: {reason}");
                }
                Ok(Err(error)) => log::debug!(peer = address.to_string(); "no link: {error}"),
                Err(_) => log::debug!(peer = address.to_string(); "no link in time"),
            }
            peers.unlink(address);
        }
        tokio::time::sleep(REOPEN_PAUSE.mul_f64(rand::random_range(0.8..1.6))).await;
    }
}

/// Opens a link.
async fn open(
    address: SocketAddr,
) -> Result<WebSocketStream<TcpStream>, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (socket, _) = tokio_tungstenite::client_async(format!("ws://{address}/"), stream).await?;
    Ok(socket)
}

/// Exchanges news on a link until it ends; returns why it ended.
async fn talk<S>(peers: &Peers, mut socket: WebSocketStream<S>) -> String
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut news = peers.state.news();
    let mut known = peers.known.subscribe();
    let mut crashed = peers.culprits.news();
    let hello = PeerMessage::Hello {
        address: peers.own,
        as_of: peers.state.as_of(),
        known: known.borrow_and_update().clone(),
    };
    if let Err(error) = send(&mut socket, &hello).await {
        return error;
    }
    for crashes in peers.culprits.known() {
        if let Err(error) = send(&mut socket, &PeerMessage::Crashed { crashes }).await {
            return error;
        }
    }
    // The revision that the other side is known to have; none before its first message.
    let mut theirs: Option<Revision> = None;
    let mut last_heard = Instant::now();
    let mut known_due: Option<Instant> = None;
    let mut news_due: Option<Instant> = None;
    let mut they_read = true;
    let mut told = 0;
    loop {
        let ours = peers.state.as_of();
        let lag = theirs.filter(|revision| *revision < ours);
        match lag {
            None => news_due = None,
            Some(revision) if news_due.is_some_and(|due| due <= Instant::now()) => {
                let update = peers.state.since(revision);
                theirs = Some(ours);
                news_due = None;
                if let Err(error) = send(&mut socket, &PeerMessage::News { update }).await {
                    return error;
                }
            }
            Some(_) => {
                let delay = if they_read { NEWS_DELAY } else { Duration::ZERO };
                news_due.get_or_insert(Instant::now() + delay);
            }
        }
        if ours > told {
            told = ours;
            if let Err(error) = send(&mut socket, &peers.ping()).await {
                return error;
            }
        }
        if known_due.is_some_and(|due| due <= Instant::now()) {
            known_due = None;
            let message = PeerMessage::Known { known: known.borrow().clone() };
            if let Err(error) = send(&mut socket, &message).await {
                return error;
            }
        }
        let due = [news_due, known_due].into_iter().flatten().min();
        let wake = due.unwrap_or_else(|| Instant::now() + IDLE_PING);
        let message = tokio::select! {
            message = tokio::time::timeout_at(last_heard + SILENCE_LIMIT, socket.next()) => message,
            _ = news.changed() => continue,
            crashes = crashed.recv() => {
                let crashes = match crashes {
                    Ok(crashes) => crashes,
                    Err(error) => {
                        log::warn!("crashes not told to a VM: {error}");
                        continue;
                    }
                };
                match send(&mut socket, &PeerMessage::Crashed { crashes }).await {
                    Ok(()) => continue,
                    Err(error) => return error,
                }
            }
            _ = known.changed() => {
                known.borrow_and_update();
                known_due.get_or_insert(Instant::now() + KNOWN_DELAY);
                continue;
            }
            () = tokio::time::sleep_until(wake) => {
                if due.is_some() {
                    continue;
                }
                match send(&mut socket, &peers.ping()).await {
                    Ok(()) => continue,
                    Err(error) => return error,
                }
            }
        };
        last_heard = Instant::now();
        let bytes = match message {
            Ok(Some(Ok(Message::Binary(bytes)))) => bytes,
            Ok(Some(Ok(_))) => continue,
            Ok(Some(Err(error))) => return error.to_string(),
            Ok(None) => return "closed by the other VM".to_string(),
            Err(_) => return "silent for too long".to_string(),
        };
        match ciborium::from_reader(bytes.as_ref()) {
            Ok(PeerMessage::Crashed { crashes }) => {
                peers.culprits.record(&crashes, Instant::now());
            }
            Ok(PeerMessage::Hello { address, as_of, known }) => {
                peers.greet(address, &known);
                theirs = Some(as_of);
            }
            Ok(PeerMessage::Known { known }) => peers.greet(peers.own, &known),
            Ok(PeerMessage::News { update }) => {
                theirs = theirs.map(|revision| revision.max(update.as_of));
                peers.state.take_over(&update, "peer");
            }
            Ok(PeerMessage::Ping { age_ms, as_of, reads }) => {
                theirs = theirs.map(|revision| revision.max(as_of));
                they_read = reads;
                // An age tells of this VM's own knowledge only where it knows as much.
                if let Some(age_ms) = age_ms
                    && as_of <= peers.state.as_of()
                {
                    peers.state.confirm(Duration::from_millis(age_ms));
                }
            }
            Err(error) => return format!("unreadable message: {error}"),
        }
    }
}

/// Sends a message.
async fn send<S>(socket: &mut WebSocketStream<S>, message: &PeerMessage) -> Result<(), String>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).map_err(|error| error.to_string())?;
    socket.send(Message::Binary(bytes.into())).await.map_err(|error| error.to_string())
}
