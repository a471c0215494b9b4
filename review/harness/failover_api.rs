//! `POST /failover`, and a link to it that can be cut.

use std::{
    io::{BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    world::{Call, World},
};

/// Starts the call's server and returns its address.
pub fn start(world: &World) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let world = world.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let world = world.clone();
            thread::spawn(move || serve(&world, stream));
        }
    });
    addr
}

fn serve(world: &World, mut stream: TcpStream) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(req) = http::read_request(&mut reader) {
        let holder = http::header(&req.head, "X-Corianderwharf-Lease-Holder").unwrap_or_default();
        let token = http::header(&req.head, "X-Corianderwharf-Fence-Token").unwrap_or_default();
        let group = http::text_field(&req.body, "service").unwrap_or_default();
        let id = http::text_field(&req.body, "id").unwrap_or_default();
        world.lock().calls.push(Call {
            member: id.clone(),
            holder: holder.clone(),
            token: token.parse().unwrap_or(0),
            at: world.record.now(),
        });
        let accepted = world.fail_over(&group, &id);
        let status = if accepted { "200 OK" } else { "409 Conflict" };
        world.record.line(&format!(
            "FAILOVER {group} to {id}, asked by {holder} with token {token}: {status}"
        ));
        let answer = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A link that forwards connections and can be cut for a while.
///
/// While it is cut it behaves like TCP over a partition. A connection that is opened meanwhile never
/// comes about. What is sent on an earlier one is held, also if the sender closes it in the usual way,
/// and arrives with the first retransmission after the partition has healed.
#[derive(Clone)]
pub struct Link {
    pub addr: SocketAddr,
    cut: Arc<Mutex<bool>>,
}

/// First retransmission time-out of TCP; it doubles with each attempt.
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);

impl Link {
    pub fn start(world: &World, target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let link = Link { addr, cut: Arc::default() };
        let (accepting, world) = (link.clone(), world.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (link, world) = (accepting.clone(), world.clone());
                thread::spawn(move || link.forward(&world, stream, target));
            }
        });
        link
    }

    pub fn set_cut(&self, cut: bool) {
        *self.cut.lock().unwrap() = cut;
    }

    fn is_cut(&self) -> bool {
        *self.cut.lock().unwrap()
    }

    fn forward(&self, world: &World, near: TcpStream, target: SocketAddr) {
        if self.is_cut() {
            // The opening packet is lost. It is not sent again once the caller has given up.
            let mut near = near;
            let _ = near.set_read_timeout(Some(Duration::from_secs(20)));
            while near.read(&mut [0; 4096]).is_ok_and(|count| count > 0) {}
            return;
        }
        let Ok(far) = TcpStream::connect(target) else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else { return };
        let link = self.clone();
        let back = thread::spawn(move || link.pump_back(far_reader, near));
        self.pump_held(world, near_reader, far);
        let _ = back.join();
    }

    fn pump_held(&self, world: &World, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 4096];
        loop {
            let count = match from.read(&mut buf) {
                Ok(0) | Err(_) => break,
                Ok(count) => count,
            };
            if self.is_cut() {
                let sent_at = Instant::now();
                world.record.line("HELD bytes are under way on a cut link");
                let mut wait = FIRST_RETRANSMISSION;
                let mut due = wait;
                loop {
                    thread::sleep(due.saturating_sub(sent_at.elapsed()));
                    if !self.is_cut() {
                        break;
                    }
                    wait *= 2;
                    due += wait;
                }
                world.record.line("HELD bytes arrive with a retransmission");
            }
            if to.write_all(&buf[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }

    fn pump_back(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 4096];
        while let Ok(count) = from.read(&mut buf) {
            while self.is_cut() {
                thread::sleep(Duration::from_millis(20));
            }
            if count == 0 || to.write_all(&buf[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    }
}
