use std::{fs, path::Path};

use snafu::ResultExt;

use crate::{
    error::{BenchError, FileSnafu},
    output::Report,
};

/// Reads two JSON reports and formats their figures side by side, with the change in percent.
/// Figures that only the second report contains are left out.
pub fn compare(first: &Path, second: &Path) -> Result<String, BenchError> {
    let (first, second) = (load(first)?, load(second)?);
    let mut text = String::new();
    for figure in &first.figures {
        let other = second.value(&figure.variant, figure.load, &figure.what);
        let line = match other {
            Some(other) => format!(
                "{:12} {:8} {:36} {:12.3} {:12.3} {:+8.1}%\n",
                figure.variant,
                figure.load,
                figure.what,
                figure.value,
                other,
                change_percent(figure.value, other)
            ),
            None => {
                format!(
                    "{} {} {}: only in the first report\n",
                    figure.variant, figure.load, figure.what
                )
            }
        };
        text.push_str(&line);
    }
    Ok(text)
}

fn change_percent(before: f64, after: f64) -> f64 {
    if before == 0.0 { 0.0 } else { (after - before) / before * 100.0 }
}

fn load(path: &Path) -> Result<Report, BenchError> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).context(FileSnafu { file: file.clone() })?;
    serde_json::from_str(&text)
        .map_err(|error| BenchError::Parse { file, message: error.to_string() })
}
