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

/// A forwarding listener that can fall silent without closing its connections.
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
            for client in listener.incoming().flatten() {
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

    /// Holds everything back from now on.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::Relaxed);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buf = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buf) {
        while is_cut.load(Ordering::Relaxed) {
            thread::sleep(CHECK_INTERVAL);
        }
        if to.write_all(&buf[..count]).is_err() {
            break;
        }
    }
    // Fails if the other direction has closed the connection already.
    let _ = to.shutdown(std::net::Shutdown::Both);
}
