use std::collections::VecDeque;

use base::{CallerId, FastMap, Position};

/// Position of each caller's last write, in bounded memory.
///
/// When a caller is evicted, its position is merged into the floor, which the reads of every
/// caller must reach. Eviction can thus send more reads to the primary, but never lets a
/// caller miss its own writes.
#[derive(Debug)]
pub struct CallerWritePositions {
    capacity: usize,
    floor: Position,
    positions: FastMap<CallerId, Position>,
    /// Recorded writes, oldest first; an entry is superseded once its caller writes again.
    write_order: VecDeque<(CallerId, Position)>,
}

impl CallerWritePositions {
    /// Creates an empty map that remembers at most `capacity` callers.
    pub fn new(capacity: usize) -> CallerWritePositions {
        CallerWritePositions {
            capacity,
            floor: Position::default(),
            positions: FastMap::default(),
            write_order: VecDeque::new(),
        }
    }

    /// Records a write of `caller` at `position`. A position below the known one is ignored.
    pub fn record_write(&mut self, caller: &CallerId, position: Position) {
        let last = self.positions.entry(caller.clone()).or_default();
        if *last >= position {
            return;
        }
        *last = position;
        self.write_order.push_back((caller.clone(), position));
        self.evict();
    }

    /// Position that reads of `caller` must reach.
    pub fn required(&self, caller: &CallerId) -> Position {
        let last = self.positions.get(caller).copied().unwrap_or_default();
        last.max(self.floor)
    }

    /// Position that reads of every caller must reach.
    pub fn floor(&self) -> Position {
        self.floor
    }

    /// Raises the floor to `position` if it is lower.
    pub fn raise_floor(&mut self, position: Position) {
        self.floor = self.floor.max(position);
    }

    /// Number of callers with a position of their own, apart from the floor.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no caller has a position of its own.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    #[cfg(test)]
    pub(crate) fn write_order_len(&self) -> usize {
        self.write_order.len()
    }

    fn evict(&mut self) {
        while self.positions.len() > self.capacity || self.write_order.len() > 2 * self.capacity {
            let Some((caller, position)) = self.write_order.pop_front() else { return };
            let superseded = self.positions.get(&caller).is_none_or(|last| *last != position);
            if superseded {
                continue;
            }
            self.positions.remove(&caller);
            self.raise_floor(position);
        }
    }
}
