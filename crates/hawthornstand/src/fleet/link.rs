//! One websocket link between two VMs, run by one task.

use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

use crate::backends::backend_client::BoxFuture;
use crate::backends::connection_pool::connect_from;
use crate::fleet::gossip;
use crate::fleet::peer_service;
use crate::fleet::peers::{Dial, Link};
use crate::locks::lock;
use crate::messages::{Frame, Hello};
use crate::process::context::{Context, own_ip};

/// Version of the protocol between VMs.
pub const PROTOCOL_VERSION: u64 = 1;

/// Frames that may wait on one link.
const QUEUED_FRAMES: usize = 4096;
/// Requests that one link may have running at once.
const MAX_RUNNING_REQUESTS: usize = 4096;
/// Frames written between two flushes.
const FRAMES_PER_FLUSH: usize = 64;
/// Time allowed for connecting and greeting.
const GREETING_TIMEOUT: Duration = Duration::from_secs(1);

type Socket = WebSocketStream<TcpStream>;

/// Accepts links until the listener fails.
pub async fn serve(context: Arc<Context>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("link not accepted: {e}; check the limit on open files");
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("no-delay not set: {e}");
        }
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            let config = Some(websocket_config(&context));
            let accepted =
                tokio::time::timeout(GREETING_TIMEOUT, accept_async_with_config(stream, config))
                    .await;
            let Ok(Ok(socket)) = accepted else {
                context.metrics.count("link.greeting_failed");
                return;
            };
            if let Some((link, frames, halves)) = greet(&context, socket, false).await {
                run(context, link, frames, halves).await;
            }
        });
    }
}

/// Opens links for requests of this process.
pub struct Dialer(Weak<Context>);

impl Dialer {
    /// Creates a dialer that opens links as long as the process's state exists.
    pub fn new(context: &Arc<Context>) -> Self {
        Self(Arc::downgrade(context))
    }
}

impl Dial for Dialer {
    fn dial<'a>(&'a self, address: &'a str) -> BoxFuture<'a, ()> {
        Box::pin(async move {
            let Some(context) = self.0.upgrade() else { return };
            dial(&context, address, true).await;
        })
    }
}

