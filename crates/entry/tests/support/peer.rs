use std::{
    net::{IpAddr, SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use serde_json::{Value, json};
use standins::lines::Platform;

/// A carrier that only answers heartbeats, and says what the test wants.
pub struct Peer {
    newest_config: Arc<AtomicU64>,
}

impl Peer {
    /// Registers the carrier in the store and starts to answer heartbeats, until the test ends.
    pub fn start(platform: &Platform, ip: &str) -> Peer {
        let ip: IpAddr = ip.parse().expect("test setup failed");
        let socket = UdpSocket::bind((ip, 0)).expect("test setup failed");
        let addr = socket.local_addr().expect("test setup failed");
        let record = json!({"vm": "peer", "addr": addr, "sessions": SocketAddr::new(ip, 1),
            "zone": "a", "since_ms": 0, "gone": false});
        platform.put_row("corianderwharf", "carrier/a/7", record.to_string().as_bytes());
        let newest_config = Arc::new(AtomicU64::new(0));
        let newest = Arc::clone(&newest_config);
        thread::spawn(move || answer_heartbeats(&socket, &newest));
        Peer { newest_config }
    }

    /// Sets the version of the newest configuration row that the carrier says to have.
    pub fn set_newest_config(&self, version: u64) {
        self.newest_config.store(version, Ordering::Relaxed);
    }
}

fn answer_heartbeats(socket: &UdpSocket, newest_config: &AtomicU64) {
    let mut buf = [0; 16 * 1024];
    for number in 1_u64.. {
        let Ok((count, from)) = socket.recv_from(&mut buf) else { return };
        let asked: Value = serde_json::from_slice(&buf[..count]).expect("a heartbeat");
        let answer = json!({"from": "peer", "run": 1, "carries": true, "accepts_sessions": true,
            "acts": true, "number": number, "echo": asked["number"], "echo_run": asked["run"],
            "version": 0, "newest": [newest_config.load(Ordering::Relaxed), 0, 0],
            "carriers_version": 0, "opinions": []});
        socket.send_to(answer.to_string().as_bytes(), from).expect("test setup failed");
    }
}
