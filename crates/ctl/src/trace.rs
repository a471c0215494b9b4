use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use serde_json::Value;
use snafu::ResultExt;

use crate::error::{CtlError, ReadSnafu};

/// Kinds of log line that record a change of the daemon's state. Of each kind, a trace shows
/// the last line before the request.
const STATE_KINDS: [&str; 9] = [
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

/// A log line and the name of its file.
struct Line<'a> {
    at_ms: u64,
    file: String,
    text: &'a str,
}

/// Returns the log lines that name the request, in order of time, and each daemon's last
/// state lines before them.
///
/// # Errors
///
/// Returns an error if a file cannot be read. Lines that are not JSON are skipped.
pub(crate) fn trace(id: &str, files: &[PathBuf]) -> Result<String, CtlError> {
    let mut texts = Vec::new();
    for file in files {
        let name = file.display().to_string();
        let text = fs::read_to_string(file).context(ReadSnafu { file: name.clone() })?;
        texts.push((file_name(file), text));
    }
    let mut lines = Vec::new();
    for (file, text) in &texts {
        collect_lines(id, file, text, &mut lines);
    }
    if lines.is_empty() {
        let message = "no line names it: it succeeded, or its line was dropped";
        return Ok(format!("{id}: {message} (\"log lines dropped\")\n"));
    }
    lines.sort_by_key(|line| line.at_ms);
    Ok(lines.iter().map(|line| format!("{} {}\n", line.file, line.text)).collect())
}

fn collect_lines<'a>(id: &str, file: &str, text: &'a str, lines: &mut Vec<Line<'a>>) {
    let mut states: BTreeMap<String, Line<'a>> = BTreeMap::new();
    for line in text.lines() {
        // The output of a local cluster's daemons may contain other lines as well.
        let Ok(value) = serde_json::from_str::<Value>(line) else { continue };
        let kind = value["kind"].as_str().unwrap_or_default();
        let found = Line {
            at_ms: value["time_ms"].as_u64().unwrap_or_default(),
            file: file.to_owned(),
            text: line,
        };
        if value["request"] == id {
            lines.extend(std::mem::take(&mut states).into_values());
            lines.push(found);
        } else if STATE_KINDS.contains(&kind) {
            if kind == "start" {
                // The state of an earlier run does not carry over to the new process.
                states.clear();
            }
            // Lines about a primary are kept per group.
            let group = value["group"].as_str().unwrap_or_default();
            states.insert(format!("{kind} {group}"), found);
        }
    }
}

fn file_name(file: &Path) -> String {
    file.file_name().unwrap_or(file.as_os_str()).to_string_lossy().into_owned()
}

#[cfg(test)]
mod tests;
