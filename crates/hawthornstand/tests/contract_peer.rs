//! Contract between VMs: each bad frame, its response, and that the receiver's state is unchanged.

mod support;

use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use hawthornstand::configuration::published::RawConfig;
use hawthornstand::fleet::link::{self, PROTOCOL_VERSION, encode};
use hawthornstand::messages::{
    BlockSearch, ConfigDelta, Fact, FactBody, ForwardedBooking, Frame, Hello, LoneRun, LoneVerdict,
    PeerRequest, PeerResponse, PeerVm, PeerVmList, Published,
};
use hawthornstand::process::context::Context;
use rstest::rstest;
use support::{answer, context};
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::tungstenite::Message;

fn hello(fleet: &str, protocol: u64) -> Message {
    frame(&Frame::Hello(Hello {
        boot_id: 99,
        failure_domain: "d".to_string(),
        fleet: fleet.to_string(),
        peer_address: "127.0.0.1:1".to_string(),
        protocol,
        region: "r".to_string(),
        vm_id: "entry-9".to_string(),
    }))
}

fn frame(frame: &Frame) -> Message {
    Message::Binary(encode(frame).expect("a frame"))
}

fn request(request: PeerRequest) -> Message {
    frame(&Frame::Request { id: 1, request })
}

fn block_search(block: u64, service: &str) -> Message {
    request(PeerRequest::BlockSearch(BlockSearch {
        block,
        config_revision: 1,
        deadline_unix_ms: u64::MAX / 2,
        limit: 10,
        query: "q".to_string(),
        retry: false,
        service: service.to_string(),
        traceparent: String::new(),
        version: 1,
    }))
}

fn booking(ticket: &str) -> Message {
    request(PeerRequest::ForwardedBooking(ForwardedBooking {
        deadline_unix_ms: u64::MAX / 2,
        key: "k".to_string(),
        payload: "p".to_string(),
        service: "roster".to_string(),
        ticket: ticket.to_string(),
        traceparent: String::new(),
    }))
}

fn delta(revision: u64, value: &str) -> Message {
    let change = hawthornstand::messages::ConfigChange {
        key: "services/all".to_string(),
        revision,
        value: Some(value.to_string()),
    };
    let config = Some(ConfigDelta { after: 1, changes: vec![change], revision });
    frame(&Frame::Published(Published { config, list: None }))
}

/// Sends frames over a new link; returns the response to a request, or whether the link stayed open.
async fn send(context: &Arc<Context>, messages: Vec<Message>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(link::serve(Arc::clone(context), listener));
    let stream = TcpStream::connect(address).await.expect("a connection");
    let url = format!("ws://{address}/peer");
    let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.expect("a websocket");
    for message in messages {
        let _ = socket.send(message).await;
    }
    let outcome = tokio::time::timeout(Duration::from_millis(400), async {
        loop {
            let Some(Ok(message)) = socket.next().await else { return "link closed".to_string() };
            let Message::Binary(bytes) = message else { continue };
            match link::decode(&bytes) {
                Some(Frame::Response { response: PeerResponse::Refused(refusal), .. }) => {
                    return format!("refused {}, outcome {}", refusal.error, refusal.outcome);
                }
                Some(Frame::Response { response: PeerResponse::Booking(reply), .. }) => {
                    return format!("{reply:?}");
                }
                Some(Frame::Response { response: PeerResponse::Block(answer), .. }) => {
                    return format!("{} answers", answer.answers.len());
                }
                _ => continue,
            }
        }
    });
    outcome.await.unwrap_or_else(|_| "link open".to_string())
}

#[rstest]
#[case::other_fleet(vec![hello("other", PROTOCOL_VERSION)], "link closed")]
#[case::other_protocol(vec![hello("test", PROTOCOL_VERSION + 1)], "link closed")]
#[case::no_hello(vec![block_search(0, "roster")], "link closed")]
#[case::malformed_hello(vec![Message::Binary(vec![0xff; 40].into())], "link closed")]
#[case::malformed(vec![hello("test", 1), Message::Binary(vec![0xa1, 0x61].into())], "link closed")]
#[case::oversized(vec![hello("test", 1), Message::Binary(vec![0; 40_000].into())], "link closed")]
#[case::text(vec![hello("test", 1), Message::text("hello")], "link open")]
#[case::second_hello(vec![hello("test", 1), hello("other", 1)], "link open")]
#[case::response_without_request(
    vec![hello("test", 1), frame(&Frame::Response { id: 77, response: PeerResponse::Lone(hawthornstand::messages::LoneVerdict::Cleared) })],
    "link open"
)]
#[case::cancel_without_request(vec![hello("test", 1), frame(&Frame::Cancel { id: 5 })], "link open")]
#[case::search(vec![hello("test", 1), block_search(0, "roster")], "2 answers")]
#[case::search_of_unknown_block(vec![hello("test", 1), block_search(7, "roster")], "refused NoReplica, outcome not_run")]
#[case::search_of_unknown_service(vec![hello("test", 1), block_search(0, "x")], "refused UnknownService, outcome not_run")]
#[case::stale_delta(vec![hello("test", 1), delta(1, "services: []")], "link open")]
#[case::invalid_delta(vec![hello("test", 1), delta(2, "services: 7")], "link open")]
#[case::fact_of_unknown_backend_server(
    vec![hello("test", 1), frame(&Frame::Facts { facts: vec![Fact { body: FactBody::LeafLeaving { boot_id: 1, leaf: "x".to_string() }, origin: 0, sequence: 1 }] })],
    "link open"
)]
#[tokio::test]
async fn frames(#[case] messages: Vec<Message>, #[case] expected: &str) {
    let script = |_: &_, search: &_| (Duration::ZERO, Ok(answer(search)));
    let (context, _) = context(2, 2, &[1], "gossip:\n  frame_max_bytes: 20000\n", Box::new(script));
    assert_eq!(send(&context, messages).await, expected);
    // No frame changes the accepted configuration or the backend servers.
    assert_eq!(context.config.revision(), 1);
    assert!(context.leafs.all().iter().all(|leaf| !leaf.is_leaving()));
}

