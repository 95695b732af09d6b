//! Runs the stand-ins for the backend servers of a published file in one process.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use hawthornstand_standins::leaf::{Leaf, LeafOptions};
use hawthornstand_standins::leaf_model::{Behaviour, SliceRange};
use hawthornstand_standins::serve::AcceptOptions;
use serde::Deserialize;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "published file with backend servers, YAML", meta = "FILE")]
    servers: PathBuf,
    #[options(help = "run only the backend server with this identity", meta = "ID")]
    only: Option<String>,
    #[options(help = "time a search takes, in milliseconds", default = "5")]
    service_time_ms: u64,
    #[options(help = "time a connection takes, in milliseconds", default = "6")]
    connect_cost_ms: u64,
}

#[derive(Deserialize)]
/// The published file.
struct ServersFile {
    backend_servers: Vec<PublishedServer>,
}

#[derive(Deserialize)]
/// One published backend server; other fields of the file are ignored.
struct PublishedServer {
    address: String,
    connection_limit: usize,
    id: String,
    slice_end: u64,
    slice_start: u64,
    slots: usize,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let servers: ServersFile = match std::fs::read_to_string(&arguments.servers)
        .map_err(|e| e.to_string())
        .and_then(|text| serde_yaml_ng::from_str(&text).map_err(|e| e.to_string()))
    {
        Ok(servers) => servers,
        Err(e) => {
            eprintln!("{}: {e}", arguments.servers.display());
            return ExitCode::from(2);
        }
    };
    let mut running = Vec::new();
    for server in servers.backend_servers {
        if arguments.only.as_ref().is_some_and(|only| *only != server.id) {
            continue;
        }
        let options = LeafOptions {
            accept: AcceptOptions {
                connect_cost: Duration::from_millis(arguments.connect_cost_ms),
                limit: Some(server.connection_limit),
                ..AcceptOptions::default()
            },
            address: server.address.clone(),
            behaviour: Behaviour {
                service_time: Duration::from_millis(arguments.service_time_ms),
                slices: vec![SliceRange { start: server.slice_start, end: server.slice_end }],
                ..Behaviour::default()
            },
            slots: server.slots,
        };
        match Leaf::start(options) {
            Ok(leaf) => running.push(leaf),
            Err(e) => {
                eprintln!("failed to listen on {}: {e}", server.address);
                return ExitCode::FAILURE;
            }
        }
    }
    std::future::pending::<()>().await;
    ExitCode::SUCCESS
}
