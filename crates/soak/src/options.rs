use std::path::PathBuf;

/// Options of one soak run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the random generators that choose all faults and statements.
    pub seed: u64,
    /// Time during which faults are started, in seconds.
    pub seconds: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of groups, each with three members.
    pub groups: usize,
    /// Number of concurrent callers, each with one session at a time.
    pub callers: usize,
    /// Directory of the daemon's and the stand-in's executables.
    pub program_dir: PathBuf,
    /// Directory for the settings files and logs of the processes.
    pub logs: PathBuf,
    /// Whether to check that members run statements under the name of the caller's organisation.
    pub check_names: bool,
    /// Whether to check that no organisation exceeds its limit.
    pub check_quota: bool,
}

impl Options {
    /// Number of replicas that must receive a commit before it is acknowledged. Without any, commits
    /// that a replica has not received may be lost, so none falls behind for long.
    pub(crate) fn sync_replicas(&self) -> u32 {
        u32::from(self.seed % 4 == 3)
    }

    /// Whether callers belong to organisations and have API keys.
    pub(crate) fn has_organisations(&self) -> bool {
        !self.seed.is_multiple_of(3)
    }

    /// Whether all daemons are replaced for good by others.
    pub(crate) fn replaces_daemons(&self) -> bool {
        self.seed % 5 == 2 && !self.is_planned_only()
    }

    /// Whether the run has only planned operations and no failures. No request may be
    /// interrupted then.
    pub(crate) fn is_planned_only(&self) -> bool {
        self.seed.is_multiple_of(4)
    }
}
