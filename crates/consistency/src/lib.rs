//! What a read must see: positions of each caller's last writes, tokens that
//! carry them between daemons, and how old the data of a replica is. Knows
//! nothing of members or connections.

mod history;
mod caller_write_positions;
mod token;

pub use crate::{
    caller_write_positions::CallerWritePositions,
    history::PrimaryHistory,
    token::{ConsistencyToken, ParseTokenError},
};

#[cfg(test)]
mod tests;
