//! Experiments that measure the proxy: simulations of one home in virtual time, the cost of
//! state and decisions at scale, and load on real daemons over the loopback interface.

mod compare;
mod error;
mod experiment;
mod flood;
mod latency_histogram;
mod output;
mod path;
mod scale;
mod usage;

pub use crate::{
    compare::compare,
    error::BenchError,
    experiment::{ClassSpec, Experiment, FloodSpec, PathSpec, ScaleSpec},
    output::{Figure, Report},
};

/// Runs the parts that the experiment file contains and prints each figure when it is known.
pub fn run(experiment: &Experiment) -> Result<Report, BenchError> {
    let mut report = Report::new(&experiment.name);
    if let Some(spec) = &experiment.flood {
        flood::run(spec, experiment.seed, &mut report);
    }
    if let Some(spec) = &experiment.scale {
        scale::run(spec, &mut report)?;
    }
    if let Some(spec) = &experiment.path {
        path::run(spec, &mut report)?;
    }
    Ok(report)
}
