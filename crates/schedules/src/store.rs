use leadership::LeadershipRecord;

/// Platform's store, which holds the record of the group's primary.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeStore {
    pub(crate) record: LeadershipRecord,
    pub(crate) writes: u64,
}

impl FakeStore {
    /// Writes the record if the stored version is the expected one and returns the new
    /// version; otherwise returns the stored record.
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
