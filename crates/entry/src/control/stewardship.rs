use std::net::SocketAddr;

use adapter::{CallError, FailoverClient, Promotion, StoreClient, StoreKey, StoreTransaction};
use base::{FastMap, Span, Time};
use futures_channel::mpsc;
use succession::{
    Action, Candidate, DutyRecord, LeadRecord, Outcome, Status, Succession, Verdict, View,
    have_stopped, is_majority, judge,
};

use crate::{
    clock,
    control::{
        event::Event,
        ledger::{Ledger, TABLE},
        member_calls,
        peers::Peers,
        roll::{Carrier, Roll},
    },
};

/// How long the duty's holder may be silent, or without the store, before another
/// daemon takes it: several heartbeats.
const HOLDER_SILENT: Span = Span::from_millis(1_000);
/// Between daemons that would take the duty, so that the first has taken it before
/// the next tries.
const NEXT_IN_LINE: Span = Span::from_millis(300);
/// How long a new holder makes no calls, so that those of the one before, which are
/// sent at most [`CONFIRMED_FOR`] after it confirmed its hold, have ended.
const FIRST_CALL_AFTER: Span = Span::from_millis(1_000);
/// How long a confirmed hold lets a call be sent.
const CONFIRMED_FOR: Span = Span::from_millis(300);
/// Pause after a write whose outcome is open; the rows tell meanwhile.
const WRITE_AGAIN: Span = Span::from_millis(400);

/// The duty to change primaries, as far as this daemon takes part in it.
#[derive(Debug)]
pub(crate) struct Stewardship {
    vm: String,
    run: u64,
    store: StoreClient,
    calls: FailoverClient,
    events: mpsc::UnboundedSender<Event>,
    started: Time,
    held_since: Option<Time>,
    holder_able: Time,
    write_until: Option<Time>,
    successions: FastMap<String, Succession>,
    statuses: FastMap<String, Status>,
    /// When the present record of a group was learnt.
    learnt: FastMap<String, Time>,
    /// Since when a majority has a version of a group's record in force.
    majorities: FastMap<String, (u64, Time)>,
}

/// A member that may lead, with its address.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) candidate: Candidate,
    pub(crate) addr: SocketAddr,
}

/// A group as the control thread knows it.
#[derive(Debug)]
pub(crate) struct GroupView<'a> {
    pub(crate) name: &'a str,
    pub(crate) sync_replicas: u32,
    pub(crate) places: Vec<Place>,
    /// This daemon's own opinion of the primary, if it has one.
    pub(crate) opinion: Option<succession::Opinion>,
}

impl Stewardship {
    pub(crate) fn new(
        vm: String,
        run: u64,
        store: StoreClient,
        calls: FailoverClient,
        events: mpsc::UnboundedSender<Event>,
    ) -> Stewardship {
        let now = clock::now();
        Stewardship {
            vm,
            run,
            store,
            calls,
            events,
            started: now,
            held_since: None,
            holder_able: now,
            write_until: None,
            successions: FastMap::default(),
            statuses: FastMap::default(),
            learnt: FastMap::default(),
            majorities: FastMap::default(),
        }
    }

    /// Notes that a group's record has changed.
    pub(crate) fn lead_changed(&mut self, group: &str) {
        self.learnt.insert(group.to_owned(), clock::now());
        self.write_until = None;
    }

    /// Notes that the duty's row has changed.
    pub(crate) fn duty_changed(&mut self, duty: Option<&DutyRecord>) {
        self.write_until = None;
        let now = clock::now();
        self.holder_able = now;
        let mine = duty.is_some_and(|duty| duty.holder == self.vm && duty.run == self.run);
        if mine && self.held_since.is_none() {
            logs::event("duty taken", &serde_json::json!({"token": duty.map(|duty| duty.token)}));
            self.held_since = Some(now);
        } else if !mine && self.held_since.take().is_some() {
            logs::event("duty lost", &serde_json::json!({"holder": duty.map(|duty| &duty.holder)}));
            self.successions.clear();
        }
    }

    /// Notes that a write has ended without effect that the rows will tell.
    pub(crate) fn write_failed(&mut self) {
        self.write_until = Some(clock::now() + WRITE_AGAIN);
    }

    pub(crate) fn note_status(&mut self, member: String, status: Option<Status>) {
        if let Some(status) = status {
            self.statuses.insert(member, status);
        }
    }

