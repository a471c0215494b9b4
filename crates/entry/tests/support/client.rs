use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A caller that speaks the line protocol.
pub struct Client {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
    next: u64,
    /// What was said so far, `>` by the caller and `<` by the daemon.
    pub transcript: String,
}

/// Answer to one statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    pub rows: Vec<String>,
    /// Signature, or `CODE text`.
    pub result: Result<String, String>,
    pub state: String,
}

impl Client {
    /// Opens a session; what the daemon said instead if it refused.
    pub fn connect(addr: SocketAddr, database: &str) -> Result<Client, String> {
        let stream = TcpStream::connect(addr).map_err(|error| error.to_string())?;
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("the set-up of the test works");
        let lines = BufReader::new(stream.try_clone().expect("the set-up of the test works"));
        let mut client = Client { stream, lines, next: 0, transcript: String::new() };
        client.send(&format!("STARTUP {database} test"));
        let line = client.line();
        if line.starts_with("READY I") { Ok(client) } else { Err(line) }
    }

    /// Runs a statement.
    pub fn query(&mut self, text: &str) -> Reply {
        self.try_query(text).expect("an answer")
    }

    /// Runs a statement; `None` if the session ends without an answer.
    pub fn try_query(&mut self, text: &str) -> Option<Reply> {
        self.next += 1;
        self.send(&format!("QUERY q{} {text}", self.next));
        let mut reply =
            Reply { rows: Vec::new(), result: Err(String::new()), state: String::new() };
        loop {
            let line = self.line();
            if line.is_empty() {
                return None;
            }
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => reply.rows.push(rest.to_owned()),
                "COMPLETE" => reply.result = Ok(rest.to_owned()),
                "ERROR" => reply.result = Err(rest.to_owned()),
                "READY" => {
                    reply.state =
                        rest.split(' ').next().expect("the set-up of the test works").to_owned();
                    return Some(reply);
                }
                other => panic!("unexpected: {other:?}"),
            }
        }
    }

    fn send(&mut self, line: &str) {
        // A daemon that has closed the session is noticed when the answer is read.
        self.transcript.push_str(&format!("> {line}\n"));
        let _ = self.stream.write_all(format!("{line}\r\n").as_bytes());
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        // A connection that was reset has no more lines, as one that was closed.
        let _ = self.lines.read_line(&mut line);
        let line = line.trim_end().to_owned();
        self.transcript.push_str(&format!("< {line}\n"));
        line
    }
}
