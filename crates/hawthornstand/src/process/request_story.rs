//! Tells what the logs of several processes say of one request.

use std::path::{Path, PathBuf};

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
        for line in text.lines().filter(|line| names_request(line, request_id)) {
            lines.push((timestamp(line).to_string(), format!("{}: {line}", name(file))));
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

/// Returns whether a line has the request's id as a value.
fn names_request(line: &str, request_id: &str) -> bool {
    line.split_whitespace().any(|word| word.strip_prefix("request=") == Some(request_id))
}

/// Returns the timestamp of a line, which stands after its first bracket.
fn timestamp(line: &str) -> &str {
    let after = line.split_once('[').map_or(line, |(_, after)| after);
    after.split_whitespace().next().unwrap_or("")
}

/// Returns the name of a file without its folder.
fn name(file: &Path) -> String {
    file.file_name()
        .map_or_else(|| file.display().to_string(), |name| name.to_string_lossy().into())
}
