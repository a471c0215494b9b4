use base::{MemberId, Span, Term, Time, store_version};

use crate::{
    action::Action,
    event::{Event, FenceReply},
    phase::Phase,
    record::LeadershipRecord,
};

/// Bits of a term that count the attempts within an era of the platform's store; the eras before are
/// above them.
const TERM_ERA_SHIFT: u32 = 32;

/// Settings of an election.
#[derive(Clone, Debug)]
pub struct ElectionConfig {
    /// Name of this daemon's run, by which it recognises records that it wrote itself.
    pub name: String,
    /// Members of the group.
    pub members: Vec<MemberId>,
    /// Time limit of a reachability check; a late answer counts as none.
    pub reachability_timeout: Span,
    /// Number of successive suspicions that a reachability check may dismiss. The next
    /// one starts an attempt even if another daemon reaches the primary.
    pub max_dismissals: u32,
    /// Time to wait for the remaining members after the fence request was first sent.
    /// When it has passed, replies of a majority suffice.
    pub straggler_wait: Span,
    /// Time after which an unanswered step is repeated.
    pub retry_after: Span,
    /// Time after which an election that another daemon left unfinished is taken over.
    pub takeover_after: Span,
}

impl ElectionConfig {
    /// Returns the settings with the default time limits of an entry VM.
    pub fn new(name: String, members: Vec<MemberId>) -> ElectionConfig {
        ElectionConfig {
            name,
            members,
            reachability_timeout: Span::from_millis(300),
            max_dismissals: 3,
            straggler_wait: Span::from_millis(100),
            retry_after: Span::from_millis(500),
            takeover_after: Span::from_millis(1_500),
        }
    }
}

/// State of a group's election as one daemon drives it.
#[derive(Debug)]
pub struct Election {
    cfg: ElectionConfig,
    record: LeadershipRecord,
    record_since: Time,
    highest_seen_term: Term,
    attempts: u64,
    dismissals: u32,
    must_own: bool,
    last_primary: Option<MemberId>,
    phase: Phase,
}