    pub(crate) fn note_promotion(&mut self, group: &str, member: &str, outcome: Outcome) {
        if let Some(succession) = self.successions.get_mut(group) {
            succession.promoted(clock::now(), member, outcome);
        }
    }

    /// Whether this daemon holds the duty.
    pub(crate) fn holds(&self) -> bool {
        self.held_since.is_some()
    }

    /// Takes the duty if nobody has it, and drives the changes under way if it is
    /// this daemon's.
    ///
    /// `store_ms` is the store's clock in its latest answer.
    pub(crate) fn tick(
        &mut self,
        ledger: &Ledger,
        peers: &Peers,
        store_ms: u64,
        groups: &[GroupView<'_>],
    ) {
        let now = clock::now();
        if self.held_since.is_none() {
            self.consider_taking(now, ledger, peers);
            return;
        }
        let carriers = Roll { vm: &self.vm, ledger, peers, store_ms }.standings();
        for group in groups {
            self.drive(now, ledger, peers, &carriers, group);
        }
    }

    fn consider_taking(&mut self, now: Time, ledger: &Ledger, peers: &Peers) {
        if !ledger.known || ledger.carrier(&self.vm).is_none() || self.is_writing(now) {
            return;
        }
        let mut before = 0;
        for (name, peer) in &peers.peers {
            if *name < self.vm && peer.heard_within(now, HOLDER_SILENT) {
                before += 1;
            }
        }
        let turn = Span::from_micros(NEXT_IN_LINE.as_micros() * before);
        let (token, version) = match &ledger.duty {
            Some((duty, version)) => {
                let able = peers.able(&duty.holder, duty.run);
                self.holder_able = self.holder_able.max(able.unwrap_or_default());
                // A holder whose VM has another run by now is gone for certain, yet
                // its last call may be under way: the same wait.
                if now.since(self.holder_able) < HOLDER_SILENT + turn {
                    return;
                }
                (duty.token + 1, *version)
            }
            None if now.since(self.started) < turn + NEXT_IN_LINE => return,
            None => (1, 0),
        };
        let record = DutyRecord { holder: self.vm.clone(), run: self.run, token, confirmed: 0 };
        logs::event(
            "taking the duty",
            &serde_json::json!({"token": token, "reason": "its holder is silent, unknown or without the store"}),
        );
        let change = StoreTransaction::default()
            .with_expected(Ledger::duty_key(), version)
            .with_put(Ledger::duty_key(), &encode(&record));
        self.write("duty", change);
    }

    fn is_writing(&self, now: Time) -> bool {
        self.write_until.is_some_and(|until| now < until)
    }

    fn drive(
        &mut self,
        now: Time,
        ledger: &Ledger,
        peers: &Peers,
        carriers: &[Carrier],
        group: &GroupView<'_>,
    ) {
        let record = ledger.leads.get(group.name);
        let stopped = record.is_some_and(|(record, version)| {
            record.changing && self.all_stopped(now, *version, group.name, carriers)
        });
        let verdict = match record {
            Some((record, _)) => {
                let mut opinions = peers.opinions(now, group.name, &record.primary);
                opinions.extend(group.opinion);
                judge(&opinions)
            }
            None => Verdict::Keep,
        };
        let members: Vec<Candidate> = group
            .places
            .iter()
            .map(|place| {
                let status = self.statuses.get(&place.candidate.id).copied();
                Candidate { status, ..place.candidate.clone() }
            })
            .collect();
        let held_for = now.since(self.held_since.unwrap_or(now));
        let view = View {
            record: record.map(|(record, _)| record),
            stopped,
            may_promote: held_for >= FIRST_CALL_AFTER,
            members: &members,
            verdict,
            sync_replicas: group.sync_replicas,
        };
        let succession = self.successions.entry(group.name.to_owned()).or_default();
        let writing = self.write_until.is_some_and(|until| now < until);
        match succession.tick(now, &view) {
            Some(Action::Write { .. }) if writing => {}
            Some(Action::Write { record: wanted, reason }) => {
                let version = record.map_or(0, |(_, version)| *version);
                self.write_lead(ledger, group.name, version, &wanted, reason);
            }
            Some(Action::Examine) => self.ask_members(group, None),
            Some(Action::StepDown { member, term }) => {
                logs::event(
                    "step down",
                    &serde_json::json!({"group": group.name, "member": member, "term": term}),
                );
                self.ask_members(group, Some((&member, term)));
            }
            Some(Action::Promote { member }) => self.promote(ledger, group.name, member),
            None => {}
        }
    }

    /// Whether no carrier uses the primary any more that version `version` of the
    /// group's record ended.
    fn all_stopped(&mut self, now: Time, version: u64, group: &str, carriers: &[Carrier]) -> bool {
        let learnt = self.learnt.get(group).copied().unwrap_or(now);
        let carriers: Vec<_> = carriers.iter().map(|carrier| carrier.standing(version)).collect();
        let since = is_majority(&carriers).then(|| {
            let (of, since) = self.majorities.entry(group.to_owned()).or_insert((version, now));
            if *of != version {
                (*of, *since) = (version, now);
            }
            *since
        });
        have_stopped(now, &carriers, since, learnt)
    }

    fn write_lead(
        &mut self,
        ledger: &Ledger,
        group: &str,
        version: u64,
        record: &LeadRecord,
        reason: &str,
    ) {
        let Some((_, duty)) = &ledger.duty else { return };
        logs::event(
            "lead record",
            &serde_json::json!({"group": group, "primary": record.primary,
                "changing": record.changing, "planned": record.planned,
                "version": version, "reason": reason}),
        );
        let key = Ledger::lead_key(group);
        let place = StoreKey { table: TABLE, key: &key };
        let change = StoreTransaction::default()
            .with_expected(Ledger::duty_key(), *duty)
            .with_expected(place, version)
            .with_put(place, &encode(record));
        self.write("lead", change);
    }

    fn write(&mut self, what: &'static str, change: StoreTransaction) {
        self.write_until = Some(clock::now() + WRITE_AGAIN);
        let (store, events) = (self.store.clone(), self.events.clone());
        tokio::spawn(async move {
            let result = store.apply(&change).await;
            // Fails only while the process ends.
            let _ = events.unbounded_send(Event::Written { what, result });
        });
    }

    fn ask_members(&self, group: &GroupView<'_>, step_down: Option<(&str, u64)>) {
        for place in &group.places {
            let member = place.candidate.id.clone();
            let term = step_down.filter(|(who, _)| *who == member).map(|(_, term)| term);
            let (addr, who, events) = (place.addr, self.vm.clone(), self.events.clone());
            let group = group.name.to_owned();
            tokio::spawn(async move {
                let status = member_calls::status(addr, &group, &who, &member, term).await;
                // Fails only while the process ends.
                let _ = events.unbounded_send(Event::Status { member, status });
            });
        }
    }

    /// Confirms the hold, then makes the call at once.
    fn promote(&self, ledger: &Ledger, group: &str, member: String) {
        let Some((duty, version)) = ledger.duty.clone() else { return };
        let (store, calls, events) = (self.store.clone(), self.calls.clone(), self.events.clone());
        let group = group.to_owned();
        tokio::spawn(async move {
            let outcome = confirm_and_call(&store, &calls, &duty, version, &group, &member).await;
            logs::event(
                "promotion",
                &serde_json::json!({"group": group, "member": member, "token": duty.token,
                    "outcome": format!("{outcome:?}")}),
            );
            // Fails only while the process ends.
            let _ = events.unbounded_send(Event::Promoted { group, member, outcome });
        });
    }
}

async fn confirm_and_call(
    store: &StoreClient,
    calls: &FailoverClient,
    duty: &DutyRecord,
    version: u64,
    group: &str,
    member: &str,
) -> Outcome {
    let confirmed = DutyRecord { confirmed: duty.confirmed + 1, ..duty.clone() };
    let change = StoreTransaction::default()
        .with_expected(Ledger::duty_key(), version)
        .with_put(Ledger::duty_key(), &encode(&confirmed));
    let asked_at = clock::now();
    match store.apply(&change).await {
        Ok(_) if clock::now().since(asked_at) < CONFIRMED_FOR => {}
        Ok(_) | Err(_) => return Outcome::Unknown,
    }
    match calls.fail_over(group, member, &duty.holder, duty.token).await {
        Ok(Promotion::Accepted) => Outcome::Accepted,
        Ok(Promotion::Declined) => Outcome::Declined,
        Err(CallError::Refused { .. } | CallError::NoResponse { .. }) => Outcome::Unknown,
        Err(error) => {
            logs::warn(&format!("failover of {group:?}: {error}"));
            Outcome::Unknown
        }
    }
}

pub(crate) fn encode(record: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(record).expect("records hold only text and numbers")
}
