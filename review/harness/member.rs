//! A member's side of the line protocol.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::world::{Read, World};

/// Time for which a member works on a statement.
const WORK: Duration = Duration::from_millis(4);
/// After this time a member drops a connection whose other end is unreachable.
const UNREACHABLE: Duration = Duration::from_secs(3);

/// Accepts connections of a member.
pub fn listen(world: &World, group: &str, id: &str, listener: TcpListener) {
    let (world, group, id) = (world.clone(), group.to_owned(), id.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let session = Session {
                world: world.clone(),
                group: group.clone(),
                id: id.clone(),
                who: String::new(),
                transaction: None,
                prepared: HashMap::new(),
            };
            thread::spawn(move || session.serve(stream));
        }
    });
}

struct Session {
    world: World,
    group: String,
    id: String,
    /// Who has connected, by its STARTUP.
    who: String,
    transaction: Option<Open>,
    prepared: HashMap<String, String>,
}

struct Open {
    read_only: bool,
    failed: bool,
    writes: Vec<(String, String)>,
}

type Answer = Result<(Option<String>, bool), &'static str>;

impl Session {
    fn serve(mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else { return };
        let mut lines = BufReader::new(reader).lines();
        let mut stream = stream;
        let Some(Ok(startup)) = lines.next() else { return };
        let words: Vec<_> = startup.split(' ').collect();
        self.who = words.get(2).unwrap_or(&"").to_string();
        self.world.lock().connected.insert(self.who.clone());
        if !self.is_reachable() {
            return;
        }
        let other = words.get(3).is_some_and(|id| *id != self.id);
        if words.get(1) != Some(&self.group.as_str()) || other {
            let _ = stream.write_all(b"ERROR MISROUTED another member\r\n");
            return;
        }
        let _ = stream.write_all(self.ready().as_bytes());
        while let Some(Ok(line)) = lines.next() {
            let mut words = line.splitn(3, ' ');
            let (Some("QUERY"), Some(request), Some(text)) =
                (words.next(), words.next(), words.next())
            else {
                return;
            };
            if !self.is_reachable() {
                return;
            }
            let answer = self.run(request, text);
            if !self.is_reachable() {
                return;
            }
            let answer = match answer {
                Ok((row, signed)) => {
                    let row = row.map_or(String::new(), |row| format!("ROW {row}\r\n"));
                    let signature =
                        if signed { format!("{}.sig", self.id) } else { "-".to_owned() };
                    format!("{row}COMPLETE {signature}\r\n")
                }
                Err(code) => format!("ERROR {code} {}\r\n", self.id),
            };
            let answer = format!("{answer}{}", self.ready());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Waits while the member is dark or partitioned from who has connected. False if the
    /// connection has ended meanwhile: then it closes once the partition is over.
    fn is_reachable(&self) -> bool {
        let mut cut_since: Option<Instant> = None;
        loop {
            let cut = {
                let mut state = self.world.lock();
                let member = state.group(&self.group).member(&self.id);
                member.dark || member.cut_from.contains(&self.who)
            };
            if !cut {
                return cut_since.is_none_or(|since| since.elapsed() < UNREACHABLE);
            }
            cut_since.get_or_insert_with(Instant::now);
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn ready(&self) -> String {
        let state = match &self.transaction {
            None => "I",
            Some(open) if open.failed => "E",
            Some(_) => "T",
        };
        let (term, number) = self.world.lock().group(&self.group).member(&self.id).position();
        format!("READY {state} {term}.{number}\r\n")
    }

    fn is_primary(&self) -> bool {
        self.world.lock().group(&self.group).member(&self.id).primary
    }

    fn run(&mut self, request: &str, text: &str) -> Answer {
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, statement) = rest.split_once(' ').ok_or("MALFORMED")?;
            let (term, number) = position.split_once('.').ok_or("MALFORMED")?;
            let after = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
            let held = self.world.lock().group(&self.group).member(&self.id).position();
            if held < after {
                return Err("LAGGING");
            }
            text = statement;
        }
        let words: Vec<_> = text.splitn(3, ' ').collect();
        let (first, second) = (words[0], words.get(1).copied().unwrap_or(""));
        match first {
            "STATUS" => return Ok((Some(self.status()), false)),
            "STEPDOWN" => {
                let term: u64 = second.parse().map_err(|_| "MALFORMED")?;
                let mut state = self.world.lock();
                let member = state.group(&self.group).member(&self.id);
                if member.primary && member.term < term {
                    member.primary = false;
                    self.world.record.line(&format!("STEPDOWN {} to a replica", self.id));
                }
                drop(state);
                return Ok((Some(self.status()), false));
            }
            "RESET" => {
                self.prepared.clear();
                return Ok((None, false));
            }
            "SET" => return Ok((None, false)),
            "PREPARE" => {
                let verb = words.get(2).and_then(|rest| rest.split(' ').next()).unwrap_or("");
                self.prepared.insert(second.to_owned(), verb.to_owned());
                return Ok((None, false));
            }
            "ROLLBACK" => {
                self.transaction = None;
                return Ok((None, false));
            }
            _ => {}
        }
        if self.transaction.as_ref().is_some_and(|open| open.failed) {
            return Err("MALFORMED");
        }
        if let Some(open) = &mut self.transaction {
            let lost =
                !open.read_only && !self.world.lock().group(&self.group).member(&self.id).primary;
            if lost && !(first == "COMMIT" && open.writes.is_empty()) {
                open.failed = true;
                if first == "COMMIT" {
                    self.transaction = None;
                }
                return Err("READONLY");
            }
        }
        match first {
            "BEGIN" => {
                let read_only = second == "FETCH";
                if !read_only && !self.is_primary() {
                    return Err("READONLY");
                }
                self.transaction = Some(Open { read_only, failed: false, writes: Vec::new() });
                Ok((None, false))
            }
            "COMMIT" => {
                thread::sleep(WORK);
                let writes = self.transaction.take().map_or(Vec::new(), |open| open.writes);
                if !writes.is_empty() {
                    self.commit(request, writes)?;
                }
                Ok((None, true))
            }
            "FETCH" | "STORE" => self.data(request, first, second, words.get(2).copied()),
            "EXECUTE" => {
                let verb = self.prepared.get(second).cloned().ok_or("NOSTMT")?;
                let rest = words.get(2).copied().unwrap_or("");
                let (item, value) = rest.split_once(' ').unwrap_or((rest, ""));
                self.data(request, &verb, item, Some(value))
            }
            _ => Err("MALFORMED"),
        }
    }

    fn data(&mut self, request: &str, verb: &str, item: &str, value: Option<&str>) -> Answer {
        thread::sleep(WORK);
        if verb == "FETCH" {
            let own = self.transaction.iter().flat_map(|open| open.writes.iter().rev());
            if let Some((_, value)) = own.clone().find(|(name, _)| name == item) {
                return Ok((Some(value.clone()), true));
            }
            let mut state = self.world.lock();
            state.reads.push(Read {
                group: self.group.clone(),
                member: self.id.clone(),
                request: request.to_owned(),
                at: self.world.record.now(),
            });
            let log = &state.group(&self.group).member(&self.id).log;
            let writes = log.iter().rev().flat_map(|it| it.writes.iter());
            let found = writes.clone().find(|(name, _)| name == item).map(|(_, value)| value);
            return Ok((Some(found.cloned().unwrap_or_else(|| "none".to_owned())), true));
        }
        if !self.is_primary() {
            return Err("READONLY");
        }
        let write = (item.to_owned(), value.unwrap_or("").to_owned());
        match &mut self.transaction {
            Some(open) if open.read_only => return Err("READONLY"),
            Some(open) => open.writes.push(write),
            None => self.commit(request, vec![write])?,
        }
        Ok((None, true))
    }

    fn commit(&self, request: &str, writes: Vec<(String, String)>) -> Result<(), &'static str> {
        let record = &self.world.record;
        let done = self.world.lock().commit(record, &self.group, &self.id, request, writes);
        if done { Ok(()) } else { Err("READONLY") }
    }

    fn status(&self) -> String {
        let mut state = self.world.lock();
        let member = state.group(&self.group).member(&self.id);
        let role = if member.primary { "primary" } else { "replica" };
        let (term, number) = member.position();
        format!("{role} {} {term}.{number} 0 0 0 1", member.term)
    }
}
