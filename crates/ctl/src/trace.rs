use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use serde_json::Value;
use snafu::ResultExt;

use crate::error::{CtlError, ReadSnafu};

/// Kinds of line that tell what a daemon believes from then on.
const BELIEFS: [&str; 9] = [
    "start",
    "configuration in force",
    "role",
    "readiness",
    "evacuation",
    "primary",
    "dependency lost",
    "dependency regained",
    "stopping",
];

/// A line of a log, with the file that it stands in.
struct Line<'a> {
    at_ms: u64,
    file: String,
    text: &'a str,
}

/// What logs tell of a request, and the last of each kind of belief before it.
///
/// # Errors
///
/// If a file cannot be read. Lines that are no JSON are passed over.
pub(crate) fn trace(id: &str, files: &[PathBuf]) -> Result<String, CtlError> {
    let mut texts = Vec::new();
    for file in files {
        let name = file.display().to_string();
        let text = fs::read_to_string(file).context(ReadSnafu { file: name.clone() })?;
        texts.push((short(file), text));
    }
    let mut lines = Vec::new();
    for (file, text) in &texts {
        take(id, file, text, &mut lines);
    }
    if lines.is_empty() {
        let message = "no line names it: it succeeded, or its line was dropped";
        return Ok(format!("{id}: {message} (\"log lines dropped\")\n"));
    }
    lines.sort_by_key(|line| line.at_ms);
    Ok(lines.iter().map(|line| format!("{} {}\n", line.file, line.text)).collect())
}

fn take<'a>(id: &str, file: &str, text: &'a str, lines: &mut Vec<Line<'a>>) {
    let mut beliefs: BTreeMap<String, Line<'a>> = BTreeMap::new();
    for line in text.lines() {
        // Daemons of a trial may write other lines as well.
        let Ok(value) = serde_json::from_str::<Value>(line) else { continue };
        let kind = value["kind"].as_str().unwrap_or_default();
        let found = Line {
            at_ms: value["time_ms"].as_u64().unwrap_or_default(),
            file: file.to_owned(),
            text: line,
        };
        if value["request"] == id {
            lines.extend(std::mem::take(&mut beliefs).into_values());
            lines.push(found);
        } else if BELIEFS.contains(&kind) {
            if kind == "start" {
                // What an earlier run believed is gone.
                beliefs.clear();
            }
            // Of a group's primary the last line of each group counts.
            let group = value["group"].as_str().unwrap_or_default();
            beliefs.insert(format!("{kind} {group}"), found);
        }
    }
}

fn short(file: &Path) -> String {
    file.file_name().unwrap_or(file.as_os_str()).to_string_lossy().into_owned()
}

#[cfg(test)]
mod tests;
