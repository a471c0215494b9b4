//! Which waiting request runs next: urgent ranks first, a floor for every row
//! of the table, weights within a rank, limits, and early refusal of what could
//! not meet its target. Knows nothing of members, positions or connections.

mod class;
mod lane;
mod picked;
mod refusal;
mod retry_budget;
mod scheduler;
mod queue_request;

pub use crate::{
    lane::Lane,
    picked::Picked,
    queue_request::QueueRequest,
    refusal::Refusal,
    retry_budget::RetryBudget,
    scheduler::{Discipline, Scheduler},
};

#[cfg(test)]
mod tests;
