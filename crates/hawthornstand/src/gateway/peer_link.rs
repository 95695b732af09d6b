//! Links between VMs: news of the published state, and who else is there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::gateway::peer_messages::PeerMessage;
use crate::gateway::peers::Peers;
use crate::gateway::pulls::Step;
use crate::gateway::server::Proximity;
use crate::gateway::settings::GatewaySettings;
use crate::ids::{LinkId, Revision};

/// Buffers of a link, in bytes, in each direction: most messages are pings; larger ones pass in parts. The library's
/// 128 KiB cost a VM that many others know 60 MB at 300 VMs.
const BUFFER_BYTES: usize = 4 * 1024;
/// Links that each VM opens.
const LINKS: usize = 3;
/// Time allowed for opening a link.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time between two messages on a link.
const IDLE_PING: Duration = Duration::from_secs(2);
/// Time over which newly known VMs are gathered into one message.
const KNOWN_DELAY: Duration = Duration::from_secs(1);
/// Silence after which a link counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// Time after which a link is given up that was opened while hardly any VM was known; each draws its own part of it.
const OUTGROWN_AFTER: Duration = Duration::from_secs(4);
/// Time between two attempts to open a link.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

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
            match tokio::time::timeout(
                OPEN_TIMEOUT,
                tokio_tungstenite::accept_async_with_config(stream, Some(buffers())),
            )
            .await
            {
                Ok(Ok(socket)) => {
                    let reason = talk(&peers, socket).await;
                    log::debug!("link ended: {reason}");
                }
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
                    let reason = tokio::select! {
                        reason = talk(&peers, socket) => reason,
                        () = outgrown(&peers) => "more VMs are known by now".to_string(),
                    };
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

/// Waits until so many VMs are known that a link drawn now would hardly go to the same one.
///
/// A VM starts with the addresses of a few seeds; if all links stayed there, the seeds would serve the whole fleet.
async fn outgrown(peers: &Peers) {
    let mut known = peers.known.subscribe();
    let at_open = known.borrow_and_update().len();
    // The sender lives as long as the VM.
    let grown = known.wait_for(|known| is_outgrown(at_open, known.len())).await.is_ok();
    if !grown {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(OUTGROWN_AFTER.mul_f64(rand::random_range(0.3..1.0))).await;
}

/// Returns whether a link was drawn from few of the VMs that are known now.
pub fn is_outgrown(known_at_open: usize, known: usize) -> bool {
    known_at_open * 2 <= known && known > LINKS
}

/// Opens a link.
async fn open(
    address: SocketAddr,
) -> Result<WebSocketStream<TcpStream>, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/");
    let (socket, _) =
        tokio_tungstenite::client_async_with_config(url, stream, Some(buffers())).await?;
    Ok(socket)
}

/// Returns how links are buffered.
fn buffers() -> WebSocketConfig {
    WebSocketConfig::default().read_buffer_size(BUFFER_BYTES).write_buffer_size(BUFFER_BYTES)
}

/// Exchanges news on a link until it ends; returns why it ended.
pub async fn talk<S>(peers: &Peers, socket: WebSocketStream<S>) -> String
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let id = peers.number_link();
    let _withdrawal = Withdrawal { id, peers };
    let mut link = Link {
        id,
        known_due: None,
        last_heard: Instant::now(),
        last_sent: Instant::now(),
        peers,
        proximity: Proximity::OtherRegion,
        socket,
        told: 0,
        told_known: Vec::new(),
    };
    match link.converse().await {
        Ok(()) => "closed by the other VM".to_string(),
        Err(reason) => reason,
    }
}

/// Takes the offers of a link back when it ends, however it ends.
struct Withdrawal<'a> {
    id: LinkId,
    peers: &'a Peers,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        self.peers.pulls.withdraw(self.id);
    }
}

