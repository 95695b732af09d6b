//! Runs experiments with open-loop load on a fleet of stand-ins; `docs/MEASUREMENTS.md` lists the commands.

mod deployments;
mod experiments;
mod generator;
mod process;
mod report;

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

/// Names of the experiments on the command line.
const EXPERIMENTS: &[&str] = &[
    "bookings",
    "connections",
    "deployments",
    "kill",
    "leaf-calls",
    "overload",
    "platform-calls",
    "poison",
    "recovery",
    "relayed",
    "repartition",
    "slopes",
    "stragglers",
];

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "experiment")]
    experiment: String,
    #[options(
        help = "executable of the daemon",
        default = "target/release/hawthornstandd",
        meta = "FILE"
    )]
    daemon: PathBuf,
    #[options(help = "folder for plots", default = "target/measurements", meta = "DIR")]
    out: PathBuf,
    #[options(help = "queries per second; 0 for the default of the experiment", default = "0")]
    rate: u64,
    #[options(help = "seconds of each run; 0 for the default of the experiment", default = "0")]
    seconds: u64,
    #[options(help = "seed of the random faults", default = "1")]
    seed: u64,
}

/// Options of an experiment; 0 for `rate` or `seconds` stands for the default of the experiment.
pub struct ExperimentOptions {
    pub daemon: PathBuf,
    pub out: PathBuf,
    pub rate: u64,
    pub seconds: u64,
    pub seed: u64,
}

impl ExperimentOptions {
    /// Returns the seconds of each run, or the default if none are given.
    pub fn seconds_or(&self, default: u64) -> u64 {
        if self.seconds > 0 { self.seconds } else { default }
    }

    /// Returns the queries per second, or the default if none are given.
    pub fn rate_or(&self, default: u64) -> u64 {
        if self.rate > 0 { self.rate } else { default }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let options = ExperimentOptions {
        daemon: arguments.daemon,
        out: arguments.out,
        rate: arguments.rate,
        seconds: arguments.seconds,
        seed: arguments.seed,
    };
    if let Err(e) = std::fs::create_dir_all(&options.out) {
        eprintln!("failed to create {}: {e}", options.out.display());
        return ExitCode::FAILURE;
    }
    let result = match arguments.experiment.as_str() {
        "bookings" => experiments::bookings::run(&options).await,
        "connections" => experiments::connections::run(&options).await,
        "deployments" => experiments::deployments::run(&options).await,
        "kill" => experiments::kill::run(&options).await,
        "leaf-calls" => experiments::leaf_calls::run(&options).await,
        "overload" => experiments::overload::run(&options).await,
        "platform-calls" => experiments::platform_calls::run(&options).await,
        "poison" => experiments::poison::run(&options).await,
        "recovery" => experiments::recovery::run(&options).await,
        "relayed" => experiments::relayed::run(&options).await,
        "repartition" => experiments::repartition::run(&options).await,
        "slopes" => experiments::slopes::run(&options).await,
        "stragglers" => experiments::stragglers::run(&options).await,
        other => {
            eprintln!("unknown experiment {other}; known: {}", EXPERIMENTS.join(", "));
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
