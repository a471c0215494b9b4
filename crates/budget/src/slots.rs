use crate::holder::{Holder, HolderId};

/// The open sessions, by identifier.
#[derive(Debug)]
pub(crate) struct Slots<T> {
    slots: Vec<(u64, Option<Holder<T>>)>,
    free: Vec<usize>,
    generation: u64,
    len: usize,
}

impl<T> Slots<T> {
    pub(crate) fn new() -> Slots<T> {
        Slots { slots: Vec::new(), free: Vec::new(), generation: 0, len: 0 }
    }

    /// Number of open sessions.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn insert(&mut self, holder: Holder<T>) -> HolderId {
        self.generation += 1;
        self.len += 1;
        let slot = (self.generation, Some(holder));
        let index = match self.free.pop() {
            Some(index) => {
                self.slots[index] = slot;
                index
            }
            None => {
                self.slots.push(slot);
                self.slots.len() - 1
            }
        };
        HolderId { index, generation: self.generation }
    }

    pub(crate) fn get(&self, id: HolderId) -> Option<&Holder<T>> {
        let (generation, holder) = self.slots.get(id.index)?;
        holder.as_ref().filter(|_| *generation == id.generation)
    }

    pub(crate) fn get_mut(&mut self, id: HolderId) -> Option<&mut Holder<T>> {
        let (generation, holder) = self.slots.get_mut(id.index)?;
        holder.as_mut().filter(|_| *generation == id.generation)
    }

    pub(crate) fn remove(&mut self, id: HolderId) -> Option<Holder<T>> {
        let (generation, holder) = self.slots.get_mut(id.index)?;
        if *generation != id.generation {
            return None;
        }
        let removed = holder.take()?;
        self.free.push(id.index);
        self.len -= 1;
        Some(removed)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (HolderId, &Holder<T>)> {
        self.slots.iter().enumerate().filter_map(|(index, (generation, holder))| {
            Some((HolderId { index, generation: *generation }, holder.as_ref()?))
        })
    }
}
