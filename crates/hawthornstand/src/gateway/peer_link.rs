//! Links between VMs, which exchange the published state, the addresses of VMs and crash reports.

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
use tokio_tungstenite::tungstenite::handshake::server::{Request, Response};
use tokio_tungstenite::tungstenite::http::{HeaderMap, HeaderValue};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::gateway::peer_messages::PeerMessage;
use crate::gateway::peers::Peers;
use crate::gateway::pulls::PullStep;
use crate::gateway::relays::choice::VmProfile;
use crate::gateway::relays::host::RelayHost;
use crate::gateway::relays::messages::{RELAY_PATH, REQUESTS_HEADER};
use crate::gateway::server::Proximity;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::store_version::StoreVersion;
use crate::ids::LinkId;
use crate::process::silent_peer;

/// Size of each of the two buffers of a link, in bytes: most messages are pings, larger ones pass in parts. The
/// library's default of 128 KiB cost 60 MB on a VM that many others link to, in a fleet of 300 VMs.
const BUFFER_BYTES: usize = 4 * 1024;
/// Largest accepted message: several times the published state of the largest fleet.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Number of links that each VM opens.
const LINKS_PER_VM: usize = 3;
/// Time limit for opening or accepting a link.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a sent message after which a ping is sent.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which newly known addresses are collected into one message.
const ADDRESS_BATCH_DELAY: Duration = Duration::from_secs(1);
/// The same soon after the start of a VM, so that it learns the size of its fleet quickly.
const FIRST_ADDRESS_BATCH_DELAY: Duration = Duration::from_millis(200);
/// Time after its start within which a VM sends newly known addresses sooner.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);
/// Time without a received message after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum delay before a link that was opened while few VMs were known is closed in favor of another one; each
/// link draws a random part of it.
const REBALANCE_DELAY: Duration = Duration::from_secs(4);
/// Time between two attempts to open a link, before jitter, and after a failed accept.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// Accepts links from other VMs.
///
/// A link that is opened at [`RELAY_PATH`] carries searches to `relay_host`.
pub async fn serve(peers: Arc<Peers>, relay_host: Arc<RelayHost>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(
                    "failed to accept a link connection: {error}; check the limit on open files"
                );
                tokio::time::sleep(RECONNECT_DELAY).await;
                continue;
            }
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY: {error}");
        }
        silent_peer::close_when_silent(&stream);
        let (peers, relay_host) = (Arc::clone(&peers), Arc::clone(&relay_host));
        tokio::spawn(async move {
            let mut carries_searches = false;
            // The library defines the type of the error, which this callback never returns.
            #[allow(clippy::result_large_err)]
            let accepted = tokio_tungstenite::accept_hdr_async_with_config(
                stream,
                |request: &Request, mut response: Response| {
                    carries_searches = request.uri().path() == RELAY_PATH;
                    if carries_searches {
                        let value = HeaderValue::from_static("1");
                        response.headers_mut().insert(REQUESTS_HEADER, value);
                    }
                    Ok(response)
                },
                Some(socket_config()),
            );
            match tokio::time::timeout(OPEN_TIMEOUT, accepted).await {
                Ok(Ok(socket)) if carries_searches => {
                    let reason = relay_host.run_link(socket).await;
                    log::debug!("accepted link for searches closed: {reason}");
                }
                Ok(Ok(socket)) => {
                    let reason = run_link(&peers, socket).await;
                    log::debug!("accepted link closed: {reason}");
                }
                Ok(Err(error)) => log::debug!("link handshake failed: {error}"),
                Err(_) => log::debug!("link handshake timed out"),
            }
        });
    }
}

/// Keeps links to other VMs open, and adds the seeds of changed settings to the known VMs.
pub async fn run(peers: Arc<Peers>, mut settings: watch::Receiver<GatewaySettings>) {
    for _ in 0..LINKS_PER_VM {
        tokio::spawn(maintain_link(Arc::clone(&peers)));
    }
    while settings.changed().await.is_ok() {
        peers.add(&settings.borrow_and_update().seeds);
    }
}

