/// Orders about primaries that the data thread has not confirmed yet, by group and version
/// of the group's record.
#[derive(Debug, Default)]
pub(crate) struct PendingOrders {
    orders: Vec<(String, u64)>,
}

impl PendingOrders {
    /// Records that an order about a group was sent.
    pub(crate) fn add(&mut self, group: &str, version: u64) {
        self.orders.push((group.to_owned(), version));
    }

    /// Removes an order that the data thread has applied, and the earlier orders about the
    /// same group, which it replaced.
    pub(crate) fn confirm(&mut self, group: &str, version: u64) {
        self.orders.retain(|(name, pending)| name != group || *pending > version);
    }

    /// Version up to which all rows are applied; `newest` is the newest version known.
    pub(crate) fn applied_version(&self, newest: u64) -> u64 {
        let oldest = self.orders.iter().map(|(_, version)| *version).min();
        oldest.map_or(newest, |version| version - 1)
    }
}

#[cfg(test)]
mod tests;
