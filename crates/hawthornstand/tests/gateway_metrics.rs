//! Compares the metrics of the gateway with their table in docs/OPERATIONS.md.

use std::collections::BTreeSet;
use std::time::Duration;

use hawthornstand::gateway::telemetry::Telemetry;
use hawthornstand::process::log_limit::LogLosses;

const OPERATIONS: &str = include_str!("../../../docs/OPERATIONS.md");

/// Returns the names in the first column of the table under "### Metrics", without labels and `_total`.
fn documented() -> BTreeSet<String> {
    let (_, section) = OPERATIONS.split_once("### Metrics").expect("the section");
    let (section, _) = section.split_once("\n###").expect("the next section");
    let cells = section.lines().filter_map(|line| line.strip_prefix("| `")?.split(" |").next());
    let names = cells.flat_map(|cell| cell.split('`')).filter(|name| name.starts_with("hawthorn"));
    let bare = names.map(|name| name.split('{').next().unwrap_or(name));
    bare.map(|name| name.trim_end_matches("_total").to_string()).collect()
}

#[test]
fn table_lists_every_metric_and_no_other() {
    let telemetry = Telemetry::new(LogLosses::new(|| 0));
    telemetry.record_request("success", Duration::from_millis(20));
    let text = telemetry.encode();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let exported: BTreeSet<String> =
        types.filter_map(|line| line.split(' ').next()).map(str::to_string).collect();
    assert_eq!(documented(), exported);
}

#[test]
fn lost_log_lines_are_exported() {
    let log_losses = LogLosses::new(|| 7);
    log_losses.suppressed.inc_by(3);
    let text = Telemetry::new(log_losses).encode();
    for line in
        ["hawthornstand_log_lines_dropped_total 7", "hawthornstand_log_lines_left_out_total 3"]
    {
        assert!(text.contains(line), "{text}");
    }
}
