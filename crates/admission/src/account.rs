use base::{OrganisationId, Span, Time};

use crate::lane::Lane;

/// Factor of virtual time. Weights of organisations reach 4,000,000, and a request of 100 us must
/// still count to within a thousandth. Requests of weight 1 that take an hour each overflow 128 bits
/// only after more than 10^18 of them.
const SCALE: u128 = 100_000_000;
/// How far ahead of its share an organisation may be before its requests yield to requests of lower
/// rank of others. Usual variations of an organisation's load must stay below it; with 250 ms and 4
/// requests, 6 % of the requests of some organisations missed their target in the replays.
const MAX_LEAD: Span = Span::from_millis(500);
/// Number of its requests that an organisation may be ahead of its share by, however small the
/// share is.
const MIN_LEAD_REQUESTS: u64 = 8;
/// Cap on the lead beyond these requests, so that an organisation is not held back long after its
/// overload has ended.
const LEAD_CAP: Span = Span::from_millis(2_000);
/// Longest time that a request is taken to need of an organisation's share. The shares of some are
/// tiny, and they would be held back for hours.
const MAX_REQUEST_SPAN: Span = Span::from_millis(1_000);

/// Slot time that an organisation has used, for weighted fair queueing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Account {
    pub(crate) organisation: OrganisationId,
    /// Slot time used, divided by the weight.
    pub(crate) virtual_time: u128,
    pub(crate) weight: u32,
    /// Number of waiting requests.
    pub(crate) waiting: usize,
    /// When the organisation would have got the slot time that it has used if it had got its share
    /// of each lane and no more.
    paid_until: [Time; Lane::COUNT],
}

/// Virtual time of a scheduler.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VirtualClock {
    /// Virtual time at which the last request was started.
    pub(crate) now: u128,
    /// Latest virtual time of any account, at which a new busy period begins.
    pub(crate) latest: u128,
}

/// What a set of organisations shares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Contention {
    /// Sum of their weights.
    pub(crate) weights: u64,
    /// Number of slots of the lane.
    pub(crate) slots: u32,
}

impl Account {
    pub(crate) fn new(organisation: OrganisationId, weight: u32, now: u128) -> Account {
        Account {
            organisation,
            virtual_time: now,
            weight,
            waiting: 0,
            paid_until: [Time::default(); Lane::COUNT],
        }
    }

    /// Virtual time of a request that takes `cost` of slot time.
    pub(crate) fn virtual_cost(&self, cost: Span) -> u128 {
        u128::from(cost.as_micros()) * SCALE / u128::from(self.weight.max(1))
    }

    /// Charges a request in `lane` that takes `cost` of slot time, beside the organisations of
    /// `contention`.
    pub(crate) fn charge(&mut self, now: Time, lane: Lane, cost: Span, contention: Contention) {
        self.virtual_time += self.virtual_cost(cost);
        let span = self.span_of_share(cost, contention);
        let paid_until = &mut self.paid_until[lane.index()];
        *paid_until = ((*paid_until).max(now) + span).min(now + LEAD_CAP + few_requests(span));
    }

    /// Whether the organisation, whose next request takes `cost`, is so far ahead of its share that
    /// it yields to requests of lower rank.
    pub(crate) fn is_over_share(
        &self,
        now: Time,
        lane: Lane,
        cost: Span,
        contention: Contention,
    ) -> bool {
        let lead = self.paid_until[lane.index()].since(now);
        lead > MAX_LEAD.max(few_requests(self.span_of_share(cost, contention)))
    }

    /// How long the organisation's share takes to supply `cost` of slot time.
    fn span_of_share(&self, cost: Span, contention: Contention) -> Span {
        contention.time_for(self.virtual_cost(cost)).min(MAX_REQUEST_SPAN)
    }
}

fn few_requests(span: Span) -> Span {
    Span::from_micros(span.as_micros() * MIN_LEAD_REQUESTS)
}

impl Contention {
    /// How long it takes until all organisations have used `span` of virtual time.
    pub(crate) fn time_for(self, span: u128) -> Span {
        let slot_time = span.saturating_mul(u128::from(self.weights.max(1))) / SCALE;
        let micros = slot_time / u128::from(self.slots.max(1));
        Span::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
