//! Distributed tracing with one span per hop, propagated as W3C trace context.

use std::fs::{File, OpenOptions};
use std::io::Write;

use fastrace::Span;
use fastrace::collector::{Config, Reporter, SpanContext, SpanRecord};
use serde_json::json;

use crate::settings::TraceSettings;

/// Starts the span collector.
pub fn start(settings: &TraceSettings, vm_id: &str) -> std::io::Result<()> {
    let file = match settings.file.as_str() {
        "" => None,
        path => Some(OpenOptions::new().create(true).append(true).open(path)?),
    };
    fastrace::set_reporter(SpanWriter { file, vm_id: vm_id.to_string() }, Config::default());
    Ok(())
}

/// Creates the first span of a request on this VM; it is recorded if the caller sampled it or the sampling rate selects it.
pub fn root_span(name: &'static str, traceparent: &str, sample_per_million: u64) -> Span {
    if let Some(parent) = SpanContext::decode_w3c_traceparent(traceparent) {
        return if parent.sampled { Span::root(name, parent) } else { Span::noop() };
    }
    if rand::random_range(0..1_000_000) < sample_per_million {
        return Span::root(name, SpanContext::random());
    }
    Span::noop()
}

/// Creates the span of a hop whose parent span is in another task or process.
pub fn child_span(name: &'static str, traceparent: &str) -> Span {
    root_span(name, traceparent, 0)
}

/// Encodes a span context as a `traceparent` header value.
pub fn traceparent_of(context: SpanContext) -> String {
    context.encode_w3c_traceparent()
}

/// Writes spans as JSON lines to a file or to the log.
struct SpanWriter {
    file: Option<File>,
    vm_id: String,
}

impl Reporter for SpanWriter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in spans {
            let line = json!({
                "trace_id": span.trace_id.to_string(),
                "span_id": span.span_id.to_string(),
                "parent_id": span.parent_id.to_string(),
                "name": span.name,
                "vm": self.vm_id,
                "begin_unix_ns": span.begin_time_unix_ns,
                "duration_ns": span.duration_ns,
            })
            .to_string();
            let Some(file) = &mut self.file else {
                log::info!(target: "trace", "{line}");
                continue;
            };
            if let Err(e) = writeln!(file, "{line}") {
                log::warn!(
                    "cannot write to the trace file: {e}; spans go to the log from now on; check the trace file's directory"
                );
                self.file = None;
            }
        }
    }
}
