use std::collections::VecDeque;

use base::{Span, Time};

use crate::{OrganisationKey, shares::RECLAIM_DELAY};

/// Age of the last acknowledged message up to which a carrier gets loans: as long as the part of one
/// that is lost counts as lent.
const IN_TOUCH: Span = RECLAIM_DELAY;

/// Time after the last answer at which the next one counts as missing: an interval of heartbeats, and
/// the delays of both carriers.
const ANSWER_TIMEOUT: Span = Span::from_millis(300);
/// Least time between a heartbeat and its repetition to a carrier whose answer is missing.
const REPEAT_INTERVAL: Span = Span::from_millis(100);
/// Time after which a heartbeat that is not echoed counts as lost: well above the round-trip time
/// between availability zones.
const ECHO_DELAY: Span = Span::from_millis(50);

/// Least time between two heartbeats in addition to those of the rounds, which limits the messages of
/// carriers whose demand changes all the time.
const ANSWER_INTERVAL: Span = Span::from_millis(50);

/// How long a new process is told whether loans of an earlier one have been in use: longer than it may
/// take to start.
const INTRODUCTION: Span = Span::from_millis(2_000);

/// Another carrier, as its messages describe it.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) name: String,
    /// Distinguishes the peers of this process.
    pub(crate) id: u32,
    pub(crate) last_heard: Time,
    /// When its last heartbeat was received, whatever it contained.
    received_at: Option<Time>,
    /// Identifier of its process.
    run: Option<u64>,
    /// When this process first heard from that one, if the peer had another process before.
    replaced_at: Time,
    /// When the first heartbeat of its present process was received.
    run_heard_at: Time,
    /// Latest time until which a loan of it could be used.
    borrowed_until: Time,
    /// Time since which this carrier has not used loans of its earlier processes.
    unused_since: Time,
    /// Time since which it has not used loans of this carrier's earlier processes, if it has said so.
    free_since: Option<Time>,
    /// Whether a message was sent to it while the own share was usable.
    pub(crate) is_offered: bool,
    last_sent: u64,
    /// When an additional heartbeat was last due to it.
    answered_at: Option<Time>,
    /// When the last messages were sent to it, oldest first.
    sent_at: VecDeque<Time>,
    acknowledged: Option<Time>,
    /// Whether its last message has reported demand that it had not.
    pub(crate) has_new_demand: bool,
    /// Organisations for which it has reported demand.
    pub(crate) demanded: Vec<OrganisationKey>,
    /// Organisations of which it has received loans that may be in use.
    pub(crate) lent: Vec<OrganisationKey>,
    /// Organisations of which it lends parts.
    pub(crate) borrowed: Vec<OrganisationKey>,
}

impl Peer {
    /// Creates a carrier of which this process, which started at `started_at`, has borrowed nothing.
    pub(crate) fn new(now: Time, started_at: Time, id: u32, name: &str) -> Peer {
        Peer {
            name: name.to_owned(),
            id,
            last_heard: now,
            received_at: None,
            run: None,
            replaced_at: Time::default(),
            run_heard_at: now,
            borrowed_until: Time::default(),
            unused_since: started_at,
            free_since: None,
            is_offered: false,
            last_sent: 0,
            answered_at: None,
            sent_at: VecDeque::new(),
            acknowledged: None,
            has_new_demand: false,
            demanded: Vec::new(),
            lent: Vec::new(),
            borrowed: Vec::new(),
        }
    }

    /// Records the process that has sent a heartbeat, and returns whether it has replaced another.
    pub(crate) fn set_run(&mut self, now: Time, run: u64) -> bool {
        self.received_at = self.received_at.max(Some(now));
        let previous = self.run.replace(run);
        if previous == Some(run) {
            return false;
        }
        self.run_heard_at = now;
        if previous.is_none() {
            return false;
        }
        (self.replaced_at, self.last_sent) = (now, 0);
        self.unused_since = self.unused_since.max(self.borrowed_until.min(now));
        true
    }

    /// Records that a loan of it may be used until `until`.
    pub(crate) fn borrow(&mut self, until: Time) {
        self.borrowed_until = self.borrowed_until.max(until);
    }

    /// What to tell its process, if it has just started, about loans of earlier ones: for how many
    /// milliseconds this carrier has not used any.
    pub(crate) fn unused_ms(&self, now: Time) -> u64 {
        let is_new = self.run.is_some() && now.since(self.run_heard_at) < INTRODUCTION;
        if is_new { now.since(self.unused_since).as_millis() } else { 0 }
    }

