//! Log positions that a read must observe: the positions of each caller's last writes, the
//! tokens that carry them between daemons, and the primary's past positions, which bound
//! the staleness of a replica. This crate does not depend on members or connections.

mod caller_write_positions;
mod history;
mod token;

pub use crate::{
    caller_write_positions::CallerWritePositions,
    history::PrimaryHistory,
    token::{ConsistencyToken, ParseTokenError},
};

#[cfg(test)]
mod tests;
