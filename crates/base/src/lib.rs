//! Types that all other crates share: identifiers, log positions, ranks and time. The crate
//! performs no I/O, so the decision crates, which must not perform any, can depend on it.

mod caller;
mod group;
mod kind;
mod member;
mod organisation;
mod position;
mod rank;
mod request;
pub mod store_version;
mod term;
mod time;
mod vm;
mod zone;

pub use crate::{
    caller::CallerId,
    group::GroupId,
    kind::StatementKind,
    member::MemberId,
    organisation::OrganisationId,
    position::{ParsePositionError, Position},
    rank::{ParseRankError, Rank},
    request::RequestId,
    term::Term,
    time::{Span, Time},
    vm::VmId,
    zone::Zone,
};

/// Hash map with a fast, non-cryptographic hasher.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast, non-cryptographic hasher.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;

#[cfg(test)]
mod tests;
