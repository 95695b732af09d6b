//! Output of the command line tool for a VM that runs the gateway.

use std::time::Duration;

use hawthornstand::gateway::caller_load::CallerLoad;
use hawthornstand::gateway::status::{GatewayStatus, LimitsStatus, ServerStatus, ServiceStatus};
use hawthornstand::process::cli::{self, OutputFormat};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

fn server(id: &str, availability: &str, listing: &str) -> ServerStatus {
    ServerStatus {
        id: id.to_string(),
        address: "10.1.0.7:8001".to_string(),
        proximity: "same region".to_string(),
        listing: listing.to_string(),
        availability: availability.to_string(),
        expected_ms: 23,
        failure_percent: 4,
        leaving_for_ms: (id == "i-3").then_some(1200),
        quiet_left_ms: if id == "i-2" { 700 } else { 0 },
        replaced_for_ms: (id == "i-4").then_some(300),
        limit_per_s: (id == "i-2").then_some(26.25),
        in_flight: 1,
        connections: 2,
        max_connections: 3,
    }
}

fn status() -> GatewayStatus {
    GatewayStatus {
        config_version: Some(12),
        is_config_retained: true,
        fleet: 9,
        is_relay: false,
        relays: 4,
        linked_relays: vec![([10, 0, 0, 2], 8224).into(), ([10, 0, 0, 3], 8224).into()],
        callers: CallerLoad { body_bytes: 262_144, connections: 57 },
        caller_limits: LimitsStatus::default(),
        as_of: 4711,
        era: 1,
        confirmed_ms_ago: Some(820),
        store_away: true,
        services: vec![
            ServiceStatus {
                name: "shard-a".to_string(),
                reach: "Partly".to_string(),
                requests_in_window: 190,
                extra_in_window: 21,
                servers: vec![
                    server("i-1", "Usable", "Listed"),
                    server("i-2", "Pausing", "Listed"),
                    server("i-3", "Unusable", "Leaving"),
                ],
            },
            ServiceStatus {
                name: "shard-b".to_string(),
                reach: "Lost".to_string(),
                requests_in_window: 190,
                extra_in_window: 0,
                servers: vec![server("i-4", "Unusable", "Listed")],
            },
        ],
    }
}

/// Starts a server that answers every request with the status of a VM; returns its address.
async fn start_vm() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    let body = serde_json::to_string(&status()).expect("JSON");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1024];
            let _ = stream.read(&mut request).await;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all((head + &body).as_bytes()).await.expect("an answer");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    address
}

#[tokio::test]
async fn status_of_a_vm_on_the_platform() {
    let text = cli::status(&start_vm().await, OutputFormat::Text).await.expect("a status");
    insta::assert_snapshot!(text);
}

#[tokio::test]
async fn service_explained_by_a_vm_on_the_platform() {
    let address = start_vm().await;
    let text = cli::explain(&address, "shard-a", OutputFormat::Text).await.expect("a service");
    insta::assert_snapshot!(text);
    let unknown =
        cli::explain(&address, "shard-z", OutputFormat::Text).await.expect_err("no service");
    assert_eq!(unknown.to_string(), "no service is named shard-z");
}

/// An operator pipes the output into a command that reads only its beginning, as `head` does.
#[test]
fn output_that_nobody_reads_any_more_is_no_failure() {
    use std::process::{Command, Stdio};
    let mut command = Command::new(env!("CARGO_BIN_EXE_hawthornstand"));
    command.args(["explain-request", "r1", "/dev/null"]);
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let output = command
        .stdout(Stdio::from(writer))
        .stderr(Stdio::piped())
        .spawn()
        .and_then(|child| child.wait_with_output())
        .expect("the tool runs");
    assert!(output.stderr.is_empty(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(output.status.success(), "{}", output.status);
}
