use leadership::LeadershipRecord;

/// The platform's record of the primary.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeStore {
    pub(crate) record: LeadershipRecord,
    pub(crate) writes: u64,
}

impl FakeStore {
    /// Writes if the version is as expected; the record as it is otherwise.
    pub(crate) fn write(
        &mut self,
        expected: u64,
        record: LeadershipRecord,
    ) -> Result<u64, LeadershipRecord> {
        self.writes += 1;
        if self.record.version != expected {
            return Err(self.record.clone());
        }
        self.record = LeadershipRecord { version: expected + 1, ..record };
        Ok(self.record.version)
    }
}
