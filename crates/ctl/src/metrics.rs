use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// Time limit for connecting to a daemon, and for each read and write.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest response that is read; metrics of 100 organisations have some 80 kB.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;

/// Reads the metrics of all daemons concurrently, in the order of their addresses.
pub(crate) fn read_all(addrs: &[SocketAddr]) -> Vec<io::Result<String>> {
    thread::scope(|scope| {
        let reads: Vec<_> =
            addrs.iter().map(|addr| scope.spawn(move || read_metrics(*addr))).collect();
        let failed = || Err(io::Error::other("the read failed"));
        reads.into_iter().map(|read| read.join().unwrap_or_else(|_| failed())).collect()
    })
}

/// Reads the metrics of one daemon over HTTP.
fn read_metrics(addr: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&addr, IO_TIMEOUT)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    // HTTP/1.0 responses are not sent in chunks.
    write!(stream, "GET /metrics HTTP/1.0\r\nHost: {addr}\r\nConnection: close\r\n\r\n")?;
    let mut response = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut response)?;
    let (head, body) =
        response.split_once("\r\n\r\n").ok_or_else(|| io::Error::other("not an HTTP response"))?;
    let status = head.lines().next().unwrap_or_default();
    if status.split_whitespace().nth(1) != Some("200") {
        return Err(io::Error::other(format!("HTTP response {status:?}")));
    }
    Ok(body.to_owned())
}
