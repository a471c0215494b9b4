use base::{Span, Term, Time};
use table::Acknowledgement;

use crate::{action::Action, probes::Probes, submission::Commit};

/// Commits that wait for a probe round to prove that they are safe to acknowledge.
#[derive(Debug)]
pub(crate) struct PendingCommits {
    timeout: Span,
    /// Earliest time of an acknowledgement.
    delayed_until: Time,
    waiting: Vec<PendingCommit>,
}

#[derive(Debug)]
struct PendingCommit {
    commit: Commit,
    /// First probe round that can prove it.
    round: u64,
    deadline: Time,
}

enum Outcome {
    Wait,
    Acknowledge,
    Unresolved(&'static str),
}

impl PendingCommits {
    pub(crate) fn new(timeout: Span) -> PendingCommits {
        PendingCommits { timeout, delayed_until: Time::default(), waiting: Vec::new() }
    }

    /// Adds a commit that waits for `round`, which must not have started yet.
    pub(crate) fn push(&mut self, now: Time, commit: Commit, round: u64) {
        self.waiting.push(PendingCommit { commit, round, deadline: now + self.timeout });
    }

    /// Postpones acknowledgements until `time`.
    pub(crate) fn delay_until(&mut self, time: Time) {
        self.delayed_until = time;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Resolves the commits that the latest probe replies or the timeout decide.
    pub(crate) fn resolve(
        &mut self,
        now: Time,
        leadership: (Term, Option<usize>),
        probes: &Probes,
        out: &mut Vec<Action>,
    ) {
        let delayed = now < self.delayed_until;
        self.waiting.retain(|waiting| {
            if delayed && waiting.deadline > now {
                return true;
            }
            let req = waiting.commit.req;
            match outcome(now, waiting, leadership, probes) {
                Outcome::Wait => return true,
                Outcome::Acknowledge => out.push(Action::Acknowledge { req }),
                Outcome::Unresolved(reason) => out.push(Action::Unresolved { req, reason }),
            }
            false
        });
    }
}

fn outcome(
    now: Time,
    waiting: &PendingCommit,
    (term, primary): (Term, Option<usize>),
    probes: &Probes,
) -> Outcome {
    let expired = waiting.deadline <= now;
    let unproven =
        if expired { Outcome::Unresolved("no proof within the time limit") } else { Outcome::Wait };
    let Some(primary) = primary else { return unproven };
    let Some(proof) = probes.proof(waiting.round, term, primary) else { return unproven };
    let position = waiting.commit.position;
    if position.term < term {
        // Written in an earlier term: the write survived if the log that the primary had when
        // it took over ends in that term, at or past the position.
        let survived = proof.status.origin.term == position.term && proof.status.origin >= position;
        return if survived {
            Outcome::Acknowledge
        } else {
            Outcome::Unresolved("the primary was replaced")
        };
    }
    let is_replicated = match waiting.commit.ack {
        Acknowledgement::Primary => true,
        Acknowledgement::Replica => probes.replicated(term, primary, position),
    };
    if is_replicated { Outcome::Acknowledge } else { unproven }
}
