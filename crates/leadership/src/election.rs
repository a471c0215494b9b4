use base::{MemberId, Span, Term, Time};

use crate::{
    action::Action,
    event::{Event, FenceReply},
    phase::Phase,
    record::LeadershipRecord,
};

/// Settings of a change of primary.
#[derive(Clone, Debug)]
pub struct ElectionConfig {
    /// Name of this daemon's run, so that it recognises its own records.
    pub name: String,
    /// Members of the group.
    pub members: Vec<MemberId>,
    /// Time to wait for a second opinion.
    pub reachability_timeout: Span,
    /// Doubts that a second opinion may dispel before the change goes ahead
    /// nevertheless.
    pub max_dismissals: u32,
    /// Time to wait for more than a majority of members.
    pub straggler_wait: Span,
    /// Time after which an unanswered step is taken again.
    pub retry_after: Span,
    /// Time after which another daemon's unfinished change is taken over.
    pub takeover_after: Span,
}

impl ElectionConfig {
    /// Settings with the defaults of an entry VM.
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

/// State of a group's change of primary, as one daemon drives it.
#[derive(Debug)]
pub struct Election {
    cfg: ElectionConfig,
    record: LeadershipRecord,
    record_since: Time,
    seen_term: Term,
    attempts: u64,
    dispelled: u32,
    must_own: bool,
    last_primary: Option<MemberId>,
    phase: Phase,
}

impl Election {
    /// Nothing is known yet.
    pub fn new(cfg: ElectionConfig) -> Election {
        Election {
            cfg,
            record: LeadershipRecord::default(),
            record_since: Time::default(),
            seen_term: Term::default(),
            attempts: 0,
            dispelled: 0,
            must_own: false,
            last_primary: None,
            phase: Phase::Steady,
        }
    }

