use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha12Rng;

/// Time that the paper's lock lasts, in milliseconds (its example: 5 minutes).
const LOCK_MS: f64 = 300_000.0;
/// Usual time that an operation takes, in milliseconds (its example: 2 seconds).
const SERVICE_MS: f64 = 2_000.0;
/// Longest pause of a holder, in milliseconds.
const MAX_PAUSE_MS: f64 = 600_000.0;
/// Longest time until the operation is submitted again, in milliseconds.
const MAX_RETRY_MS: f64 = 600_000.0;

/// How often an operation ran that was submitted twice, while its first holder
/// was paused for a while.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ExecutionCounts {
    /// Operations that ran once.
    pub once: u64,
    /// Operations that ran twice.
    pub twice: u64,
}

/// The paper's record: a lock that expires and is taken over ("Architecting
/// Idempotent Consumers in Event-Driven Systems with Redis", its Lua script).
pub fn simulate_expiring_lock(seed: u64, operations: u64) -> ExecutionCounts {
    let mut rng = ChaCha12Rng::seed_from_u64(seed);
    let mut runs = ExecutionCounts::default();
    for _ in 0..operations {
        let end = SERVICE_MS + rng.random_range(0.0..MAX_PAUSE_MS);
        let retry = rng.random_range(0.0..MAX_RETRY_MS);
        let taken_over = retry >= LOCK_MS && retry < end;
        if taken_over {
            runs.twice += 1;
        } else {
            runs.once += 1;
        }
    }
    runs
}
