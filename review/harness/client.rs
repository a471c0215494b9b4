//! A client's side of the line protocol.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::record::Record;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request whose success the client has seen, and when, in ms since the start.
#[derive(Clone)]
pub struct Acknowledged {
    pub id: String,
    pub at: u64,
}

/// A client's session at one daemon.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    name: String,
    record: Record,
}

/// Answer to a query.
#[derive(Debug)]
pub enum Reply {
    /// Success, with the rows.
    Complete(Vec<String>),
    Error(String),
    /// The connection ended, or nothing came.
    Nothing,
}

impl Client {
    pub fn connect(
        record: &Record,
        name: &str,
        addr: SocketAddr,
        database: &str,
    ) -> Result<Client, String> {
        let open = || -> std::io::Result<Client> {
            let stream = TcpStream::connect(addr)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_secs(5)))?;
            let reader = BufReader::new(stream.try_clone()?);
            Ok(Client { stream, reader, name: name.to_owned(), record: record.clone() })
        };
        let mut client = open().map_err(|error| error.to_string())?;
        let _ = write!(client.stream, "STARTUP {database}\r\n");
        match client.read_line() {
            Some(line) if line.starts_with("READY") => Ok(client),
            other => Err(format!("STARTUP {database}: {other:?}")),
        }
    }

    /// Sends a statement with a new id and reads the answer.
    pub fn query(&mut self, text: &str) -> (String, Reply) {
        let id = format!("r{:06x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        self.record.line(&format!("SENT {id} by {}: {text}", self.name));
        let _ = write!(self.stream, "QUERY {id} {text}\r\n");
        let mut rows = Vec::new();
        let mut reply = Reply::Nothing;
        loop {
            let Some(line) = self.read_line() else {
                reply = Reply::Nothing;
                break;
            };
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "COMPLETE" => reply = Reply::Complete(std::mem::take(&mut rows)),
                "ERROR" => reply = Reply::Error(rest.to_owned()),
                "READY" => break,
                _ => {}
            }
        }
        self.record.line(&match &reply {
            Reply::Complete(rows) => format!("ANSWERED {id}: COMPLETE with rows {rows:?}"),
            Reply::Error(error) => format!("ANSWERED {id}: ERROR {error}"),
            Reply::Nothing => format!("UNANSWERED {id}"),
        });
        (id, reply)
    }

    fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(count) if count > 0 => Some(line.trim_end().to_owned()),
            _ => None,
        }
    }
}

/// Writes to a database through a daemon, again and again, in one session at a time. Returns the ids
/// that were acknowledged, as they come.
pub fn write_steadily(
    record: &Record,
    name: &str,
    addr: SocketAddr,
    database: &str,
    pause: Duration,
    stop: &Arc<AtomicBool>,
) -> Arc<Mutex<Vec<Acknowledged>>> {
    let acknowledged = Arc::new(Mutex::new(Vec::new()));
    let (record, name, database) = (record.clone(), name.to_owned(), database.to_owned());
    let (done, stop) = (Arc::clone(&acknowledged), Arc::clone(stop));
    thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            let Ok(mut client) = Client::connect(&record, &name, addr, &database) else {
                thread::sleep(pause);
                continue;
            };
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                match client.query(&format!("STORE {name} v{number}")) {
                    (id, Reply::Complete(_)) => {
                        done.lock().unwrap().push(Acknowledged { id, at: record.now() });
                    }
                    (_, Reply::Error(_)) => {}
                    (_, Reply::Nothing) => break,
                }
                thread::sleep(pause);
            }
        }
    });
    acknowledged
}
