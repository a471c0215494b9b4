use std::{collections::BTreeMap, sync::Arc};

use base::{FastMap, GroupId, Rank, Span, Time};
use membership::{Place, Takeover};
use platform::MembersRecord;
use table::{Policy, Table};

use crate::group::GroupHandle;

/// Age up to which the table can show that a name does not exist: several polls, and still within
/// the few seconds in which a new table must be in force.
const DENIAL_MAX_AGE: Span = Span::from_millis(2_000);

/// Routing state of this daemon: the table, which maps names to groups, and what
/// is known of each group.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    version: u64,
    table: Option<Arc<Table>>,
    /// Latest moment at which the table is known to have been the newest one.
    table_confirmed_at: Time,
    groups: FastMap<GroupId, GroupEntry>,
}

/// State of a group as known to this daemon.
#[derive(Debug, Default)]
pub(crate) struct GroupEntry {
    /// The platform's record of its members; `None` before it has arrived.
    pub(crate) members: Option<MembersRecord>,
    /// Latest record of its primary; `None` before one has been read.
    pub(crate) leadership_record: Option<leadership::LeadershipRecord>,
    /// Daemon that is its home; `None` before it is known.
    pub(crate) place: Option<Place>,
    /// While this daemon holds the claim: the time from which no other daemon acts
    /// as the home, and how this daemon became the home.
    pub(crate) became_home: Option<(Time, Takeover)>,
    /// Its task, while this daemon is its home.
    pub(crate) handle: Option<GroupHandle>,
}

impl Directory {
    /// Applies a table if its version is higher than the applied one; returns
    /// whether it did.
    pub(crate) fn set_table(&mut self, version: u64, table: Arc<Table>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.table = Some(table);
        true
    }

    /// Returns the applied table; `None` before the first one has arrived.
    pub(crate) fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Records that the platform, asked at `asked_at`, had no newer table.
    pub(crate) fn confirm_table(&mut self, asked_at: Time) {
        self.table_confirmed_at = self.table_confirmed_at.max(asked_at);
    }

    /// Whether the table is so recent that it can show that a name does not exist.
    pub(crate) fn is_table_recent(&self, now: Time) -> bool {
        self.table_confirmed_at > Time::default()
            && now.since(self.table_confirmed_at) < DENIAL_MAX_AGE
    }

    pub(crate) fn group(&self, id: &GroupId) -> Option<&GroupEntry> {
        self.groups.get(id)
    }

    /// Returns the entry of a group, which is created if missing.
    pub(crate) fn group_mut(&mut self, id: &GroupId) -> &mut GroupEntry {
        self.groups.entry(id.clone()).or_default()
    }

    /// Returns handles to the tasks of all groups whose home is this daemon.
    pub(crate) fn handles(&self) -> Vec<GroupHandle> {
        self.groups.values().filter_map(|entry| entry.handle.clone()).collect()
    }

    /// Returns the group that a name maps to, its task, and the policy of the name
    /// and rank; `None` if this daemon is not the group's home.
    pub(crate) fn local_home(
        &self,
        name: &str,
        rank: Rank,
    ) -> Option<(GroupId, GroupHandle, Policy)> {
        let table = self.table.as_ref()?;
        let group = table.group(name)?;
        let handle = self.group(group)?.handle.clone()?;
        Some((group.clone(), handle, table.policy(name, rank)))
    }

    /// Whether a table is applied and requests for each of its groups can be routed.
    pub(crate) fn is_ready(&self) -> bool {
        let Some(table) = &self.table else { return false };
        let names: BTreeMap<&str, &GroupId> = table.names();
        names.values().all(|group| self.group(group).is_some_and(GroupEntry::is_routable))
    }
}

impl GroupEntry {
    /// Whether requests for the group can be served here or forwarded.
    fn is_routable(&self) -> bool {
        match &self.place {
            Some(Place::Here) => self.handle.is_some() && self.leadership_record.is_some(),
            Some(Place::There { .. }) => true,
            Some(Place::Nowhere) | None => false,
        }
    }
}
