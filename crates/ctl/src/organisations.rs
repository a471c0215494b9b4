use std::{
    collections::BTreeMap,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{error::CtlError, metrics};

/// Time between the two reads from which rates are calculated.
const INTERVAL: Duration = Duration::from_secs(1);
/// What precedes the metric's name in the metrics by organisation.
const PREFIX: &str = "corianderwharf_organisation_";
/// Metric with the number of organisations that a daemon does not list.
const NOT_LISTED: &str = "corianderwharf_organisations_not_listed ";

/// Counters that are shown, with the headings of their columns.
const COUNTERS: [(&str, &str); 7] = [
    ("tokens_total", "tokens"),
    ("tokens_refunded_total", "refunded"),
    ("refused_key_total", "ref-key"),
    ("refused_quota_total", "ref-quota"),
    ("refused_queue_total", "ref-queue"),
    ("connections_opened_total", "opened"),
    ("connections_evicted_total", "evicted"),
];

/// Values of a daemon's metrics by organisation and metric.
type Values = BTreeMap<String, BTreeMap<String, f64>>;

/// The metrics of one daemon.
#[derive(Debug, Default)]
struct DaemonMetrics {
    values: Values,
    not_listed: u64,
}

/// One organisation's line of the table.
#[derive(Debug, Default)]
struct Row {
    limit: Option<f64>,
    counters: [f64; COUNTERS.len()],
    connections: f64,
    carriers: Vec<String>,
}

/// Returns a table of the organisations by the metrics of these daemons: counts per second, or with
/// `once` since the start of each daemon.
///
/// # Errors
///
/// Returns an error if none of the daemons answers.
pub(crate) fn organisations(addrs: &[SocketAddr], once: bool) -> Result<String, CtlError> {
    let started = Instant::now();
    let first = metrics::read_all(addrs);
    let second = if once {
        None
    } else {
        thread::sleep(INTERVAL.saturating_sub(started.elapsed()));
        let elapsed = started.elapsed().as_secs_f64();
        Some((metrics::read_all(addrs), elapsed))
    };
    let (before, after, seconds) = match second {
        Some((second, elapsed)) => (Some(first), second, elapsed),
        None => (None, first, 1.0),
    };
    let mut text = String::new();
    let mut daemons = Vec::new();
    for (index, (addr, after)) in addrs.iter().zip(after).enumerate() {
        let before = match before.as_ref().map(|before| &before[index]) {
            None => Ok(None),
            Some(Ok(before)) => Ok(Some(parse(before))),
            Some(Err(error)) => Err(error.to_string()),
        };
        match (before, after) {
            (Ok(before), Ok(after)) => daemons.push((*addr, before, parse(&after))),
            (Err(error), _) => text.push_str(&format!("{addr}: not read: {error}\n")),
            (_, Err(error)) => text.push_str(&format!("{addr}: not read: {error}\n")),
        }
    }
    if daemons.is_empty() {
        return Err(CtlError::NoDaemon { what: format!("metrics\n{}", text.trim_end()) });
    }
    for (addr, _, after) in &daemons {
        if after.not_listed > 0 {
            text.push_str(&format!("{addr}: {} organisations not listed\n", after.not_listed));
        }
    }
    let unit = if once { "counts since the start of each daemon" } else { "counts per second" };
    text.push_str(&format!("{unit}; {} of {} daemons\n", daemons.len(), addrs.len()));
    text.push_str(&table(&rows(&daemons, seconds), once));
    Ok(text)
}

fn rows(
    daemons: &[(SocketAddr, Option<DaemonMetrics>, DaemonMetrics)],
    seconds: f64,
) -> BTreeMap<String, Row> {
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    for (addr, before, after) in daemons {
        for (name, values) in &after.values {
            let row = rows.entry(name.clone()).or_default();
            let value = |metric: &str| values.get(metric).copied();
            for (count, (metric, _)) in row.counters.iter_mut().zip(COUNTERS) {
                let last = value(metric).unwrap_or_default();
                let first =
                    before.as_ref().and_then(|it| it.values.get(name)?.get(metric).copied());
                // A counter that has fallen belongs to a process that was started in between.
                let first = first.filter(|first| *first <= last).unwrap_or_default();
                *count += (last - first) / seconds;
            }
            row.connections += value("connections").unwrap_or_default();
            // Daemons differ while a configuration comes into force.
            row.limit = row.limit.into_iter().chain(value("limit_per_s")).reduce(f64::max);
            if let Some(share) = value("share") {
                row.carriers.push(format!("{}={:.1}%", addr.ip(), share * 100.0));
            }
        }
    }
    rows
}

fn table(rows: &BTreeMap<String, Row>, once: bool) -> String {
    let mut lines = vec![vec!["organisation".to_owned(), "limit/s".to_owned()]];
    lines[0].extend(COUNTERS.iter().map(|(_, heading)| (*heading).to_owned()));
    lines[0].extend(["conns".to_owned(), "carriers".to_owned()]);
    for (name, row) in rows {
        let limit = row.limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
        let mut line = vec![name.clone(), limit];
        let digits = if once { 0 } else { 1 };
        line.extend(row.counters.iter().map(|count| format!("{count:.digits$}")));
        let carriers =
            if row.carriers.is_empty() { "-".to_owned() } else { row.carriers.join(" ") };
        line.extend([row.connections.to_string(), carriers]);
        lines.push(line);
    }
    let width = |column: usize| lines.iter().map(|line| line[column].chars().count()).max();
    let widths: Vec<_> = (0..lines[0].len()).map(|it| width(it).unwrap_or_default()).collect();
    let mut text = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths).enumerate().map(|(column, (cell, width))| {
            // Names and carriers are left-aligned, numbers right-aligned.
            let is_text = column == 0 || column + 1 == widths.len();
            if is_text { format!("{cell:width$}") } else { format!("{cell:>width$}") }
        });
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}

fn parse(text: &str) -> DaemonMetrics {
    let mut metrics = DaemonMetrics::default();
    for line in text.lines() {
        if let Some(count) = line.strip_prefix(NOT_LISTED) {
            metrics.not_listed = count.trim().parse().unwrap_or_default();
        } else if let Some((name, metric, value)) = parse_line(line) {
            metrics.values.entry(name).or_default().insert(metric.to_owned(), value);
        }
    }
    metrics
}

/// The organisation, the metric and its value; `None` for lines about anything else.
fn parse_line(line: &str) -> Option<(String, &str, f64)> {
    let (metric, rest) = line.strip_prefix(PREFIX)?.split_once("{organisation=\"")?;
    let (label, value) = rest.rsplit_once("\"} ")?;
    let value: f64 = value.trim().parse().ok()?;
    Some((unescape(label), metric, value)).filter(|_| value.is_finite())
}

fn unescape(label: &str) -> String {
    let mut name = String::new();
    let mut chars = label.chars();
    while let Some(c) = chars.next() {
        name.extend(if c == '\\' { chars.next() } else { Some(c) });
    }
    name
}

#[cfg(test)]
mod tests;
