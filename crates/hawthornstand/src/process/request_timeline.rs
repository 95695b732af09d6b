//! Collects the log lines of one request from the log files of several processes.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

/// Keys that are printed before the message, in this order.
const HEADING: [&str; 3] = ["time", "level", "module"];

/// Error for a log file that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("cannot read {file}: {source}")]
pub struct UnreadableLog {
    file: String,
    source: std::io::Error,
}

/// Returns the log lines of a request ordered by timestamp, each prefixed with its file name.
pub fn render(request_id: &str, files: &[PathBuf]) -> Result<String, UnreadableLog> {
    let mut lines: Vec<(String, String)> = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .map_err(|source| UnreadableLog { file: file.display().to_string(), source })?;
        for line in text.lines() {
            let Some(entry) = parse(line) else { continue };
            if entry.get("request").and_then(Value::as_str) != Some(request_id) {
                continue;
            }
            let time = entry.get("time").map(plain).unwrap_or_default();
            lines.push((time, format!("{}: {}", name(file), describe(&entry))));
        }
    }
    if lines.is_empty() {
        return Ok(format!(
            "no log line has request id {request_id}: the request logged nothing, was handled by another VM, or its lines were suppressed"
        ));
    }
    lines.sort();
    let lines: Vec<String> = lines.into_iter().map(|(_, line)| line).collect();
    Ok(lines.join("\n"))
}

/// Parses a log line, skipping any prefix that a log collector wrote before the JSON object.
fn parse(line: &str) -> Option<Map<String, Value>> {
    let object = &line[line.find('{')?..];
    serde_json::from_str(object).ok()
}

/// Formats a log entry as one line of text.
fn describe(entry: &Map<String, Value>) -> String {
    let [time, level, module] = HEADING.map(|key| entry.get(key).map(plain).unwrap_or_default());
    let message = entry.get("message").map(plain).unwrap_or_default();
    let mut text = format!("[{time} {level} {module}] {message}");
    for (key, value) in entry {
        if HEADING.contains(&key.as_str()) || key == "message" {
            continue;
        }
        // Writing to a string cannot fail.
        let _ = write!(text, " {key}={}", plain(value));
    }
    text
}

/// Returns a value as text, strings without quotes.
fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

/// Returns the file name without its directory.
fn name(file: &Path) -> String {
    file.file_name()
        .map_or_else(|| file.display().to_string(), |name| name.to_string_lossy().into())
}
