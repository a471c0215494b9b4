use base::{FastMap, Position, RequestId};
use table::RowKey;

use crate::submission::Submission;

/// Requests that wait or run, by number.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    states: FastMap<RequestId, RequestState>,
}

/// Progress of a request.
#[derive(Clone, Debug)]
pub(crate) enum RequestState {
    /// Waits for a probe round to tell the position that it must observe.
    AwaitingPosition {
        /// The request.
        submission: Submission,
        /// First round that can tell the position.
        round: u64,
    },
    /// Waits for a slot.
    Queued {
        /// Log position that it must observe at least.
        required: Position,
    },
    /// Holds a slot.
    Running {
        /// Name and rank.
        key: RowKey,
        /// Index of the member.
        member: usize,
        /// Whether it came through the scheduler, unlike a pinned statement.
        scheduled: bool,
    },
}

impl Requests {
    pub(crate) fn insert(&mut self, req: RequestId, state: RequestState) {
        self.states.insert(req, state);
    }

    pub(crate) fn get(&self, req: RequestId) -> Option<&RequestState> {
        self.states.get(&req)
    }

    pub(crate) fn remove(&mut self, req: RequestId) -> Option<RequestState> {
        self.states.remove(&req)
    }

    /// Log position that a queued request must observe; the lowest position for others.
    pub(crate) fn required(&self, req: RequestId) -> Position {
        match self.states.get(&req) {
            Some(RequestState::Queued { required }) => *required,
            _ => Position::default(),
        }
    }

    /// Removes and returns the requests that wait for a position and for which `ready` holds,
    /// in the order of their numbers.
    pub(crate) fn take_awaiting(
        &mut self,
        ready: impl Fn(u64, &Submission) -> bool,
    ) -> Vec<Submission> {
        let mut taken: Vec<RequestId> = Vec::new();
        for (req, state) in &self.states {
            if let RequestState::AwaitingPosition { submission, round } = state {
                if ready(*round, submission) {
                    taken.push(*req);
                }
            }
        }
        taken.sort_unstable();
        taken.into_iter().filter_map(|req| self.take_submission(req)).collect()
    }

    /// Removes and returns every request that does not hold a connection yet.
    pub(crate) fn take_waiting(&mut self) -> Vec<RequestId> {
        let waits = |state: &RequestState| {
            matches!(state, RequestState::AwaitingPosition { .. } | RequestState::Queued { .. })
        };
        let waiting = self.states.iter().filter(|(_, state)| waits(state));
        let mut waiting: Vec<RequestId> = waiting.map(|(req, _)| *req).collect();
        waiting.sort_unstable();
        for req in &waiting {
            self.states.remove(req);
        }
        waiting
    }

    pub(crate) fn any_awaiting_position(&self) -> bool {
        self.states.values().any(|state| matches!(state, RequestState::AwaitingPosition { .. }))
    }

    fn take_submission(&mut self, req: RequestId) -> Option<Submission> {
        match self.states.remove(&req)? {
            RequestState::AwaitingPosition { submission, .. } => Some(submission),
            _ => None,
        }
    }
}