impl Election {
    /// Creates the state of a daemon that has not read the record yet.
    pub fn new(cfg: ElectionConfig) -> Election {
        Election {
            cfg,
            record: LeadershipRecord::default(),
            record_since: Time::default(),
            highest_seen_term: Term::default(),
            attempts: 0,
            dismissals: 0,
            must_own: false,
            last_primary: None,
            phase: Phase::Idle,
        }
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Suspected { term } => self.suspected(now, term, out),
            Event::ReachabilityChecked { reachable } => self.reachability(now, reachable, out),
            Event::PrimaryAnswered { term } => self.primary_answered(term),
            Event::Record(record) | Event::WriteConflict(record) => self.observe(now, record, out),
            Event::Written { version } => self.written(now, version, out),
            Event::WriteUnknown => out.push(Action::Read),
            Event::ReadFailed => self.wait_for_platform(now, out),
            Event::Fenced(reply) => self.fenced(now, reply, out),
            Event::Promoted { member, term, done } => self.promoted(now, &member, term, done, out),
            Event::TermObserved(term) => self.highest_seen_term = self.highest_seen_term.max(term),
            Event::OwnershipRequired => {
                self.must_own = true;
                self.tick(now, out);
            }
            Event::Tick => self.tick(now, out),
        }
    }

    /// Whether this daemon has no attempt in progress.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
    }

    /// Whether the present record names a primary and was written by this daemon's run.
    pub fn owns(&self) -> bool {
        self.record.primary.is_some() && self.is_own(&self.record)
    }

    /// Whether this daemon's run wrote the record in the present era of the store. A record of an
    /// earlier era may have been replaced by one that the store has lost.
    fn is_own(&self, record: &LeadershipRecord) -> bool {
        let attempt = record.attempt.rsplit_once('#');
        let written = attempt.and_then(|(name, place)| Some((name, place.split_once('.')?.0)));
        let era = store_version::era(record.version).to_string();
        written == Some((self.cfg.name.as_str(), era.as_str()))
    }

    fn suspected(&mut self, now: Time, term: Term, out: &mut Vec<Action>) {
        let current = term == self.record.term && self.record.primary.is_some();
        if !self.is_idle() || !current {
            return;
        }
        let Some(primary) = self.record.primary.clone() else { return };
        self.phase = Phase::CheckingReachability { since: now };
        out.push(Action::CheckReachability { primary });
    }

    fn reachability(&mut self, now: Time, reachable: Option<bool>, out: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::CheckingReachability { .. }) {
            return;
        }
        if reachable == Some(true) && self.dismissals < self.cfg.max_dismissals {
            self.dismissals += 1;
            self.phase = Phase::Idle;
            out.push(Action::LogDecision {
                decision: "keep primary",
                reason: "a daemon in another zone still reaches it",
            });
            return;
        }
        self.start_attempt(now, out);
    }

    fn primary_answered(&mut self, term: Term) {
        if term != self.record.term {
            return;
        }
        self.dismissals = 0;
        if matches!(self.phase, Phase::CheckingReachability { .. }) {
            self.phase = Phase::Idle;
        }
    }

    /// Starts an attempt under a term higher than any seen so far, and than any that may have been
    /// used in an earlier era of the store, whose record may be lost.
    fn start_attempt(&mut self, now: Time, out: &mut Vec<Action>) {
        let earlier_eras = store_version::era(self.record.version).saturating_sub(1);
        let lost = Term::new(earlier_eras << TERM_ERA_SHIFT);
        let term = self.record.term.max(self.highest_seen_term).max(lost).next();
        self.attempts += 1;
        self.dismissals = 0;
        self.phase = Phase::RecordingIntent { term, since: now };
        out.push(Action::LogDecision {
            decision: "change primary",
            reason: "no usable primary, or this daemon needs a record of its own",
        });
        self.write_record(term, None, out);
    }

    fn write_record(&self, term: Term, primary: Option<MemberId>, out: &mut Vec<Action>) {
        let record = LeadershipRecord { version: 0, term, primary, attempt: self.attempt() };
        out.push(Action::Write { expected: self.record.version, record });
    }

    fn attempt(&self) -> String {
        let era = store_version::era(self.record.version);
        format!("{}#{era}.{}", self.cfg.name, self.attempts)
    }

    /// Processes the record as read. It may show that a write succeeded although its reply
    /// was lost, or that another daemon wrote first.
    fn observe(&mut self, now: Time, record: LeadershipRecord, out: &mut Vec<Action>) {
        if record.version < self.record.version {
            return;
        }
        if record.version == self.record.version {
            return self.retry_write(now, out);
        }
        let own = record.attempt == self.attempt();
        self.record = record;
        self.record_since = now;
        self.last_primary = self.record.primary.clone().or(self.last_primary.take());
        let (term, primary) = (self.record.term, self.record.primary.clone());
        if own {
            return self.write_succeeded(now, out);
        }
        self.phase = Phase::Idle;
        out.push(Action::SetPrimary { term, primary });
    }

    fn written(&mut self, now: Time, version: u64, out: &mut Vec<Action>) {
        let (term, primary) = match &self.phase {
            Phase::RecordingIntent { term, .. } => (*term, None),
            Phase::RecordingOutcome { term, primary, .. } => (*term, Some(primary.clone())),
            _ => return,
        };
        self.record = LeadershipRecord { version, term, primary, attempt: self.attempt() };
        self.record_since = now;
        self.write_succeeded(now, out);
    }

    /// Continues after this daemon's own write has succeeded.
    fn write_succeeded(&mut self, now: Time, out: &mut Vec<Action>) {
        match &self.phase {
            Phase::RecordingIntent { term, .. } => {
                let term = *term;
                out.push(Action::SetPrimary { term, primary: None });
                self.fence(now, term, out);
            }
            Phase::RecordingOutcome { term, primary, .. } if self.record.primary.is_some() => {
                let (term, primary) = (*term, primary.clone());
                self.phase = Phase::Idle;
                out.push(Action::SetPrimary { term, primary: Some(primary) });
                out.push(Action::LogDecision {
                    decision: "promote",
                    reason: "most advanced log of a fenced majority",
                });
            }
            _ => {}
        }
    }

    /// Repeats the write after a read has shown that it did not take effect.
    fn retry_write(&mut self, now: Time, out: &mut Vec<Action>) {
        match &mut self.phase {
            Phase::RecordingIntent { term, since } => {
                *since = now;
                let term = *term;
                self.write_record(term, None, out);
            }
            Phase::RecordingOutcome { term, primary, since } => {
                *since = now;
                let (term, primary) = (*term, primary.clone());
                self.write_record(term, Some(primary), out);
            }
            _ => {}
        }
    }

    fn fence(&mut self, now: Time, term: Term, out: &mut Vec<Action>) {
        self.phase = Phase::Fencing { term, since: now, last_asked: now, replies: Vec::new() };
        out.push(Action::Fence { term });
    }

    fn fenced(&mut self, now: Time, reply: FenceReply, out: &mut Vec<Action>) {
        self.highest_seen_term = self.highest_seen_term.max(reply.term);
        let Phase::Fencing { term, replies, .. } = &mut self.phase else { return };
        if reply.term > *term {
            // Another attempt uses a higher term; the record shows its outcome.
            self.phase = Phase::BackingOff { until: now + self.cfg.retry_after };
            out.push(Action::Read);
            return;
        }
        if reply.term < *term {
            return;
        }
        replies.retain(|known| known.member != reply.member);
        replies.push(reply);
        self.promote_most_advanced(now, out);
    }

    /// Promotes the member with the most advanced log once a majority has accepted the term.
    /// Among equals, it prefers the last primary, then the order of the members.
    fn promote_most_advanced(&mut self, now: Time, out: &mut Vec<Action>) {
        let Phase::Fencing { term, since, replies, .. } = &self.phase else { return };
        let count = self.cfg.members.len();
        let majority = replies.len() > count / 2;
        let complete = replies.len() == count || now.since(*since) >= self.cfg.straggler_wait;
        if !(majority && complete) {
            return;
        }
        let rank = |member: &MemberId| {
            let index = self.cfg.members.iter().position(|it| it == member);
            (Some(member) != self.last_primary.as_ref(), index)
        };
        let most_advanced = replies
            .iter()
            .max_by_key(|reply| (reply.position, std::cmp::Reverse(rank(&reply.member))));
        let Some(most_advanced) = most_advanced else { return };
        let (member, term) = (most_advanced.member.clone(), *term);
        self.phase = Phase::Promoting { term, member: member.clone(), since: now };
        out.push(Action::Promote { member, term });
    }

    fn promoted(
        &mut self,
        now: Time,
        member: &MemberId,
        term: Term,
        done: bool,
        out: &mut Vec<Action>,
    ) {
        let Phase::Promoting { term: requested, member: chosen, .. } = &self.phase else { return };
        if *requested != term || chosen != member {
            return;
        }
        if !done {
            self.start_attempt(now, out);
            return;
        }
        self.phase = Phase::RecordingOutcome { term, primary: member.clone(), since: now };
        self.write_record(term, Some(member.clone()), out);
    }

    fn wait_for_platform(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.is_idle() {
            return;
        }
        out.push(Action::LogDecision {
            decision: "wait",
            reason: "the platform does not answer; the election resumes when it does",
        });
        if let Phase::RecordingIntent { since, .. } | Phase::RecordingOutcome { since, .. } =
            &mut self.phase
        {
            *since = now;
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let retry_after = self.cfg.retry_after;
        match &mut self.phase {
            Phase::Idle => self.start_attempt_if_due(now, out),
            Phase::CheckingReachability { since } => {
                if now.since(*since) >= self.cfg.reachability_timeout {
                    self.reachability(now, None, out);
                }
            }
            Phase::RecordingIntent { since, .. } | Phase::RecordingOutcome { since, .. } => {
                if now.since(*since) >= retry_after {
                    *since = now;
                    out.push(Action::Read);
                }
            }
            Phase::Fencing { term, last_asked, .. } => {
                if now.since(*last_asked) >= retry_after {
                    *last_asked = now;
                    out.push(Action::Fence { term: *term });
                }
                self.promote_most_advanced(now, out);
            }
            Phase::Promoting { since, .. } => {
                if now.since(*since) >= retry_after {
                    self.start_attempt(now, out);
                }
            }
            Phase::BackingOff { until } => {
                if *until <= now {
                    self.phase = Phase::Idle;
                }
            }
        }
    }

    /// Starts an attempt if this daemon needs a record of its own, if an election was left
    /// unfinished, or if members have accepted a higher term than the record states.
    fn start_attempt_if_due(&mut self, now: Time, out: &mut Vec<Action>) {
        let unfinished = self.record.version > 0 && self.record.primary.is_none();
        let behind = self.record.version > 0 && self.highest_seen_term > self.record.term;
        let expired = now.since(self.record_since) >= self.cfg.takeover_after;
        let foreign = self.must_own && self.record.primary.is_some() && !self.owns();
        if foreign || ((unfinished || behind) && expired) {
            self.start_attempt(now, out);
        }
    }
}