    /// Takes in an event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Suspected { term } => self.suspected(now, term, out),
            Event::ReachabilityChecked { reachable } => self.opinion(now, reachable, out),
            Event::PrimaryAnswered { term } => self.answered(term),
            Event::Record(record) | Event::WriteConflict(record) => self.learn(now, record, out),
            Event::Written { version } => self.written(now, version, out),
            Event::WriteUnknown => out.push(Action::Read),
            Event::ReadFailed => self.wait(now, out),
            Event::Fenced(reply) => self.fenced(now, reply, out),
            Event::Promoted { member, term, done } => self.promoted(now, &member, term, done, out),
            Event::TermObserved(term) => self.seen_term = self.seen_term.max(term),
            Event::OwnershipRequired => {
                self.must_own = true;
                self.tick(now, out);
            }
            Event::Tick => self.tick(now, out),
        }
    }

    /// Whether a change is under way here.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Steady)
    }

    /// Whether the record in force was recorded by this daemon's run.
    pub fn owns(&self) -> bool {
        self.record.primary.is_some() && self.is_own(&self.record.attempt)
    }

    fn is_own(&self, attempt: &str) -> bool {
        attempt.rsplit_once('#').is_some_and(|(name, _)| name == self.cfg.name)
    }

    fn suspected(&mut self, now: Time, term: Term, out: &mut Vec<Action>) {
        let current = term == self.record.term && self.record.primary.is_some();
        if !self.is_idle() || !current {
            return;
        }
        let Some(primary) = self.record.primary.clone() else { return };
        self.phase = Phase::Doubting { since: now };
        out.push(Action::CheckReachability { primary });
    }

    fn opinion(&mut self, now: Time, reachable: Option<bool>, out: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Doubting { .. }) {
            return;
        }
        if reachable == Some(true) && self.dispelled < self.cfg.max_dismissals {
            self.dispelled += 1;
            self.phase = Phase::Steady;
            out.push(Action::LogDecision {
                decision: "keep primary",
                reason: "a daemon in another zone reaches it",
            });
            return;
        }
        self.begin(now, out);
    }

    fn answered(&mut self, term: Term) {
        if term != self.record.term {
            return;
        }
        self.dispelled = 0;
        if matches!(self.phase, Phase::Doubting { .. }) {
            self.phase = Phase::Steady;
        }
    }

    /// Starts an attempt under a term that nobody has used.
    fn begin(&mut self, now: Time, out: &mut Vec<Action>) {
        let term = self.record.term.max(self.seen_term).next();
        self.attempts += 1;
        self.dispelled = 0;
        self.phase = Phase::Recording { term, since: now };
        out.push(Action::LogDecision {
            decision: "change primary",
            reason: "the primary is silent, or an earlier change was abandoned",
        });
        self.write(term, None, out);
    }

    fn write(&self, term: Term, primary: Option<MemberId>, out: &mut Vec<Action>) {
        let record = LeadershipRecord { version: 0, term, primary, attempt: self.attempt() };
        out.push(Action::Write { expected: self.record.version, record });
    }

    fn attempt(&self) -> String {
        format!("{}#{}", self.cfg.name, self.attempts)
    }

    /// Takes in the record as it is. It may show that a write whose reply was
    /// lost came about, or that another daemon was faster.
    fn learn(&mut self, now: Time, record: LeadershipRecord, out: &mut Vec<Action>) {
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
            return self.came_about(now, out);
        }
        self.phase = Phase::Steady;
        out.push(Action::SetPrimary { term, primary });
    }

    fn written(&mut self, now: Time, version: u64, out: &mut Vec<Action>) {
        let (term, primary) = match &self.phase {
            Phase::Recording { term, .. } => (*term, None),
            Phase::Settling { term, primary, .. } => (*term, Some(primary.clone())),
            _ => return,
        };
        self.record = LeadershipRecord { version, term, primary, attempt: self.attempt() };
        self.record_since = now;
        self.came_about(now, out);
    }

    /// Goes on after this daemon's own write came about.
    fn came_about(&mut self, now: Time, out: &mut Vec<Action>) {
        match &self.phase {
            Phase::Recording { term, .. } => {
                let term = *term;
                out.push(Action::SetPrimary { term, primary: None });
                self.fence(now, term, out);
            }
            Phase::Settling { term, primary, .. } if self.record.primary.is_some() => {
                let (term, primary) = (*term, primary.clone());
                self.phase = Phase::Steady;
                out.push(Action::SetPrimary { term, primary: Some(primary) });
                out.push(Action::LogDecision {
                    decision: "promote",
                    reason: "furthest of a fenced majority",
                });
            }
            _ => {}
        }
    }

    /// Writes again after a read showed that the write did not come about.
    fn retry_write(&mut self, now: Time, out: &mut Vec<Action>) {
        match &mut self.phase {
            Phase::Recording { term, since } => {
                *since = now;
                let term = *term;
                self.write(term, None, out);
            }
            Phase::Settling { term, primary, since } => {
                *since = now;
                let (term, primary) = (*term, primary.clone());
                self.write(term, Some(primary), out);
            }
            _ => {}
        }
    }

    fn fence(&mut self, now: Time, term: Term, out: &mut Vec<Action>) {
        self.phase = Phase::Fencing { term, since: now, asked: now, replies: Vec::new() };
        out.push(Action::Fence { term });
    }

    fn fenced(&mut self, now: Time, reply: FenceReply, out: &mut Vec<Action>) {
        self.seen_term = self.seen_term.max(reply.term);
        let Phase::Fencing { term, replies, .. } = &mut self.phase else { return };
        if reply.term > *term {
            // Another attempt is ahead of this one; the record will tell.
            self.phase = Phase::Waiting { until: now + self.cfg.retry_after };
            out.push(Action::Read);
            return;
        }
        if reply.term < *term {
            return;
        }
        replies.retain(|known| known.member != reply.member);
        replies.push(reply);
        self.choose(now, out);
    }

    /// Promotes the furthest member once enough have answered.
    fn choose(&mut self, now: Time, out: &mut Vec<Action>) {
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
        let furthest = replies
            .iter()
            .max_by_key(|reply| (reply.position, std::cmp::Reverse(rank(&reply.member))));
        let Some(furthest) = furthest else { return };
        let (member, term) = (furthest.member.clone(), *term);
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
        let Phase::Promoting { term: wanted, member: chosen, .. } = &self.phase else { return };
        if *wanted != term || chosen != member {
            return;
        }
        if !done {
            self.begin(now, out);
            return;
        }
        self.phase = Phase::Settling { term, primary: member.clone(), since: now };
        self.write(term, Some(member.clone()), out);
    }

    fn wait(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.is_idle() {
            return;
        }
        out.push(Action::LogDecision {
            decision: "wait",
            reason: "the platform does not answer; the change goes on when it does",
        });
        if let Phase::Recording { since, .. } | Phase::Settling { since, .. } = &mut self.phase {
            *since = now;
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let again = self.cfg.retry_after;
        match &mut self.phase {
            Phase::Steady => self.adopt_orphan(now, out),
            Phase::Doubting { since } => {
                if now.since(*since) >= self.cfg.reachability_timeout {
                    self.opinion(now, None, out);
                }
            }
            Phase::Recording { since, .. } | Phase::Settling { since, .. } => {
                if now.since(*since) >= again {
                    *since = now;
                    out.push(Action::Read);
                }
            }
            Phase::Fencing { term, asked, .. } => {
                if now.since(*asked) >= again {
                    *asked = now;
                    out.push(Action::Fence { term: *term });
                }
                self.choose(now, out);
            }
            Phase::Promoting { since, .. } => {
                if now.since(*since) >= again {
                    self.begin(now, out);
                }
            }
            Phase::Waiting { until } => {
                if *until <= now {
                    self.phase = Phase::Steady;
                }
            }
        }
    }

    /// Takes over a change that nobody finishes, and repairs a record that the
    /// members have left behind.
    fn adopt_orphan(&mut self, now: Time, out: &mut Vec<Action>) {
        let unfinished = self.record.version > 0 && self.record.primary.is_none();
        let behind = self.record.version > 0 && self.seen_term > self.record.term;
        let old = now.since(self.record_since) >= self.cfg.takeover_after;
        let foreign = self.must_own && self.record.primary.is_some() && !self.owns();
        if foreign || ((unfinished || behind) && old) {
            self.begin(now, out);
        }
    }
}
