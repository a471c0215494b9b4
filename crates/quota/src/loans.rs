use base::Time;

/// Loans of one organisation's limit between this carrier and another one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loans {
    /// Demand that the other carrier has reported, in operations per 1,000 seconds.
    pub(crate) demand: u32,
    /// Loans that the other carrier may still use, oldest first.
    lent: Vec<Lent>,
    borrowed: u32,
    borrowed_until: Time,
    retained_until: Time,
}

/// Consecutive loans of the same size.
#[derive(Clone, Copy, Debug)]
struct Lent {
    parts: u32,
    sent_at: Time,
    until: Time,
}

impl Loans {
    /// Parts that count as lent at `at`: the other carrier uses one of the loans, and it is not
    /// known which one.
    pub(crate) fn lent_at(&self, at: Time) -> u32 {
        let open = self.lent.iter().filter(|loan| at < loan.until);
        open.map(|loan| loan.parts).max().unwrap_or(0)
    }

    /// Parts that were lent last, if they still count as lent.
    pub(crate) fn last_lent_at(&self, at: Time) -> u32 {
        let last = self.lent.last().filter(|loan| at < loan.until);
        last.map_or(0, |loan| loan.parts)
    }

    /// Records that a message with a loan is sent, which may be used until a time before `until`.
    pub(crate) fn lend(&mut self, now: Time, parts: u32, until: Time) {
        self.lent.retain(|loan| now < loan.until);
        match self.lent.last_mut() {
            Some(last) if last.parts == parts => (last.sent_at, last.until) = (now, until),
            _ => self.lent.push(Lent { parts, sent_at: now, until }),
        }
    }

    /// Forgets the loans that were sent before a message that the other carrier has received.
    pub(crate) fn acknowledge(&mut self, received: Time) {
        self.lent.retain(|loan| loan.sent_at >= received);
    }

    /// Parts that may be borrowed at `at`.
    pub(crate) fn borrowed_at(&self, at: Time) -> u32 {
        if at < self.borrowed_until { self.borrowed } else { 0 }
    }

    /// Parts for which tokens are kept at `at`: those that may be borrowed, or could until just
    /// before.
    pub(crate) fn retained_at(&self, at: Time) -> u32 {
        if at < self.retained_until { self.borrowed } else { 0 }
    }

    /// Replaces the loan of the other carrier. Its tokens are kept until `retained_until`.
    pub(crate) fn borrow(&mut self, parts: u32, until: Time, retained_until: Time) {
        (self.borrowed, self.borrowed_until) = (parts, until);
        self.retained_until = retained_until;
    }

    /// Whether nothing is lent, borrowed or demanded.
    pub(crate) fn is_unused(&self, now: Time) -> bool {
        self.demand == 0 && self.lent_at(now) == 0 && self.retained_at(now) == 0
    }

    /// Times at which the parts that are lent or borrowed change.
    pub(crate) fn changes(&self) -> impl Iterator<Item = Time> {
        let lent = self.lent.iter().map(|loan| loan.until);
        lent.chain([self.borrowed_until, self.retained_until])
    }
}
