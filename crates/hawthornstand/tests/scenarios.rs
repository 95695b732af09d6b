//! Runs the scripted scenarios; `docs/TESTING.md` describes the script language.

mod scenario;

use std::path::PathBuf;

use rstest::rstest;

#[rstest]
fn script(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    let mut runner = scenario::Runner::new();
    datadriven::walk(&path.display().to_string(), |file| file.run(|case| runner.run(case)));
}

/// Scenarios listed in KNOWN-RED.txt; `scripts/known-red` runs them.
#[rstest]
#[ignore = "listed in KNOWN-RED.txt"]
fn known_red(#[files("tests/scenarios_known_red/*.txt")] path: PathBuf) {
    let mut runner = scenario::Runner::new();
    datadriven::walk(&path.display().to_string(), |file| file.run(|case| runner.run(case)));
}
