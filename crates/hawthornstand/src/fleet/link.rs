//! WebSocket link between two VMs, run by one task.

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

/// Version of the protocol between VMs; links between different versions are refused.
pub const PROTOCOL_VERSION: u64 = 1;

/// Capacity of the send queue of one link, in frames.
const MAX_QUEUED_FRAMES: usize = 4096;
/// Limit of concurrent requests received over one link.
const MAX_CONCURRENT_REQUESTS: usize = 4096;
/// Limit of frames written between two flushes.
const MAX_FRAMES_PER_FLUSH: usize = 64;
/// Time limit for connecting, and for each step of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

type Socket = WebSocketStream<TcpStream>;

/// Accepts links for as long as the process runs; a failed accept is retried after a pause.
pub async fn serve(context: Arc<Context>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(
                    "failed to accept a link connection: {e}; check the limit on open files"
                );
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY on a link: {e}");
        }
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            let config = Some(websocket_config(&context));
            let accepted =
                tokio::time::timeout(HANDSHAKE_TIMEOUT, accept_async_with_config(stream, config))
                    .await;
            let Ok(Ok(socket)) = accepted else {
                context.metrics.count("link.greeting_failed");
                return;
            };
            if let Some((link, frames, socket_halves)) = handshake(&context, socket, false).await {
                run(context, link, frames, socket_halves).await;
            }
        });
    }
}

/// Opens links when a request to a VM without a link needs one.
pub struct Dialer(Weak<Context>);

