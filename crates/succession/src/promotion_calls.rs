use base::{FastMap, Span, Time};

use crate::failover::PromotionOutcome;

/// Longest time after which the platform may still carry out a failover call that it has accepted,
/// or received and not answered. It states some hundred milliseconds after the call, which a slow
/// platform exceeds; for a write to its store that it does not answer, it speaks of seconds.
pub const LATE_CALL_MAX: Span = Span::from_millis(8_000);

/// The failover calls for a group that may still take effect.
///
/// No member is promoted while a call for another one may still take effect: the later of the two
/// would replace a primary that daemons use. Calls for the same member do no harm, since the
/// platform changes nothing if it is primary already.
#[derive(Debug, Default)]
pub(crate) struct PromotionCalls {
    members: FastMap<String, MemberCalls>,
}

/// The failover calls for one member.
#[derive(Debug, Default)]
struct MemberCalls {
    /// Number of calls whose outcome this daemon has not learned yet.
    running: u32,
    /// Time until which a call that the platform accepted may take effect.
    accepted_until: Time,
    /// Time until which a call that the platform did not answer may take effect.
    unanswered_until: Time,
}

impl PromotionCalls {
    /// Records that a call for `member` begins.
    pub(crate) fn begin(&mut self, member: &str) {
        self.members.entry(member.to_owned()).or_default().running += 1;
    }

    /// Records the outcome of a call for `member`.
    pub(crate) fn end(&mut self, now: Time, member: &str, outcome: PromotionOutcome) {
        let Some(calls) = self.members.get_mut(member) else { return };
        calls.running = calls.running.saturating_sub(1);
        match outcome {
            PromotionOutcome::Accepted => calls.accepted_until = now + LATE_CALL_MAX,
            PromotionOutcome::Unknown => calls.unanswered_until = now + LATE_CALL_MAX,
            PromotionOutcome::Declined | PromotionOutcome::NotMade => {}
        }
    }

    /// Records that `member` has become primary, so that what was accepted has taken effect.
    pub(crate) fn take_effect(&mut self, member: &str) {
        if let Some(calls) = self.members.get_mut(member) {
            calls.accepted_until = Time::default();
        }
    }

    /// Records a call for `member` by an earlier holder of the lease. Only that holder knows how it
    /// ended.
    pub(crate) fn inherit(&mut self, now: Time, member: &str) {
        let calls = self.members.entry(member.to_owned()).or_default();
        calls.unanswered_until = calls.unanswered_until.max(now + LATE_CALL_MAX);
    }

    /// Members that a call may still promote.
    pub(crate) fn open(&self, now: Time) -> impl Iterator<Item = &str> {
        let open = self.members.iter().filter(move |(_, calls)| calls.may_take_effect(now));
        open.map(|(member, _)| member.as_str())
    }

    /// Whether a call may still promote `member`.
    pub(crate) fn is_open(&self, now: Time, member: &str) -> bool {
        self.members.get(member).is_some_and(|calls| calls.may_take_effect(now))
    }
}

impl MemberCalls {
    fn may_take_effect(&self, now: Time) -> bool {
        self.running > 0 || now < self.accepted_until || now < self.unanswered_until
    }
}