/// One link to another VM.
struct Link<'a, S> {
    id: LinkId,
    /// When newly known VMs are told.
    known_due: Option<Instant>,
    last_heard: Instant,
    last_sent: Instant,
    peers: &'a Peers,
    proximity: Proximity,
    socket: WebSocketStream<S>,
    /// Revision that the other VM was told of.
    told: Revision,
    /// VMs that the other VM was told of, or told.
    told_known: Vec<SocketAddr>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Link<'_, S> {
    /// Exchanges messages until the link is closed.
    async fn converse(&mut self) -> Result<(), String> {
        let mut news = self.peers.state.news();
        let mut known = self.peers.known.subscribe();
        let mut crashed = self.peers.culprits.subscribe();
        self.told_known = known.borrow_and_update().clone();
        self.told = self.peers.state.as_of();
        self.send(&PeerMessage::Hello {
            address: self.peers.own,
            as_of: self.told,
            failure_domain: self.peers.place.failure_domain.clone(),
            known: self.told_known.clone(),
        })
        .await?;
        for crashes in self.peers.culprits.reports() {
            self.send(&PeerMessage::Crashed { crashes }).await?;
        }
        loop {
            let look_at = self.tell_and_ask().await?;
            let due = [look_at, self.known_due].into_iter().flatten().min();
            let ping_due = self.last_sent + IDLE_PING;
            let wake = due.map_or(ping_due, |due| due.min(ping_due));
            let silence = self.last_heard + SILENCE_LIMIT;
            tokio::select! {
                message = tokio::time::timeout_at(silence, self.socket.next()) => match message {
                    Ok(Some(Ok(message))) => self.receive(message).await?,
                    Ok(Some(Err(error))) => return Err(error.to_string()),
                    Ok(None) => return Ok(()),
                    Err(_) => return Err("silent for too long".to_string()),
                },
                _ = news.changed() => {}
                crashes = crashed.recv() => match crashes {
                    Ok(crashes) => self.send(&PeerMessage::Crashed { crashes }).await?,
                    Err(error) => log::warn!("crashes not told to a VM: {error}"),
                },
                _ = known.changed() => {
                    known.borrow_and_update();
                    self.known_due.get_or_insert(Instant::now() + KNOWN_DELAY);
                }
                () = tokio::time::sleep_until(wake) => {}
            }
        }
    }

    /// Tells what is new here and asks for what is new there; returns when to look again.
    async fn tell_and_ask(&mut self) -> Result<Option<Instant>, String> {
        let now = Instant::now();
        let own = self.peers.state.as_of();
        if own > self.told || now >= self.last_sent + IDLE_PING {
            self.told = own;
            let ping = self.peers.ping();
            self.send(&ping).await?;
        }
        if self.known_due.is_some_and(|due| due <= now) {
            self.known_due = None;
            self.tell_known().await?;
        }
        match self.peers.pulls.step(self.id, own, self.peers.patience(), now) {
            Step::Ask => {
                self.send(&PeerMessage::Pull { after: own }).await?;
                Ok(None)
            }
            Step::Idle => Ok(None),
            Step::LookAt(at) => Ok(Some(at)),
        }
    }

    /// Tells of VMs that the other one may not know.
    async fn tell_known(&mut self) -> Result<(), String> {
        let mut fresh = self.peers.known.borrow().clone();
        fresh.retain(|address| self.told_known.binary_search(address).is_err());
        if fresh.is_empty() {
            return Ok(());
        }
        self.note_told(&fresh);
        self.send(&PeerMessage::Known { known: fresh }).await
    }

    /// Notes that the other VM knows of others.
    fn note_told(&mut self, known: &[SocketAddr]) {
        self.told_known.extend_from_slice(known);
        self.told_known.sort_unstable();
        self.told_known.dedup();
    }

    /// Takes over a message.
    async fn receive(&mut self, message: Message) -> Result<(), String> {
        self.last_heard = Instant::now();
        let Message::Binary(bytes) = message else { return Ok(()) };
        let message: PeerMessage = ciborium::from_reader(bytes.as_ref())
            .map_err(|error| format!("unreadable message: {error}"))?;
        let peers = self.peers;
        match message {
            PeerMessage::Crashed { crashes } => {
                peers.culprits.record(&crashes, Instant::now());
            }
            PeerMessage::Hello { address, as_of, failure_domain, mut known } => {
                self.proximity = peers.place.proximity(&failure_domain);
                known.push(address);
                peers.hear_of(&known);
                self.note_told(&known);
                peers.pulls.offer(self.id, self.proximity, as_of);
            }
            PeerMessage::Known { known } => {
                self.note_told(&known);
                peers.hear_of(&known);
            }
            PeerMessage::News { update } => {
                peers.pulls.answered(self.id, Instant::now());
                peers.state.take_over(&update, "peer");
            }
            PeerMessage::Ping { age_ms, as_of } => {
                peers.pulls.offer(self.id, self.proximity, as_of);
                // An age tells of this VM's own knowledge only where it knows as much.
                if let Some(age_ms) = age_ms
                    && as_of <= peers.state.as_of()
                {
                    peers.state.confirm(Duration::from_millis(age_ms));
                }
            }
            PeerMessage::Pull { after } => {
                let update = peers.state.since(after);
                self.send(&PeerMessage::News { update }).await?;
            }
        }
        Ok(())
    }

    /// Sends a message.
    async fn send(&mut self, message: &PeerMessage) -> Result<(), String> {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).map_err(|error| error.to_string())?;
        self.peers.note_sent(bytes.len());
        self.last_sent = Instant::now();
        self.socket.send(Message::Binary(bytes.into())).await.map_err(|error| error.to_string())
    }
}