/// Opens a link to an address; returns once it is usable or has failed.
pub async fn dial(context: &Arc<Context>, address: &str, on_demand: bool) -> bool {
    let attempt = async {
        let stream = connect_from(own_ip(&context.settings), address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let url = format!("ws://{address}/peer");
        let (socket, _) =
            client_async_with_config(url, stream, Some(websocket_config(context))).await.ok()?;
        greet(context, socket, on_demand).await
    };
    let Ok(Some((link, frames, halves))) = tokio::time::timeout(GREETING_TIMEOUT, attempt).await
    else {
        context.metrics.count("link.dial_failed");
        return false;
    };
    tokio::spawn(run(Arc::clone(context), link, frames, halves));
    true
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Option<Bytes> {
    let mut buffer = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut buffer).ok()?;
    Some(Bytes::from(buffer))
}

/// Decodes a frame; none where the bytes are not one.
pub fn decode(bytes: &[u8]) -> Option<Frame> {
    ciborium::from_reader(bytes).ok()
}

type Halves = (SplitSink<Socket, Message>, SplitStream<Socket>);

/// Exchanges greetings and registers the link.
async fn greet(
    context: &Arc<Context>,
    socket: Socket,
    on_demand: bool,
) -> Option<(Arc<Link>, mpsc::Receiver<Frame>, Halves)> {
    let (mut sink, mut stream) = socket.split();
    let own = Hello {
        boot_id: context.identity.boot_id,
        failure_domain: context.settings.failure_domain.clone(),
        fleet: context.settings.fleet.clone(),
        peer_address: context.settings.peer_address.clone(),
        protocol: PROTOCOL_VERSION,
        region: context.settings.region.clone(),
        vm_id: context.identity.vm_id.clone(),
    };
    sink.send(Message::Binary(encode(&Frame::Hello(own))?)).await.ok()?;
    let first = tokio::time::timeout(GREETING_TIMEOUT, stream.next()).await.ok()??.ok()?;
    let Some(Frame::Hello(hello)) = decode(&first.into_data()) else {
        context.metrics.count("link.malformed");
        return None;
    };
    if hello.fleet != context.settings.fleet || hello.protocol != PROTOCOL_VERSION {
        context.metrics.count("link.refused");
        log::warn!(
            "link from {} refused: fleet {:?} and protocol {}; this VM has {:?} and {PROTOCOL_VERSION}",
            hello.vm_id,
            hello.fleet,
            hello.protocol,
            context.settings.fleet
        );
        return None;
    }
    if hello.boot_id == context.identity.boot_id {
        return None;
    }
    let (sender, receiver) = mpsc::channel(QUEUED_FRAMES);
    let link = Arc::new(Link::new(hello, on_demand, sender));
    context.peers.add(Arc::clone(&link));
    gossip::greet(context, &link);
    Some((link, receiver, (sink, stream)))
}

/// Runs a link until either side closes it or it falls silent.
async fn run(
    context: Arc<Context>,
    link: Arc<Link>,
    frames: mpsc::Receiver<Frame>,
    halves: Halves,
) {
    let (sink, stream) = halves;
    log::info!("linked with {}", link.hello.vm_id);
    tokio::select! {
        () = write(&context, frames, sink) => {}
        () = read(&context, &link, stream) => {}
    }
    context.peers.remove(&link);
    log::info!("link with {} ended", link.hello.vm_id);
}

/// Writes queued frames.
async fn write(
    context: &Context,
    mut frames: mpsc::Receiver<Frame>,
    mut sink: SplitSink<Socket, Message>,
) {
    let mut batch = Vec::with_capacity(FRAMES_PER_FLUSH);
    while frames.recv_many(&mut batch, FRAMES_PER_FLUSH).await > 0 {
        for frame in batch.drain(..) {
            let Some(bytes) = encode(&frame) else { continue };
            let counter = match frame {
                Frame::Cancel { .. } | Frame::Request { .. } | Frame::Response { .. } => {
                    "link.request_bytes"
                }
                _ => "link.gossip_bytes",
            };
            context.metrics.add(counter, bytes.len() as u64);
            if sink.feed(Message::Binary(bytes)).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
}

/// Reads frames until the link ends, is silent too long, idles, or carries something malformed.
async fn read(context: &Arc<Context>, link: &Arc<Link>, mut stream: SplitStream<Socket>) {
    let gossip = &context.settings.gossip;
    let silence = Duration::from_millis(gossip.link_timeout_ms);
    let idle = Duration::from_millis(gossip.link_idle_ms);
    let running = Arc::new(Semaphore::new(MAX_RUNNING_REQUESTS));
    let cancels: Cancels = Arc::default();
    loop {
        let Ok(Some(Ok(message))) = tokio::time::timeout(silence, stream.next()).await else {
            return;
        };
        if link.on_demand && link.idle_for(Instant::now()) > idle {
            return;
        }
        let Message::Binary(bytes) = message else {
            if message.is_close() {
                return;
            }
            continue;
        };
        match decode(&bytes) {
            Some(Frame::Request { id, request }) => {
                let Ok(permit) = Arc::clone(&running).try_acquire_owned() else {
                    context.metrics.count("link.requests_refused");
                    link.offer(Frame::Response { id, response: peer_service::overloaded() });
                    continue;
                };
                serve_request(context, link, &cancels, id, request, permit);
            }
            Some(Frame::Cancel { id }) => cancel(&cancels, id),
            Some(Frame::Response { id, response }) => link.complete(id, response),
            Some(frame) => gossip::receive(context, link, frame),
            None => {
                context.metrics.count("link.malformed");
                log::warn!(
                    "link with {} closed: malformed frame of {} bytes",
                    link.hello.vm_id,
                    bytes.len()
                );
                return;
            }
        }
    }
}

/// Abort handles of running requests, sorted by correlation id.
type Cancels = Arc<Mutex<Vec<(u64, tokio::task::AbortHandle)>>>;

/// Runs one request in a task of its own.
fn serve_request(
    context: &Arc<Context>,
    link: &Arc<Link>,
    cancels: &Cancels,
    id: u64,
    request: crate::messages::PeerRequest,
    permit: tokio::sync::OwnedSemaphorePermit,
) {
    let (context, link) = (Arc::clone(context), Arc::clone(link));
    let done = Arc::clone(cancels);
    let task = tokio::spawn(async move {
        let _running = context.track_request();
        let response = peer_service::serve(&context, request).await;
        link.offer(Frame::Response { id, response });
        forget(&done, id);
        drop(permit);
    });
    let mut cancels = lock(cancels);
    if task.is_finished() {
        return;
    }
    let index = cancels.partition_point(|(known, _)| *known < id);
    cancels.insert(index, (id, task.abort_handle()));
}

/// Stops a request that its sender withdrew.
fn cancel(cancels: &Cancels, id: u64) {
    let mut cancels = lock(cancels);
    if let Ok(index) = cancels.binary_search_by_key(&id, |(known, _)| *known) {
        cancels.remove(index).1.abort();
    }
}

/// Forgets a finished request.
fn forget(cancels: &Cancels, id: u64) {
    let mut cancels = lock(cancels);
    if let Ok(index) = cancels.binary_search_by_key(&id, |(known, _)| *known) {
        cancels.remove(index);
    }
}

/// Returns the limits of a link.
fn websocket_config(context: &Context) -> WebSocketConfig {
    let max = context.settings.gossip.frame_max_bytes as usize;
    WebSocketConfig::default().max_message_size(Some(max)).max_frame_size(Some(max))
}
