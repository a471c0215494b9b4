use std::{fmt::Write, time::UNIX_EPOCH};

use serde_json::{Map, Value};
use spdlog::{Record, StringBuf, formatter};

/// Formats each record as one flat JSON object on a line: the time in milliseconds since
/// the Unix epoch, the level, the kind and the record's own fields.
#[derive(Clone, Debug)]
pub(crate) struct JsonLines;

impl formatter::Formatter for JsonLines {
    fn format(
        &self,
        record: &Record<'_>,
        dest: &mut StringBuf,
        _: &mut formatter::FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let line = Value::Object(object(record));
        writeln!(dest, "{line}").map_err(spdlog::Error::FormatRecord)
    }
}

fn object(record: &Record<'_>) -> Map<String, Value> {
    let mut line = Map::new();
    let since = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
    line.insert("time_ms".to_owned(), Value::from(since.as_millis() as u64));
    line.insert("level".to_owned(), Value::from(record.level().as_str()));
    let kind = record.key_values().into_iter().next();
    match kind {
        Some((_, kind)) => {
            line.insert("kind".to_owned(), Value::from(kind.to_string()));
            let fields = serde_json::from_str(record.payload()).unwrap_or_default();
            line.extend::<Map<String, Value>>(fields);
        }
        None => {
            line.insert("kind".to_owned(), Value::from("message"));
            line.insert("message".to_owned(), Value::from(record.payload()));
        }
    }
    line
}
