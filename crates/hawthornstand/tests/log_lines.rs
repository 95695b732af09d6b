//! Rate limit and format of log lines, and the log lines of one request collected from several logs.

use std::sync::{Arc, Mutex, PoisonError};

use hawthornstand::process::log_format;
use hawthornstand::process::log_limit::{LINES_PER_WINDOW, RateLimitedLog, WINDOW};
use hawthornstand::process::request_timeline;
use log::{Log, Metadata, Record};
use prometheus_client::metrics::counter::Counter;

/// A log that records the message of every line.
#[derive(Clone, Default)]
struct RecordingLog(Arc<Mutex<Vec<String>>>);

impl Log for RecordingLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(record.args().to_string());
    }

    fn flush(&self) {}
}

impl RecordingLog {
    fn take(&self) -> Vec<String> {
        std::mem::take(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Logs a message as if from the given line of this file: the limit applies to each line of code.
fn write(log: &impl Log, line: u32, text: &str) {
    log.log(
        &Record::builder()
            .file_static(Some(file!()))
            .line(Some(line))
            .args(format_args!("{text}"))
            .build(),
    );
}

#[tokio::test(start_paused = true)]
async fn rate_limit_of_one_kind_leaves_others_alone_and_reports_suppressed_lines() {
    let recorded = RecordingLog::default();
    let suppressed = Counter::default();
    let log = RateLimitedLog::new(recorded.clone(), suppressed.clone());
    for _ in 0..LINES_PER_WINDOW + 25 {
        write(&log, 1, "hedged");
    }
    write(&log, 2, "store unreachable");
    let lines = recorded.take();
    assert_eq!(lines.iter().filter(|line| *line == "hedged").count(), LINES_PER_WINDOW as usize);
    assert_eq!(lines.last().map(String::as_str), Some("store unreachable"));
    assert_eq!(suppressed.get(), 25);
    tokio::time::advance(WINDOW).await;
    write(&log, 1, "hedged");
    assert_eq!(
        recorded.take(),
        ["suppressed 25 lines from the call site of the next line", "hedged"]
    );
}

#[test]
fn lines_of_a_request_are_collected_in_order_from_several_logs() {
    let folder =
        std::env::temp_dir().join(format!("hawthornstand-timeline-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let first = folder.join("front-1.log");
    let second = folder.join("front-2.log");
    let line = |time: &str, message: &str, request: &str, pairs: &str| {
        format!(
            r#"{{"time":"2026-05-06T05:30:{time}Z","level":"INFO","module":"request_handler","message":"{message}","request":"{request}"{pairs}}}"#
        )
    };
    let lines = [
        line("08.133", "answered in part", "ab", r#","missing":"x y","goal_ms":150"#),
        line("08.050", "hedged", "ab", r#","server":"i-1""#),
        line("08.060", "hedged", "abc", r#","server":"i-1""#),
        "not a JSON object".to_string(),
    ];
    std::fs::write(&first, lines.join("\n")).expect("a log");
    let collected = format!("front-2 | {}", line("09.000", "refused", "ab", r#","status":503"#));
    std::fs::write(&second, collected).expect("a log");
    let timeline = request_timeline::render("ab", &[second, first]).expect("readable logs");
    std::fs::remove_dir_all(&folder).expect("a folder to remove");
    insta::assert_snapshot!(timeline);
}

#[test]
fn special_characters_stay_within_one_json_line() {
    let pairs: [(&str, log::kv::Value<'_>); 3] =
        [("request", "a \"b\"\n=c".into()), ("sent", 2.into()), ("not_run", true.into())];
    let text = format_args!("no answer:\n\u{1b}[31m");
    let record = Record::builder()
        .args(text)
        .level(log::Level::Warn)
        .target("hawthornstand::gateway::request_handler")
        .key_values(&pairs)
        .build();
    let mut line = Vec::new();
    log_format::write_line(&mut line, "2026-05-06T05:30:08.133Z", &record).expect("a line");
    insta::assert_snapshot!(String::from_utf8(line).expect("text"));
}

#[test]
fn request_without_lines_is_reported() {
    let timeline = request_timeline::render("ab", &[]).expect("no logs");
    assert!(timeline.starts_with("no log line has request id ab:"));
}
