use base::store_version;
use leadership::LeadershipRecord;

/// Platform's store, which holds the record of the group's primary.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeStore {
    pub(crate) record: LeadershipRecord,
    pub(crate) writes: u64,
    copy: LeadershipRecord,
}

impl FakeStore {
    pub(crate) fn new(record: LeadershipRecord) -> FakeStore {
        FakeStore { record, ..FakeStore::default() }
    }

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

    /// Copies the record, for a later [`FakeStore::restore`].
    pub(crate) fn take_copy(&mut self) {
        self.copy = self.record.clone();
    }

    /// Replaces the record with the last copy. Its number is given out again; the era rises unless
    /// `keeps_era`.
    pub(crate) fn restore(&mut self, keeps_era: bool) {
        let era = store_version::era(self.record.version) + u64::from(!keeps_era);
        let number = store_version::number(self.copy.version);
        let version = store_version::in_era(era, number).expect("few eras and writes");
        self.record = LeadershipRecord { version, ..self.copy.clone() };
    }
}
