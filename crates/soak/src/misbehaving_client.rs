use std::{cell::RefCell, rc::Rc, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{io::AsyncWriteExt, net::TcpStream, sync::watch, time};

use crate::{daemon_addrs::DaemonAddrs, history::History, organisations};

/// Statements that a client sends without reading an answer.
const PIPELINED: u64 = 200;
/// Range of the time that a client keeps its connection, in ms. The longer ones exceed the time
/// limit for a message.
const HOLD_MS: std::ops::Range<u64> = 200..12_000;
/// Time limit for sending; the daemon stops reading.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What a client does instead of reading its answers.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Misbehaviour {
    /// Pipelines reads and reads no answer.
    Pipelines,
    /// Stops half-way through a message.
    StopsInMessage,
}

impl Misbehaviour {
    /// The kinds, of which a run has two clients each.
    pub(crate) const ALL: [Misbehaviour; 2] =
        [Misbehaviour::Pipelines, Misbehaviour::StopsInMessage];
}

/// A client that does not read its answers. Its requests count for the checks of keys, names and
/// limits only.
pub(crate) struct MisbehavingClient {
    pub(crate) number: usize,
    pub(crate) seed: u64,
    pub(crate) misbehaviour: Misbehaviour,
    pub(crate) daemons: DaemonAddrs,
    pub(crate) database: String,
    pub(crate) history: Rc<RefCell<History>>,
}

impl MisbehavingClient {
    /// Opens one connection after the other until `stop` is set.
    pub(crate) async fn run(self, stop: watch::Receiver<bool>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        // Streams of their own, apart from those of the callers.
        rng.set_stream(u64::MAX / 2 - self.number as u64);
        let mut connections = 0_u64;
        while !*stop.borrow() {
            let daemon = self.daemons.get(rng.random_range(0..self.daemons.len()));
            let until = time::Instant::now() + Duration::from_millis(rng.random_range(HOLD_MS));
            connections += 1;
            let text = self.text(connections);
            let opened = time::timeout(SEND_TIMEOUT, TcpStream::connect(daemon)).await;
            if let Ok(Ok(mut stream)) = opened {
                // Both outcomes are as intended: the daemon may stop reading, or close.
                let _ = time::timeout(SEND_TIMEOUT, stream.write_all(text.as_bytes())).await;
                while time::Instant::now() < until && !*stop.borrow() {
                    time::sleep(POLL_INTERVAL).await;
                }
            }
            time::sleep(PAUSE).await;
        }
    }

    /// What the client sends on a connection.
    fn text(&self, connection: u64) -> String {
        let mut history = self.history.borrow_mut();
        let key = history.keys.newest(&organisations::name(self.number));
        let mut text = format!("STARTUP {} {key}\r\n", self.database);
        if matches!(self.misbehaviour, Misbehaviour::StopsInMessage) {
            text.push_str("QUERY x FETCH ite");
            return text;
        }
        for statement in 0..PIPELINED {
            let id = format!("x{}c{connection}s{statement}", self.number);
            history.keys.send(&id, &key);
            text.push_str(&format!("QUERY {id} FETCH x\r\n"));
        }
        text
    }
}
