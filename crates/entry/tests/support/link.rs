use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// How often a cut link checks whether it is whole again.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Time between the last bytes of a connection and its end, so that the server carries out a request
/// whose sender has left. Servers that notice the end first drop the request.
const CLOSE_DELAY: Duration = Duration::from_millis(50);

/// A forwarding listener that can be partitioned without closing its connections.
///
/// While it is, it behaves like TCP: a connection that is opened meanwhile never comes about, and
/// what is sent on an earlier one is delivered once the partition has healed, unless its sender has
/// reset the connection by then.
pub struct Link {
    pub addr: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    /// Starts to forward connections to `target`, until the test ends.
    pub fn start(target: SocketAddr) -> Link {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("test setup failed");
        let addr = listener.local_addr().expect("test setup failed");
        let is_cut = Arc::new(AtomicBool::new(false));
        let link = Link { addr, is_cut: Arc::clone(&is_cut) };
        thread::spawn(move || {
            for mut client in listener.incoming().flatten() {
                if is_cut.load(Ordering::Relaxed) {
                    // Ends when the client gives up.
                    thread::spawn(move || while let Ok(1..) = client.read(&mut [0; 4096]) {});
                    continue;
                }
                let Ok(server) = TcpStream::connect(target) else { continue };
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let is_cut = Arc::clone(&is_cut);
                    thread::spawn(move || forward(from, to, &is_cut));
                }
            }
        });
        link
    }

    /// Begins a partition.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::Relaxed);
    }

    /// Ends the partition.
    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::Relaxed);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buf = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buf) {
        while is_cut.load(Ordering::Relaxed) {
            thread::sleep(CHECK_INTERVAL);
        }
        let was_reset = !matches!(from.take_error(), Ok(None));
        if was_reset || to.write_all(&buf[..count]).is_err() {
            break;
        }
    }
    thread::sleep(CLOSE_DELAY);
    // Fails if the other direction has closed the connection already.
    let _ = to.shutdown(std::net::Shutdown::Both);
}
