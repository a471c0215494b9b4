use base::Time;

use super::QuotaShares;

impl QuotaShares {
    /// Names of the carriers to which a heartbeat is to be sent in addition to those of the rounds:
    /// those whose answer is missing, those that have demand for the own share when it becomes usable,
    /// and all of them when operations that have just begun here lack tokens. To be called often, at least
    /// every 50 ms.
    pub fn due(&mut self, now: Time) -> Vec<String> {
        let (is_usable, has_new_demand) = (self.own.parts_at(now) > 0, self.has_new_demand);
        let due = self.peers.iter_mut().filter_map(|peer| {
            let has_news = peer.lacks_loans(now, is_usable) || has_new_demand;
            let is_due = peer.lacks_answer(now) || (has_news && peer.may_answer(now));
            is_due.then(|| peer.name.clone())
        });
        due.collect()
    }
}