/// Keeps one link open; picks another VM whenever the link closes.
async fn maintain_link(peers: Arc<Peers>) {
    loop {
        if let Some(address) = peers.pick_unlinked() {
            match tokio::time::timeout(OPEN_TIMEOUT, open(address, "/")).await {
                Ok(Ok((socket, _))) => {
                    log::info!(peer = address.to_string(); "link opened");
                    let reason = tokio::select! {
                        reason = run_link(&peers, socket) => reason,
                        () = rebalance_due(&peers) => "rebalancing, more VMs are known now".to_string(),
                    };
                    log::info!(peer = address.to_string(); "link closed: {reason}");
                }
                Ok(Err(error)) => {
                    log::debug!(peer = address.to_string(); "failed to open a link: {error}")
                }
                Err(_) => log::debug!(peer = address.to_string(); "opening a link timed out"),
            }
            peers.release(address);
        }
        tokio::time::sleep(RECONNECT_DELAY.mul_f64(rand::random_range(0.8..1.6))).await;
    }
}

/// Waits until so many VMs are known that a new random choice would hardly pick the same one.
///
/// A VM starts with the addresses of a few seeds; if all links stayed there, the seeds would serve the whole fleet.
async fn rebalance_due(peers: &Peers) {
    let mut known = peers.known_addresses.subscribe();
    let known_at_open = known.borrow_and_update().len();
    // The channel closes only when the VM stops.
    let is_due = known.wait_for(|known| should_rebalance(known_at_open, known.len())).await.is_ok();
    if !is_due {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(REBALANCE_DELAY.mul_f64(rand::random_range(0.3..1.0))).await;
}

/// Returns whether the VM of a link was picked from at most half of the VMs that are known now.
pub fn should_rebalance(known_at_open: usize, known: usize) -> bool {
    known_at_open * 2 <= known && known > LINKS_PER_VM
}

/// Opens a WebSocket connection to a path of another VM; returns it with the headers of the handshake.
pub async fn open(
    address: SocketAddr,
    path: &str,
) -> Result<(WebSocketStream<TcpStream>, HeaderMap), Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    silent_peer::close_when_silent(&stream);
    let url = format!("ws://{address}{path}");
    let (socket, response) =
        tokio_tungstenite::client_async_with_config(url, stream, Some(socket_config())).await?;
    Ok((socket, response.into_parts().0.headers))
}

/// Returns the WebSocket configuration of links.
fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
        .max_message_size(Some(MAX_MESSAGE_BYTES))
}

/// Exchanges messages on a link until it closes; returns the reason.
pub async fn run_link<S>(peers: &Peers, socket: WebSocketStream<S>) -> String
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let id = peers.next_link_id();
    let _guard = OfferGuard { id, peers };
    let mut link = Link {
        addresses_due: None,
        announced_addresses: Vec::new(),
        announced_profiles: Vec::new(),
        announced_version: StoreVersion::default(),
        id,
        known_confirmation: None,
        last_received: Instant::now(),
        last_sent: Instant::now(),
        pending_confirmation: None,
        peers,
        proximity: Proximity::OtherRegion,
        socket,
    };
    match link.run().await {
        Ok(()) => "closed by the other VM".to_string(),
        Err(reason) => reason,
    }
}

/// Removes the offer of a link when dropped, so that also a cancelled link leaves none behind.
struct OfferGuard<'a> {
    id: LinkId,
    peers: &'a Peers,
}

impl Drop for OfferGuard<'_> {
    fn drop(&mut self) {
        self.peers.pulls.remove_link(self.id);
    }
}