impl Dialer {
    /// Creates a dialer that opens links as long as the context exists.
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

/// Opens a link to an address; returns whether it was established.
pub async fn dial(context: &Arc<Context>, address: &str, on_demand: bool) -> bool {
    let attempt = async {
        let stream = connect_from(own_ip(&context.settings), address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let url = format!("ws://{address}/peer");
        let (socket, _) =
            client_async_with_config(url, stream, Some(websocket_config(context))).await.ok()?;
        handshake(context, socket, on_demand).await
    };
    let Ok(Some((link, frames, socket_halves))) =
        tokio::time::timeout(HANDSHAKE_TIMEOUT, attempt).await
    else {
        context.metrics.count("link.dial_failed");
        return false;
    };
    tokio::spawn(run(Arc::clone(context), link, frames, socket_halves));
    true
}

/// Encodes a frame as CBOR; `None` if it cannot be encoded.
pub fn encode(frame: &Frame) -> Option<Bytes> {
    let mut buffer = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut buffer).ok()?;
    Some(Bytes::from(buffer))
}

/// Decodes a frame; `None` if the bytes are not a valid frame.
pub fn decode(bytes: &[u8]) -> Option<Frame> {
    ciborium::from_reader(bytes).ok()
}

type SocketHalves = (SplitSink<Socket, Message>, SplitStream<Socket>);

/// Exchanges `Hello` frames, registers the link and queues the initial state.
///
/// Returns `None` if the handshake fails, or if the other side has another fleet or protocol version or is this
/// process itself.
async fn handshake(
    context: &Arc<Context>,
    socket: Socket,
    on_demand: bool,
) -> Option<(Arc<Link>, mpsc::Receiver<Frame>, SocketHalves)> {
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
    let first = tokio::time::timeout(HANDSHAKE_TIMEOUT, stream.next()).await.ok()??.ok()?;
    let Some(Frame::Hello(hello)) = decode(&first.into_data()) else {
        context.metrics.count("link.malformed");
        return None;
    };
    if hello.fleet != context.settings.fleet || hello.protocol != PROTOCOL_VERSION {
        context.metrics.count("link.refused");
        log::warn!(
            "link from VM {} refused: it has fleet {:?} and protocol version {}; this VM has {:?} and {PROTOCOL_VERSION}",
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
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
    let link = Arc::new(Link::new(hello, on_demand, sender));
    context.peers.add(Arc::clone(&link));
    gossip::send_initial_state(context, &link);
    Some((link, receiver, (sink, stream)))
}

/// Runs a link until either side closes it or it times out.
async fn run(
    context: Arc<Context>,
    link: Arc<Link>,
    frames: mpsc::Receiver<Frame>,
    socket_halves: SocketHalves,
) {
    let (sink, stream) = socket_halves;
    log::info!("link with VM {} opened", link.hello.vm_id);
    tokio::select! {
        () = write(&context, frames, sink) => {}
        () = read(&context, &link, stream) => {}
    }
    context.peers.remove(&link);
    log::info!("link with VM {} closed", link.hello.vm_id);
}

/// Writes queued frames in batches until the queue is closed or writing fails.
async fn write(
    context: &Context,
    mut frames: mpsc::Receiver<Frame>,
    mut sink: SplitSink<Socket, Message>,
) {
    let mut batch = Vec::with_capacity(MAX_FRAMES_PER_FLUSH);
    while frames.recv_many(&mut batch, MAX_FRAMES_PER_FLUSH).await > 0 {
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

/// Reads frames until the link is closed, times out, is idle for too long, or carries a malformed frame.
///
/// Only links that were opened on demand are closed when idle.
async fn read(context: &Arc<Context>, link: &Arc<Link>, mut stream: SplitStream<Socket>) {
    let gossip = &context.settings.gossip;
    let read_timeout = Duration::from_millis(gossip.link_timeout_ms);
    let max_idle = Duration::from_millis(gossip.link_idle_ms);
    let request_slots = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
    let abort_handles: AbortHandles = Arc::default();
    loop {
        let Ok(Some(Ok(message))) = tokio::time::timeout(read_timeout, stream.next()).await else {
            return;
        };
        if link.on_demand && link.idle_for(Instant::now()) > max_idle {
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
                let Ok(permit) = Arc::clone(&request_slots).try_acquire_owned() else {
                    context.metrics.count("link.requests_refused");
                    link.enqueue(Frame::Response { id, response: peer_service::overloaded() });
                    continue;
                };
                serve_request(context, link, &abort_handles, id, request, permit);
            }
            Some(Frame::Cancel { id }) => cancel(&abort_handles, id),
            Some(Frame::Response { id, response }) => link.complete_request(id, response),
            Some(frame) => gossip::handle_frame(context, link, frame),
            None => {
                context.metrics.count("link.malformed");
                log::warn!(
                    "link with VM {} closed: malformed frame of {} bytes",
                    link.hello.vm_id,
                    bytes.len()
                );
                return;
            }
        }
    }
}

/// Abort handles of running requests, sorted by request id.
type AbortHandles = Arc<Mutex<Vec<(u64, tokio::task::AbortHandle)>>>;

/// Runs a request in its own task and sends the response.
fn serve_request(
    context: &Arc<Context>,
    link: &Arc<Link>,
    abort_handles: &AbortHandles,
    id: u64,
    request: crate::messages::PeerRequest,
    permit: tokio::sync::OwnedSemaphorePermit,
) {
    let (context, link) = (Arc::clone(context), Arc::clone(link));
    let handles_of_task = Arc::clone(abort_handles);
    let task = tokio::spawn(async move {
        let _running = context.track_request();
        let response = peer_service::serve(&context, request).await;
        link.enqueue(Frame::Response { id, response });
        remove_abort_handle(&handles_of_task, id);
        drop(permit);
    });
    let mut abort_handles = lock(abort_handles);
    if task.is_finished() {
        return;
    }
    let index = abort_handles.partition_point(|(other, _)| *other < id);
    abort_handles.insert(index, (id, task.abort_handle()));
}

/// Aborts a request that its sender cancelled.
fn cancel(abort_handles: &AbortHandles, id: u64) {
    let mut abort_handles = lock(abort_handles);
    if let Ok(index) = abort_handles.binary_search_by_key(&id, |(other, _)| *other) {
        abort_handles.remove(index).1.abort();
    }
}

/// Removes the abort handle of a finished request.
fn remove_abort_handle(abort_handles: &AbortHandles, id: u64) {
    let mut abort_handles = lock(abort_handles);
    if let Ok(index) = abort_handles.binary_search_by_key(&id, |(other, _)| *other) {
        abort_handles.remove(index);
    }
}

/// Returns the WebSocket limits of a link.
fn websocket_config(context: &Context) -> WebSocketConfig {
    let max = context.settings.gossip.frame_max_bytes as usize;
    WebSocketConfig::default().max_message_size(Some(max)).max_frame_size(Some(max))
}
