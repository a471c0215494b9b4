use std::collections::VecDeque;

use base::{CallerId, FastMap, Position};

/// Position of each caller's last write, in bounded memory.
///
/// An evicted mark is folded into the floor, which every caller's reads must
/// reach. Forgetting thus costs replica share, never consistency.
#[derive(Debug)]
pub struct CallerWritePositions {
    capacity: usize,
    floor: Position,
    marks: FastMap<CallerId, Position>,
    order: VecDeque<(CallerId, Position)>,
}

impl CallerWritePositions {
    /// Room for `capacity` callers.
    pub fn new(capacity: usize) -> CallerWritePositions {
        CallerWritePositions {
            capacity,
            floor: Position::default(),
            marks: FastMap::default(),
            order: VecDeque::new(),
        }
    }

    /// Notes a write of `caller` at `position`.
    pub fn record_write(&mut self, caller: &CallerId, position: Position) {
        let mark = self.marks.entry(caller.clone()).or_default();
        if *mark >= position {
            return;
        }
        *mark = position;
        self.order.push_back((caller.clone(), position));
        self.evict();
    }

    /// The position that reads of `caller` must reach.
    pub fn required(&self, caller: &CallerId) -> Position {
        let mark = self.marks.get(caller).copied().unwrap_or_default();
        mark.max(self.floor)
    }

    /// The position that reads of every caller must reach.
    pub fn floor(&self) -> Position {
        self.floor
    }

    /// Raises the floor to `position`.
    pub fn raise_floor(&mut self, position: Position) {
        self.floor = self.floor.max(position);
    }

    /// Number of callers remembered one by one.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether no caller is remembered.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    #[cfg(test)]
    pub(crate) fn order_len(&self) -> usize {
        self.order.len()
    }

    fn evict(&mut self) {
        while self.marks.len() > self.capacity || self.order.len() > 2 * self.capacity {
            let Some((caller, position)) = self.order.pop_front() else { return };
            let superseded = self.marks.get(&caller).is_none_or(|mark| *mark != position);
            if superseded {
                continue;
            }
            self.marks.remove(&caller);
            self.raise_floor(position);
        }
    }
}
