//! Admission control and scheduling of requests. Urgent ranks are served first; each
//! row of the policy table has a guaranteed minimum share of the slots (its floor), and
//! weights divide a rank's share between names, or between organisations. Requests beyond a limit, and those that
//! are not expected to meet their target latency, are refused early.
//!
//! This crate does not deal with members, replication positions or connections.

mod account;
mod candidate;
mod class;
mod lane;
mod picked;
mod refusal;
mod retry_budget;
mod scheduler;
mod queue_request;
mod waiting;

pub use crate::{
    candidate::Candidate,
    lane::Lane,
    picked::Picked,
    queue_request::QueueRequest,
    refusal::Refusal,
    retry_budget::RetryBudget,
    scheduler::{Discipline, Scheduler},
};

#[cfg(test)]
mod tests;
