/// Orders about primaries that the data thread has not confirmed yet.
#[derive(Debug, Default)]
pub(crate) struct PendingOrders {
    orders: Vec<(String, u64)>,
}

impl PendingOrders {
    /// Notes an order about a group, by the version of its record.
    pub(crate) fn add(&mut self, group: &str, version: u64) {
        self.orders.push((group.to_owned(), version));
    }

    /// Notes that an order is in force, and with it the earlier ones about the group,
    /// which it replaced.
    pub(crate) fn confirm(&mut self, group: &str, version: u64) {
        self.orders.retain(|(of, ordered)| of != group || *ordered > version);
    }

    /// Up to which version all rows are in force, where `newest` is the last one known.
    pub(crate) fn applied_version(&self, newest: u64) -> u64 {
        let first = self.orders.iter().map(|(_, version)| *version).min();
        first.map_or(newest, |version| version - 1)
    }
}

#[cfg(test)]
mod tests;