/// One link to another VM.
struct Link<'a, S> {
    /// When newly known addresses are sent.
    addresses_due: Option<Instant>,
    /// Addresses that were sent or received on this link, sorted.
    announced_addresses: Vec<SocketAddr>,
    /// Profiles that were last sent on this link.
    announced_profiles: Vec<VmProfile>,
    /// Version that was last sent on this link.
    announced_version: StoreVersion,
    id: LinkId,
    /// The last confirmation by the store that the other VM has announced or was told.
    known_confirmation: Option<Instant>,
    last_received: Instant,
    last_sent: Instant,
    /// Version that the store confirmed to the other VM, and when; this VM lacks changes up to it.
    pending_confirmation: Option<(StoreVersion, Instant)>,
    peers: &'a Peers,
    proximity: Proximity,
    socket: WebSocketStream<S>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Link<'_, S> {
    /// Exchanges messages until the link is closed.
    async fn run(&mut self) -> Result<(), String> {
        let mut version = self.peers.state.subscribe();
        let mut confirmation = self.peers.state.subscribe_to_confirmations();
        let mut known = self.peers.known_addresses.subscribe();
        let mut profiles = self.peers.profiles.subscribe();
        let mut crash_reports = self.peers.crash_tracker.subscribe();
        self.announced_addresses = known.borrow_and_update().clone();
        profiles.mark_unchanged();
        self.announced_profiles = self.peers.reported_profiles();
        self.announced_version = self.peers.state.as_of();
        self.send(&PeerMessage::Hello {
            address: self.peers.own_address,
            as_of: self.announced_version.revision,
            config_version: self.peers.state.config_version(),
            era: self.announced_version.era,
            failure_domain: self.peers.location.failure_domain.clone(),
            known: self.announced_addresses.clone(),
            profiles: self.announced_profiles.clone(),
        })
        .await?;
        self.send_crash_reports().await?;
        loop {
            let confirmed_at = *confirmation.borrow_and_update();
            let pull_due = self.announce_and_pull(confirmed_at).await?;
            let due = [pull_due, self.addresses_due].into_iter().flatten().min();
            let ping_due = self.last_sent + PING_INTERVAL;
            let wake_at = due.map_or(ping_due, |due| due.min(ping_due));
            let idle_end = self.last_received + IDLE_TIMEOUT;
            tokio::select! {
                message = tokio::time::timeout_at(idle_end, self.socket.next()) => match message {
                    Ok(Some(Ok(message))) => self.handle(message).await?,
                    Ok(Some(Err(error))) => return Err(error.to_string()),
                    Ok(None) => return Ok(()),
                    Err(_) => return Err("no message within the idle timeout".to_string()),
                },
                _ = version.changed() => {}
                _ = confirmation.changed() => {}
                crashes = crash_reports.recv() => match crashes {
                    Ok(crashes) => self.send(&PeerMessage::Crashed { crashes }).await?,
                    // Those that the buffer dropped are among all of them.
                    Err(_) => self.send_crash_reports().await?,
                },
                _ = profiles.changed() => {
                    profiles.mark_unchanged();
                    self.addresses_due.get_or_insert(Instant::now() + self.address_batch_delay());
                }
                _ = known.changed() => {
                    known.borrow_and_update();
                    self.addresses_due.get_or_insert(Instant::now() + self.address_batch_delay());
                }
                () = tokio::time::sleep_until(wake_at) => {}
            }
        }
    }

    /// Sends all crash reports that this VM has.
    async fn send_crash_reports(&mut self) -> Result<(), String> {
        for crashes in self.peers.crash_tracker.reports(Instant::now()) {
            self.send(&PeerMessage::Crashed { crashes }).await?;
        }
        Ok(())
    }

    /// Announces a new version, a new confirmation of `confirmed_at` and new addresses, and pulls changes from the other VM
    /// if it is this link's turn; returns when to check again.
    async fn announce_and_pull(
        &mut self,
        confirmed_at: Option<Instant>,
    ) -> Result<Option<Instant>, String> {
        let now = Instant::now();
        let own_version = self.peers.state.as_of();
        self.apply_confirmation(own_version);
        let new_confirmation = confirmed_at
            .filter(|at| self.peers.state.should_announce(*at, self.known_confirmation));
        if own_version > self.announced_version
            || new_confirmation.is_some()
            || now >= self.last_sent + PING_INTERVAL
        {
            self.announced_version = own_version;
            self.known_confirmation = self.known_confirmation.max(new_confirmation);
            let ping = self.peers.ping();
            self.send(&ping).await?;
        }
        if self.addresses_due.is_some_and(|due| due <= now) {
            self.addresses_due = None;
            self.announce_addresses().await?;
        }
        match self.peers.pulls.next_step(self.id, own_version, self.peers.pull_delay(), now) {
            PullStep::Pull => {
                self.pull(own_version).await?;
                Ok(None)
            }
            PullStep::Idle => Ok(None),
            PullStep::CheckAt(at) => Ok(Some(at)),
        }
    }

    /// Requests what this VM lacks.
    async fn pull(&mut self, own_version: StoreVersion) -> Result<(), String> {
        let StoreVersion { era, revision: after } = own_version;
        let config_version = self.peers.state.config_version();
        self.send(&PeerMessage::Pull { after, config_version, era }).await
    }

    /// Requests the configuration in force at the other VM if it is newer than the store's.
    async fn pull_retained_config(
        &mut self,
        offered: StoreVersion,
        config_version: u64,
    ) -> Result<(), String> {
        let state = &self.peers.state;
        let own_version = state.as_of();
        // A VM that lacks changes of the store pulls them anyway.
        if offered > own_version || config_version <= state.config_version() {
            return Ok(());
        }
        self.pull(own_version).await
    }

    /// Records the other VM's confirmation once it holds for this VM's state, which must be no older than the other's.
    fn apply_confirmation(&mut self, own_version: StoreVersion) {
        let Some((version, confirmed_at)) = self.pending_confirmation else { return };
        if version <= own_version {
            self.pending_confirmation = None;
            self.peers.state.record_confirmation(version.era, confirmed_at.elapsed());
        }
    }

    /// Sends the known addresses that were neither sent nor received on this link, and the profiles that have changed.
    async fn announce_addresses(&mut self) -> Result<(), String> {
        let mut new = self.peers.known_addresses.borrow().clone();
        new.retain(|address| self.announced_addresses.binary_search(address).is_err());
        let profiles = self.peers.reported_profiles();
        let mut changed = profiles.clone();
        changed.retain(|profile| !self.announced_profiles.contains(profile));
        self.announced_profiles = profiles;
        if new.is_empty() && changed.is_empty() {
            return Ok(());
        }
        self.mark_announced(&new);
        self.send(&PeerMessage::Known { known: new, profiles: changed }).await
    }

    /// Returns the time for which newly known addresses are collected.
    fn address_batch_delay(&self) -> Duration {
        if self.peers.started.elapsed() < DISCOVERY_TIME {
            FIRST_ADDRESS_BATCH_DELAY
        } else {
            ADDRESS_BATCH_DELAY
        }
    }

    /// Records addresses that the other VM knows.
    fn mark_announced(&mut self, addresses: &[SocketAddr]) {
        self.announced_addresses.extend_from_slice(addresses);
        self.announced_addresses.sort_unstable();
        self.announced_addresses.dedup();
    }

    /// Handles a received message.
    async fn handle(&mut self, message: Message) -> Result<(), String> {
        self.last_received = Instant::now();
        let Message::Binary(bytes) = message else { return Ok(()) };
        let message: PeerMessage = ciborium::from_reader(bytes.as_ref())
            .map_err(|error| format!("malformed message: {error}"))?;
        let peers = self.peers;
        match message {
            PeerMessage::Crashed { crashes } => {
                peers.crash_tracker.record(&crashes, Instant::now());
            }
            PeerMessage::Hello {
                address,
                as_of,
                config_version,
                era,
                failure_domain,
                mut known,
                profiles,
            } => {
                peers.add_profiles(profiles);
                self.proximity = peers.location.proximity(&failure_domain);
                known.push(address);
                peers.add_reported(&known);
                self.mark_announced(&known);
                let offered = StoreVersion { era, revision: as_of };
                peers.pulls.record_offer(self.id, self.proximity, offered);
                self.pull_retained_config(offered, config_version).await?;
            }
            PeerMessage::Known { known, profiles } => {
                peers.add_profiles(profiles);
                self.mark_announced(&known);
                peers.add_reported(&known);
            }
            PeerMessage::News { retained_config, update } => {
                peers.pulls.record_answer(self.id, Instant::now());
                // It goes before the store's older one, which would be in force for a moment.
                if let Some(config) = &retained_config {
                    peers.state.apply_retained_config(config, "peer");
                }
                peers.state.apply_update(&update, "peer");
            }
            PeerMessage::Ping { age_ms, as_of, config_version, era } => {
                let offered = StoreVersion { era, revision: as_of };
                peers.pulls.record_offer(self.id, self.proximity, offered);
                let age = age_ms.map(Duration::from_millis);
                let confirmed_at = age.and_then(|age| Instant::now().checked_sub(age));
                self.known_confirmation = self.known_confirmation.max(confirmed_at);
                self.pending_confirmation = confirmed_at.map(|at| (offered, at));
                self.apply_confirmation(peers.state.as_of());
                self.pull_retained_config(offered, config_version).await?;
            }
            PeerMessage::Pull { after, config_version, era } => {
                let update = peers.state.changes_since(StoreVersion { era, revision: after });
                let is_behind = config_version < peers.state.config_version();
                let retained_config = if is_behind { peers.state.retained_config() } else { None };
                self.send(&PeerMessage::News { retained_config, update }).await?;
            }
        }
        Ok(())
    }

    /// Sends a message.
    async fn send(&mut self, message: &PeerMessage) -> Result<(), String> {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).map_err(|error| error.to_string())?;
        self.peers.count_sent_bytes(bytes.len());
        self.last_sent = Instant::now();
        self.socket.send(Message::Binary(bytes.into())).await.map_err(|error| error.to_string())
    }
}
