//! The daemon of an entry VM.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use hawthornstand::process::daemon;
use hawthornstand::process::log_format;
use hawthornstand::process::shutdown::ShutdownOutcome;
use hawthornstand::settings;

/// Used because the system allocator took a fifth of the time of a backend call.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit code for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit code for a shutdown that ended while requests were running.
const EXIT_INTERRUPTED: u8 = 3;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "settings file, YAML", meta = "FILE")]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    log_format::builder("info").init();
    let settings = match settings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings {
                eprintln!("{finding}");
            }
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            log::error!("cannot start the async runtime: {e}; check the thread limit");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(daemon::run(settings)) {
        Ok(ShutdownOutcome::Clean) => ExitCode::SUCCESS,
        Ok(ShutdownOutcome::Interrupted) => ExitCode::from(EXIT_INTERRUPTED),
        Err(e) => {
            log::error!(
                "cannot start: {e}; check that the addresses belong to this VM and are free"
            );
            ExitCode::FAILURE
        }
    }
}
