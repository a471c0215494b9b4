use std::path::PathBuf;

/// One run of the soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// Decides on every fault and every statement.
    pub seed: u64,
    /// How long faults go on.
    pub seconds: u64,
    /// Daemons.
    pub daemons: usize,
    /// Groups of three members.
    pub groups: usize,
    /// Callers, each with one session at a time.
    pub callers: usize,
    /// Where the programs are.
    pub program_dir: PathBuf,
    /// Where settings and logs of the processes are written.
    pub logs: PathBuf,
}

impl Options {
    /// Whether only planned work is done, so that nothing may be cut.
    pub(crate) fn is_planned_only(&self) -> bool {
        self.seed.is_multiple_of(4)
    }
}
