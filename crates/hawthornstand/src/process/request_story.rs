//! Tells what the logs of several processes say of one request.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

/// Keys that stand before the message, in this order.
const HEADING: [&str; 3] = ["time", "level", "module"];

/// A log that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("{file} cannot be read: {source}")]
pub struct UnreadableLog {
    file: String,
    source: std::io::Error,
}

/// Returns the lines about a request, in the order of their timestamps, each with the file it stands in.
pub fn tell(request_id: &str, files: &[PathBuf]) -> Result<String, UnreadableLog> {
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
            "no line names request {request_id}: it needed no decision, came to another VM, or its lines were left out"
        ));
    }
    lines.sort();
    let lines: Vec<String> = lines.into_iter().map(|(_, line)| line).collect();
    Ok(lines.join("\n"))
}

/// Reads a line; what a collector wrote before the object is skipped.
fn parse(line: &str) -> Option<Map<String, Value>> {
    let object = &line[line.find('{')?..];
    serde_json::from_str(object).ok()
}

/// Writes a line for a reader.
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

/// Returns a value without quotes.
fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

/// Returns the name of a file without its folder.
fn name(file: &Path) -> String {
    file.file_name()
        .map_or_else(|| file.display().to_string(), |name| name.to_string_lossy().into())
}