    /// Records what it has told about loans of this carrier's earlier processes.
    pub(crate) fn set_unused_ms(&mut self, now: Time, unused_ms: u64) {
        // The time began at the latest that long before the receipt.
        if unused_ms > 0 {
            self.free_since = Some(now.before(Span::from_millis(unused_ms)));
        }
    }

    /// Time since which it has certainly not used loans of this carrier's earlier processes, which
    /// may be in use until `latest`.
    pub(crate) fn free_since(&self, latest: Time) -> Time {
        self.free_since.filter(|_| self.has_answered()).unwrap_or(latest)
    }

    /// Whether this is the process that was heard last.
    pub(crate) fn has_run(&self, run: u64) -> bool {
        self.run == Some(run)
    }

    /// Whether a heartbeat may be sent to it in addition to those of the rounds, which is then
    /// counted. With new demand, one of a round that was sent just before does not count: operations
    /// wait for the loan, for less time than the interval.
    pub(crate) fn may_answer(&mut self, now: Time) -> bool {
        let last =
            if self.has_new_demand { self.answered_at } else { self.sent_at.back().copied() };
        let may_answer = last.is_none_or(|at| now.since(at) >= ANSWER_INTERVAL);
        if may_answer {
            self.answered_at = Some(now);
        }
        may_answer
    }

    /// Whether loans in a message that echoes the heartbeat of `asked_at` can be those of the
    /// present process. Delayed messages of an earlier process echo only heartbeats that were sent
    /// before its successor was heard; such a message also counts as one of a new process.
    pub(crate) fn is_lender(&self, asked_at: Time) -> bool {
        self.replaced_at <= asked_at
    }

    /// Time until which a loan that is sent now counts as in use. The heartbeat that the message
    /// echoes was received by now, so that a loan that is sent to a lost carrier is not counted for
    /// longer than one before.
    pub(crate) fn reclaim_at(&self, now: Time) -> Time {
        self.received_at.map_or(now, |at| at.min(now)) + RECLAIM_DELAY
    }

    /// Whether it has received a heartbeat of this process.
    pub(crate) fn has_answered(&self) -> bool {
        self.acknowledged.is_some()
    }

    /// Records a message by its time of sending, and returns whether it is newer than those before.
    pub(crate) fn hear(&mut self, now: Time, sent: u64) -> bool {
        if sent <= self.last_sent {
            return false;
        }
        (self.last_heard, self.last_sent) = (now, sent);
        true
    }

    /// Records that a message is sent to it.
    pub(crate) fn send(&mut self, now: Time) {
        while self.sent_at.front().is_some_and(|at| now.since(*at) >= RECLAIM_DELAY) {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }

    /// Records that it has received a heartbeat that was sent at `sent_at`. Returns the time of the
    /// message in that heartbeat, if it is known.
    pub(crate) fn acknowledge(&mut self, sent_at: Time) -> Option<Time> {
        let message = self.sent_at.iter().rev().find(|at| **at <= sent_at).copied();
        self.acknowledged = self.acknowledged.max(Some(sent_at));
        message
    }

    /// Whether it has missed a heartbeat, as it echoes only the one that was sent at `echoed`.
    pub(crate) fn has_missed(&self, now: Time, echoed: Time) -> bool {
        self.sent_at.iter().any(|at| *at > echoed && now.since(*at) >= ECHO_DELAY)
    }

    /// Whether to repeat the heartbeat to it because its answer is missing. Without an answer until
    /// its loans have expired, it counts as lost.
    pub(crate) fn lacks_answer(&self, now: Time) -> bool {
        let Some(received_at) = self.received_at.filter(|_| self.has_answered()) else {
            return false;
        };
        let silence = now.since(received_at);
        let is_missing = ANSWER_TIMEOUT <= silence && silence < RECLAIM_DELAY;
        is_missing && self.sent_at.back().is_none_or(|at| now.since(*at) >= REPEAT_INTERVAL)
    }

    /// Whether it has demand for a share that `is_usable`, and was not sent a message since.
    pub(crate) fn lacks_loans(&self, now: Time, is_usable: bool) -> bool {
        is_usable && !self.is_offered && !self.demanded.is_empty() && self.is_in_touch(now)
    }

    /// Whether it has received a recent message, and so can use loans.
    pub(crate) fn is_in_touch(&self, now: Time) -> bool {
        self.acknowledged.is_some_and(|at| now.since(at) < IN_TOUCH)
    }
}
