//! The operators' command-line tool.

use std::io::{ErrorKind, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use hawthornstand::process::cli::{self, CliError, OutputFormat};
use hawthornstand::process::request_timeline;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "send a booking, getting a ticket first")]
    Book(Book),
    #[options(help = "validate settings and published configuration offline")]
    Check(Check),
    #[options(help = "show which backend servers a service's selector matches")]
    Explain(Explain),
    #[options(help = "show the log lines of one request, ordered by time")]
    ExplainRequest(ExplainRequest),
    #[options(help = "send a search")]
    Query(Query),
    #[options(help = "show the state of a VM")]
    Status(Status),
}

#[derive(Debug, Options)]
struct Book {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "address of a VM's caller interface", meta = "HOST:PORT")]
    address: String,
    #[options(required, help = "service name")]
    service: String,
    #[options(required, help = "key that selects the shard")]
    key: String,
    #[options(required, help = "payload of the booking")]
    payload: String,
    #[options(help = "ticket of an earlier attempt")]
    ticket: Option<String>,
}

#[derive(Debug, Options)]
struct Check {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(help = "folder with published values, one file per key", meta = "DIR")]
    published: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct Explain {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "address of a VM's admin interface", meta = "HOST:PORT")]
    address: String,
    #[options(help = "print JSON")]
    json: bool,
    #[options(free, required, help = "service name")]
    service: String,
}

#[derive(Debug, Options)]
struct ExplainRequest {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "id of the request")]
    id: String,
    #[options(free, help = "log files of the VMs")]
    files: Vec<PathBuf>,
}

#[derive(Debug, Options)]
struct Query {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "address of a VM's caller interface", meta = "HOST:PORT")]
    address: String,
    #[options(required, help = "service name")]
    service: String,
    #[options(required, help = "query text")]
    query: String,
    #[options(help = "maximum number of hits", default = "10")]
    limit: u64,
    #[options(help = "fail if any slice is missing")]
    complete: bool,
    #[options(help = "W3C trace context", meta = "TRACEPARENT")]
    traceparent: Option<String>,
    #[options(help = "time allowed, in milliseconds", default = "1000")]
    timeout_ms: u64,
    #[options(help = "print JSON")]
    json: bool,
}

#[derive(Debug, Options)]
struct Status {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "address of a VM's admin interface", meta = "HOST:PORT")]
    address: String,
    #[options(help = "print JSON")]
    json: bool,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = arguments.command else {
        eprintln!(
            "no command given\n\n{}\n\n{}",
            Arguments::usage(),
            Arguments::command_list().unwrap_or_default()
        );
        return ExitCode::from(cli::EXIT_USAGE);
    };
    match run(command).await {
        Ok(text) => match writeln!(std::io::stdout(), "{text}") {
            Ok(()) => ExitCode::SUCCESS,
            // The reader, such as `head`, has what it wants.
            Err(error) if error.kind() == ErrorKind::BrokenPipe => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("cannot write the output: {error}");
                ExitCode::FAILURE
            }
        },
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs a command and returns its output.
async fn run(command: Command) -> Result<String, CliError> {
    let format = |json: bool| if json { OutputFormat::Json } else { OutputFormat::Text };
    match command {
        Command::Book(book) => {
            cli::book(
                &book.address,
                &book.service,
                &book.key,
                &book.payload,
                book.ticket.as_deref(),
            )
            .await
        }
        Command::Check(check) => cli::check(check.settings.as_deref(), check.published.as_deref()),
        Command::Explain(explain) => {
            cli::explain(&explain.address, &explain.service, format(explain.json)).await
        }
        Command::ExplainRequest(explain) => request_timeline::render(&explain.id, &explain.files)
            .map_err(|error| CliError::Usage(error.to_string())),
        Command::Query(query) => {
            let request = cli::QueryRequest {
                complete_only: query.complete,
                limit: query.limit,
                query: query.query,
                service: query.service,
                timeout_ms: query.timeout_ms,
                traceparent: query.traceparent,
            };
            cli::query(&query.address, &request, format(query.json)).await
        }
        Command::Status(status) => cli::status(&status.address, format(status.json)).await,
    }
}
