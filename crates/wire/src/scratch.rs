use std::cell::RefCell;

const BUFFER_BYTES: usize = 16 * 1024;
const MAX_FREE_BUFFERS: usize = 16;

thread_local! {
    static FREE_BUFFERS: RefCell<Vec<Vec<u8>>> = const { RefCell::new(Vec::new()) };
}

/// Takes a read buffer from the thread's pool, or allocates one. Connections hold a
/// buffer only during a read, so that idle connections need none.
pub(crate) fn acquire() -> Vec<u8> {
    FREE_BUFFERS.with_borrow_mut(Vec::pop).unwrap_or_else(|| vec![0; BUFFER_BYTES])
}

/// Returns a read buffer to the thread's pool, which keeps a limited number.
pub(crate) fn release(buf: Vec<u8>) {
    FREE_BUFFERS.with_borrow_mut(|buffers| {
        if buffers.len() < MAX_FREE_BUFFERS {
            buffers.push(buf);
        }
    });
}
