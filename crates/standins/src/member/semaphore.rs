use std::{cell::RefCell, collections::VecDeque, rc::Rc};

use futures_channel::oneshot;

/// A counting semaphore that grants permits in the order of the requests.
#[derive(Clone, Debug)]
pub(crate) struct Semaphore {
    state: Rc<RefCell<State>>,
}

#[derive(Debug)]
struct State {
    available: u32,
    waiting: VecDeque<oneshot::Sender<Permit>>,
}

/// A permit of a [`Semaphore`]. Dropping it hands it to the next waiter.
#[derive(Debug)]
pub(crate) struct Permit {
    /// `None` once a waiter has gone away before it took the permit.
    semaphore: Option<Semaphore>,
}

impl Semaphore {
    pub(crate) fn new(permits: u32) -> Semaphore {
        let state = State { available: permits, waiting: VecDeque::new() };
        Semaphore { state: Rc::new(RefCell::new(state)) }
    }

    /// Waits for a permit.
    pub(crate) async fn acquire(&self) -> Permit {
        let receiver = {
            let mut state = self.state.borrow_mut();
            if state.available > 0 {
                state.available -= 1;
                return Permit { semaphore: Some(self.clone()) };
            }
            let (tx, rx) = oneshot::channel();
            state.waiting.push_back(tx);
            rx
        };
        receiver.await.expect("semaphore dropped while a permit is awaited")
    }

    fn release(&self) {
        loop {
            let next = self.state.borrow_mut().waiting.pop_front();
            let Some(next) = next else { break };
            let permit = Permit { semaphore: Some(self.clone()) };
            match next.send(permit) {
                Ok(()) => return,
                Err(mut unclaimed) => unclaimed.semaphore = None,
            }
        }
        self.state.borrow_mut().available += 1;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(semaphore) = self.semaphore.take() {
            semaphore.release();
        }
    }
}
