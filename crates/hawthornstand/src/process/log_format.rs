//! Log format: one JSON object per line, with the key-value pairs of the `log` crate.

use std::io::{self, Write};

use env_logger::{Builder, Env};
use log::Record;
use log::kv::{self, Key, Value, VisitSource};
use serde::Serializer;
use serde::ser::SerializeMap;

/// Returns a logger builder with this format; `filter` is the default where `RUST_LOG` is not set.
pub fn builder(filter: &str) -> Builder {
    let mut builder = Builder::from_env(Env::default().default_filter_or(filter));
    builder.format(|formatter, record| {
        let time = formatter.timestamp_millis().to_string();
        write_line(formatter, &time, record)
    });
    builder
}

/// Writes one line: time, level, module and message, then the key-value pairs in the order of the log call.
pub fn write_line(out: &mut impl Write, time: &str, record: &Record<'_>) -> io::Result<()> {
    let mut line = Vec::new();
    let mut serializer = serde_json::Serializer::new(&mut line);
    let mut object = serializer.serialize_map(None)?;
    object.serialize_entry("time", time)?;
    object.serialize_entry("level", record.level().as_str())?;
    object.serialize_entry("module", record.target())?;
    object.serialize_entry("message", record.args())?;
    let visited = record.key_values().visit(&mut PairVisitor(&mut object));
    visited.map_err(io::Error::other)?;
    object.end()?;
    line.push(b'\n');
    out.write_all(&line)
}

/// Visitor that adds key-value pairs to a JSON object.
struct PairVisitor<'a, M>(&'a mut M);

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for PairVisitor<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0
            .serialize_entry(key.as_str(), &value)
            .map_err(|_| kv::Error::msg("cannot serialize the value"))
    }
}
