//! Classifies SQL requests: whether they may write, and which state they leave
//! on the connection. Text that the parser rejects counts as a write, which only
//! the primary runs.

mod analysis;
mod classify;
mod functions;
mod hints;
mod pin;
mod scan;
mod setting;
mod statement;
mod visitor;

pub use crate::{
    analysis::Analysis, classify::analyze, hints::Hints, pin::PinReason, setting::SettingChange,
    statement::Statement,
};

#[cfg(test)]
mod tests;