#[rstest]
#[case::malformed("x", "TicketForged", "not_run")]
#[case::of_an_earlier_process("00.0.1.1.1.entry-1", "OutcomeUnknown", "maybe_run")]
#[tokio::test]
async fn forwarded_tickets(#[case] ticket: &str, #[case] error: &str, #[case] outcome: &str) {
    let script = |_: &_, search: &_| (Duration::ZERO, Ok(answer(search)));
    let (context, calls) = context(2, 2, &[1], "", Box::new(script));
    let reply = send(&context, vec![hello("test", 1), booking(ticket)]).await;
    assert!(reply.contains(error) && reply.contains("Refused"), "{reply}");
    let outcome = if outcome == "not_run" { "NotRun" } else { "MaybeRun" };
    assert!(reply.contains(outcome), "{reply}");
    assert!(calls.lock().unwrap().is_empty(), "nothing ran");
}

#[tokio::test]
async fn delta_that_skips_a_revision_is_not_applied() {
    let (context, _) =
        context(1, 1, &[1], "", Box::new(|_, search| (Duration::ZERO, Ok(answer(search)))));
    let delta = ConfigDelta { after: 5, changes: Vec::new(), revision: 6 };
    assert_eq!(
        context.config.apply_delta(&delta),
        hawthornstand::configuration::config_store::ApplyOutcome::Stale
    );
    let empty = RawConfig::default();
    assert_eq!(
        context.config.apply_config(&empty),
        hawthornstand::configuration::config_store::ApplyOutcome::Stale
    );
}

/// Serves one link: reads two requests and sends their responses in reverse order.
///
/// Each response is sent twice, followed by one to a request that was never sent.
async fn reordering_peer(listener: TcpListener) {
    let (stream, _) = listener.accept().await.expect("a connection");
    let mut socket = tokio_tungstenite::accept_async(stream).await.expect("a websocket");
    socket.send(hello("test", PROTOCOL_VERSION)).await.expect("sent");
    let mut requests = Vec::new();
    while requests.len() < 2 {
        let Some(Ok(Message::Binary(bytes))) = socket.next().await else { return };
        if let Some(Frame::Request { id, request: PeerRequest::LoneRun(run) }) =
            link::decode(&bytes)
        {
            requests.push((id, run.query));
        }
    }
    for (id, query) in requests.iter().rev() {
        let verdict = if query == "a" { LoneVerdict::Cleared } else { LoneVerdict::Quarantined };
        for id in [*id, *id, id + 1000] {
            let response = Frame::Response { id, response: PeerResponse::Lone(verdict) };
            socket.send(frame(&response)).await.expect("sent");
        }
    }
    while socket.next().await.is_some() {}
}

#[tokio::test]
async fn reordered_and_repeated_responses_reach_the_right_request() {
    let (context, _) =
        context(1, 1, &[1], "", Box::new(|_, search| (Duration::ZERO, Ok(answer(search)))));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let vm = PeerVm {
        address: listener.local_addr().expect("an address").to_string(),
        entry: true,
        failure_domain: "d".to_string(),
        id: "entry-9".to_string(),
        leaving: false,
        region: "r".to_string(),
    };
    context.config.apply_list(PeerVmList { revision: 1, vms: vec![vm] });
    context.peers.set_dialer(Box::new(link::Dialer::new(&context)));
    tokio::spawn(reordering_peer(listener));
    let send_request = |query: &str| {
        let run = LoneRun {
            deadline_unix_ms: u64::MAX / 2,
            direct: true,
            query: query.to_string(),
            service: "roster".to_string(),
        };
        let (context, vm) = (Arc::clone(&context), "entry-9".to_string());
        async move {
            let deadline = tokio::time::Instant::now() + Duration::from_secs(10);
            let list = context.config.list();
            context.peers.request(&list, &vm, PeerRequest::LoneRun(run), deadline).await
        }
    };
    let (a, b) = tokio::join!(send_request("a"), send_request("b"));
    assert_eq!(a, Ok(PeerResponse::Lone(LoneVerdict::Cleared)));
    assert_eq!(b, Ok(PeerResponse::Lone(LoneVerdict::Quarantined)));
}

#[tokio::test]
async fn new_link_gets_the_versions_of_every_block_at_once() {
    let (context, _) =
        context(1, 1, &[1], "", Box::new(|_, search| (Duration::ZERO, Ok(answer(search)))));
    context.block_versions.apply_report(3, 55, 8, &[4, 5]);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(link::serve(Arc::clone(&context), listener));
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut socket, _) = tokio_tungstenite::client_async(format!("ws://{address}/peer"), stream)
        .await
        .expect("a websocket");
    socket.send(hello("test", PROTOCOL_VERSION)).await.expect("sent");
    let facts = tokio::time::timeout(Duration::from_secs(5), async {
        loop {
            let Some(Ok(Message::Binary(bytes))) = socket.next().await else { return Vec::new() };
            if let Some(Frame::Facts { facts }) = link::decode(&bytes) {
                return facts;
            }
        }
    });
    let body = FactBody::BlockVersions { block: 3, versions: vec![4, 5] };
    assert_eq!(facts.await, Ok(vec![Fact { body, origin: 55, sequence: 8 }]));
}
