//! Limits of organisations' operations, which hold for all carriers together. The crate performs no
//! I/O and reads no clock.
//!
//! Each slot of the list of carriers owns an equal share of every limit. Owners lend parts of their
//! shares to the carriers that have demand for an organisation, and learn of the demand from
//! heartbeats.
//!
//! **Architecture invariant:** at every moment the parts of a limit that all carriers together may
//! use are at most the whole limit, whatever messages are lost, delayed or reordered and whatever
//! processes stand still or restart. It rests on these rules:
//!
//! - A borrower uses a loan until [`LOAN_DURATION`] after it sent the heartbeat that the lender's
//!   message echoes. The lender sent the message later than that.
//! - The lender counts the loan as used until [`RECLAIM_DELAY`] after it received the last heartbeat
//!   of the borrower before it sent the message, which is not earlier than the echoed one, or until
//!   the borrower echoes that it has received a later message, which replaces the loan.
//! - A process does not use or lend its own share before [`RECLAIM_DELAY`] after its start, when all
//!   loans of its predecessor have expired, or before every other carrier has received a heartbeat of
//!   it: a carrier that hears from a new process drops what it has borrowed from the earlier one.
//! - The tokens of an expired loan are kept, but not used, for less than the difference between
//!   [`LOAN_DURATION`] and [`RECLAIM_DELAY`]. A renewal that arrives in that time was sent before the
//!   lender could have used the part.
//! - Buckets start empty, except for the tokens of the time in which nobody has used the share: if the
//!   same VM has held the slot since before the start of its process, that is the time since the start
//!   or since the last loan of a predecessor was in use, as each other carrier reports.
//! - The part of another slot is used only once nobody else can. This is for the caller to ensure
//!   ([`QuotaShares::set_taken`]).
//! - The share of a slot that changes hands is used only when the earlier holder has been without a grant
//!   for longer than [`RECLAIM_DELAY`]. This is for the caller to ensure.

mod account;
mod demand;
mod limit;
mod loans;
mod message;
mod organisation_key;
mod own_share;
mod peer;
mod shares;
mod token_bucket;

pub use crate::{
    limit::Limit,
    message::{MAX_ORGANISATIONS, QuotaMessage},
    organisation_key::OrganisationKey,
    shares::{LOAN_DURATION, QuotaShares, RECLAIM_DELAY},
    token_bucket::TokenBucket,
};

/// Parts into which a limit is divided between carriers. Whole parts add up exactly.
pub(crate) const WHOLE: u32 = 1_000_000;

/// A duration in seconds.
pub(crate) fn seconds(span: base::Span) -> f64 {
    span.as_micros() as f64 / 1e6
}

#[cfg(test)]
mod tests;
