use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha12Rng;

/// Time after which the lock expires: 5 minutes, as in the paper's example.
const LOCK_TTL_MS: f64 = 300_000.0;
/// Duration of an operation without a pause: 2 seconds, as in the paper's example.
const SERVICE_MS: f64 = 2_000.0;
const MAX_PAUSE_MS: f64 = 600_000.0;
const MAX_RETRY_MS: f64 = 600_000.0;

/// Numbers of operations by how often they ran. Each was submitted twice while the first
/// lock holder was paused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ExecutionCounts {
    /// Operations that ran once.
    pub once: u64,
    /// Operations that ran twice.
    pub twice: u64,
}

/// Models at-most-once execution with a lock that expires and can then be acquired by a
/// retry, as in the Lua script of "Architecting Idempotent Consumers in Event-Driven Systems
/// with Redis".
pub fn simulate_expiring_lock(seed: u64, operations: u64) -> ExecutionCounts {
    let mut rng = ChaCha12Rng::seed_from_u64(seed);
    let mut counts = ExecutionCounts::default();
    for _ in 0..operations {
        let end = SERVICE_MS + rng.random_range(0.0..MAX_PAUSE_MS);
        let retry = rng.random_range(0.0..MAX_RETRY_MS);
        let taken_over = retry >= LOCK_TTL_MS && retry < end;
        if taken_over {
            counts.twice += 1;
        } else {
            counts.once += 1;
        }
    }
    counts
}
