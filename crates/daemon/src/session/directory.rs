use std::{collections::BTreeMap, sync::Arc};

use base::{FastMap, GroupId, Rank, Time};
use membership::{Place, Takeover};
use platform::MembersRecord;
use table::{Policy, Table};

use crate::group::GroupHandle;

/// Where names lead and where groups are at home, as far as this daemon knows.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    version: u64,
    table: Option<Arc<Table>>,
    groups: FastMap<GroupId, GroupEntry>,
}

/// What is known of a group.
#[derive(Debug, Default)]
pub(crate) struct GroupEntry {
    /// Its members.
    pub(crate) members: Option<MembersRecord>,
    /// Latest record of its primary.
    pub(crate) leadership_record: Option<leadership::LeadershipRecord>,
    /// Where it is at home.
    pub(crate) place: Option<Place>,
    /// From when on this daemon, which holds the claim, is alone, and how the
    /// group came here.
    pub(crate) became_home: Option<(Time, Takeover)>,
    /// Its task, while it is at home here.
    pub(crate) handle: Option<GroupHandle>,
}

impl Directory {
    /// Puts a table in force unless a higher version is; whether it was new.
    pub(crate) fn set_table(&mut self, version: u64, table: Arc<Table>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.table = Some(table);
        true
    }

    /// The table in force; `None` before the first one has arrived.
    pub(crate) fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// What is known of a group.
    pub(crate) fn group(&self, id: &GroupId) -> Option<&GroupEntry> {
        self.groups.get(id)
    }

    /// What is known of a group, to change.
    pub(crate) fn group_mut(&mut self, id: &GroupId) -> &mut GroupEntry {
        self.groups.entry(id.clone()).or_default()
    }

    /// The ways to the tasks of all groups that are at home here.
    pub(crate) fn handles(&self) -> Vec<GroupHandle> {
        self.groups.values().filter_map(|entry| entry.handle.clone()).collect()
    }

    /// The home of the group that a name leads to, if it is here, and the policy
    /// of the name at a rank.
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

    /// Whether there is a table, and it is known where each of its groups is.
    pub(crate) fn is_ready(&self) -> bool {
        let Some(table) = &self.table else { return false };
        let names: BTreeMap<&str, &GroupId> = table.names();
        names.values().all(|group| self.group(group).is_some_and(GroupEntry::is_routable))
    }
}

impl GroupEntry {
    /// Whether requests for the group can be sent somewhere.
    fn is_routable(&self) -> bool {
        match &self.place {
            Some(Place::Here) => self.handle.is_some() && self.leadership_record.is_some(),
            Some(Place::There { .. }) => true,
            Some(Place::Nowhere) | None => false,
        }
    }
}
