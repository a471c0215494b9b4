use std::{fs, path::Path};

use plotters::prelude::{
    BLUE, ChartBuilder, Color, GREEN, IntoDrawingArea, LineSeries, MAGENTA, RED, RGBColor,
    SVGBackend, WHITE,
};
use snafu::ResultExt;

use crate::error::{BenchError, FileSnafu};

const PLOT_SIZE: (u32, u32) = (800, 480);
const COLORS: [RGBColor; 4] = [BLUE, RED, GREEN, MAGENTA];

/// Figures that an experiment has measured, as stored in its JSON report.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub name: String,
    /// Figures in the order in which they were measured.
    pub figures: Vec<Figure>,
}

/// Measured value, identified by variant, load and `what`.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Figure {
    /// What was measured, for instance a daemon, a baseline's queueing discipline, or `full`
    /// for the proxy's own.
    pub variant: String,
    /// Parameter of the measurement, such as a load factor, a lag or a size.
    pub load: f64,
    /// Name of the measured quantity, with its unit.
    pub what: String,
    /// Measured value, in the unit that `what` names.
    pub value: f64,
}

impl Report {
    /// Creates a report without figures.
    pub fn new(name: &str) -> Report {
        Report { name: name.to_owned(), figures: Vec::new() }
    }

    /// Adds a figure and prints it.
    pub fn add(&mut self, variant: &str, load: f64, what: impl Into<String>, value: f64) {
        let figure = Figure { variant: variant.to_owned(), load, what: what.into(), value };
        println!("{:12} {:8} {:36} {:12.3}", figure.variant, load, figure.what, value);
        self.figures.push(figure);
    }

    /// Returns the value of a figure, or `None` if the report does not contain it.
    pub fn value(&self, variant: &str, load: f64, what: &str) -> Option<f64> {
        let found = self
            .figures
            .iter()
            .find(|figure| figure.variant == variant && figure.load == load && figure.what == what);
        found.map(|figure| figure.value)
    }

    /// Writes the report to `dir` as JSON, as CSV and as an SVG plot.
    pub fn write(&self, dir: &Path) -> Result<(), BenchError> {
        let path = |extension: &str| dir.join(format!("{}.{extension}", self.name));
        fs::create_dir_all(dir).context(FileSnafu { file: dir.display().to_string() })?;
        let json = serde_json::to_string_pretty(self).map_err(BenchError::run)?;
        let file = path("json");
        fs::write(&file, json).context(FileSnafu { file: file.display().to_string() })?;
        let mut writer = csv::Writer::from_path(path("csv")).map_err(BenchError::run)?;
        for figure in &self.figures {
            writer.serialize(figure).map_err(BenchError::run)?;
        }
        writer.flush().map_err(BenchError::run)?;
        self.plot(&path("svg")).map_err(BenchError::run)
    }

    /// Plots the 99th percentiles over the load, with a line for each variant and quantity.
    fn plot(&self, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let figures: Vec<&Figure> =
            self.figures.iter().filter(|figure| figure.what.ends_with("p99 ms")).collect();
        let max_of = |value: fn(&Figure) -> f64| {
            figures.iter().map(|figure| value(figure)).fold(1.0, f64::max)
        };
        let (width, height) = (max_of(|figure| figure.load), max_of(|figure| figure.value));
        let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(20)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..width, 0.0..height)?;
        chart.configure_mesh().x_desc("load").y_desc("p99 ms").draw()?;
        let mut names: Vec<(&str, &str)> =
            figures.iter().map(|it| (it.variant.as_str(), it.what.as_str())).collect();
        names.sort_unstable();
        names.dedup();
        for (index, (variant, what)) in names.into_iter().enumerate() {
            let line = figures.iter().filter(|it| it.variant == variant && it.what == what);
            let color = COLORS[index % COLORS.len()];
            chart
                .draw_series(LineSeries::new(line.map(|it| (it.load, it.value)), color.filled()))?;
        }
        area.present()?;
        Ok(())
    }
}
