use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
};

/// Data and positions of a group's members, in one place.
#[derive(Default)]
pub struct Group {
    pub members: BTreeMap<String, Log>,
    pub primary: String,
    pub term: u64,
}

/// What a member holds.
#[derive(Clone, Default)]
pub struct Log {
    pub items: BTreeMap<String, String>,
    pub term: u64,
    pub number: u64,
}

/// A member that can be stopped.
pub struct Member {
    pub addr: SocketAddr,
    alive: watch::Sender<bool>,
}

#[derive(Default)]
struct Session {
    /// Statements of the open transaction, `None` outside of one.
    writes: Option<Vec<(String, String)>>,
    values: BTreeMap<String, String>,
    names: BTreeMap<String, String>,
}

impl Member {
    /// Starts a member that knows its group.
    pub async fn start(id: &str, service: &str, group: Arc<Mutex<Group>>) -> Member {
        let listener =
            TcpListener::bind("127.0.0.1:0").await.expect("the set-up of the test works");
        let addr = listener.local_addr().expect("the set-up of the test works");
        let (alive, ended) = watch::channel(true);
        let mut stopped = ended.clone();
        let (id, service) = (id.to_owned(), service.to_owned());
        let accept = async move {
            loop {
                let (stream, _) = listener.accept().await.expect("the set-up of the test works");
                let (id, service, group) = (id.clone(), service.clone(), Arc::clone(&group));
                let mut ended = ended.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        _ = serve(stream, id, service, group) => {}
                        _ = ended.changed() => {}
                    }
                });
            }
        };
        tokio::spawn(async move {
            tokio::select! {
                () = accept => {}
                _ = stopped.changed() => {}
            }
        });
        Member { addr, alive }
    }

    /// Ends the member; its connections close.
    pub fn crash(&self) {
        let _ = self.alive.send(false);
    }
}

async fn serve(stream: TcpStream, id: String, service: String, group: Arc<Mutex<Group>>) {
    let (rx, mut tx) = stream.into_split();
    let mut lines = BufReader::new(rx).lines();
    let mut session = Session::default();
    let Ok(Some(startup)) = lines.next_line().await else { return };
    let words: Vec<_> = startup.split(' ').collect();
    if words[1] != service || words[3] != id {
        return send(&mut tx, "ERROR MISROUTED no\r\n").await;
    }
    send(&mut tx, &ready(&session, &group, &id)).await;
    while let Ok(Some(line)) = lines.next_line().await {
        let mut words = line.splitn(3, ' ');
        let (Some("QUERY"), Some(_), Some(text)) = (words.next(), words.next(), words.next())
        else {
            return;
        };
        let answer = run(&mut session, &group, &id, text);
        let answer = format!("{answer}{}", ready(&session, &group, &id));
        send(&mut tx, &answer).await;
    }
}

async fn send(tx: &mut tcp::OwnedWriteHalf, text: &str) {
    // The daemon may have closed the connection.
    let _ = tx.write_all(text.as_bytes()).await;
}

fn ready(session: &Session, group: &Mutex<Group>, id: &str) -> String {
    let group = group.lock().expect("nobody panicked");
    let log = &group.members[id];
    let state = if session.writes.is_some() { "T" } else { "I" };
    format!("READY {state} {}.{}\r\n", log.term, log.number)
}

fn run(session: &mut Session, group: &Mutex<Group>, id: &str, text: &str) -> String {
    let mut group = group.lock().expect("nobody panicked");
    let leads = group.primary == id;
    let log = group.members[id].clone();
    let text = match text.strip_prefix("AFTER ") {
        Some(rest) => {
            let (position, rest) = rest.split_once(' ').expect("the set-up of the test works");
            let (term, number) = position.split_once('.').expect("the set-up of the test works");
            if (log.term, log.number)
                < (
                    term.parse().expect("the set-up of the test works"),
                    number.parse().expect("the set-up of the test works"),
                )
            {
                return "ERROR LAGGING behind\r\n".to_owned();
            }
            rest
        }
        None => text,
    };
    let words: Vec<_> = text.split(' ').collect();
    let signed = format!("COMPLETE {id}.sig\r\n");
    match words[0] {
        "STATUS" | "STEPDOWN" => {
            let role = if leads { "primary" } else { "replica" };
            let (term, number) = (log.term, log.number);
            format!("ROW {role} {term} {term}.{number} 0 0 0 1\r\nCOMPLETE -\r\n")
        }
        "BEGIN" if words.len() == 1 && !leads => format!("ERROR READONLY {id}\r\n"),
        "BEGIN" => {
            session.writes = Some(Vec::new());
            "COMPLETE -\r\n".to_owned()
        }
        "ROLLBACK" => {
            session.writes = None;
            "COMPLETE -\r\n".to_owned()
        }
        "COMMIT" => {
            let writes = session.writes.take().unwrap_or_default();
            if !writes.is_empty() {
                commit(&mut group, writes);
            }
            signed
        }
        "SET" => {
            session.values.insert(words[1].to_owned(), words[2..].join(" "));
            "COMPLETE -\r\n".to_owned()
        }
        "RESET" => {
            *session = Session::default();
            "COMPLETE -\r\n".to_owned()
        }
        "PREPARE" => {
            // A statement of the shape `forgotten` is lost as soon as it is prepared.
            if words[3..] != ["forgotten"] {
                session.names.insert(words[1].to_owned(), words[2].to_owned());
            }
            "COMPLETE -\r\n".to_owned()
        }
        "EXECUTE" => match session.names.get(words[1]) {
            Some(verb) => {
                let verb = verb.clone();
                data(session, &mut group, id, &verb, &words[2..], &signed)
            }
            None => "ERROR NOSTMT no\r\n".to_owned(),
        },
        verb => data(session, &mut group, id, verb, &words[1..], &signed),
    }
}

fn data(
    session: &mut Session,
    group: &mut Group,
    id: &str,
    verb: &str,
    words: &[&str],
    signed: &str,
) -> String {
    if verb == "FETCH" {
        // The item `values` shows what the session has set.
        let value = match words[0] {
            "values" => format!("{:?}", session.values),
            item => group.members[id].items.get(item).cloned().unwrap_or_default(),
        };
        return format!("ROW {value}\r\n{signed}");
    }
    if group.primary != id {
        return format!("ERROR READONLY {id}\r\n");
    }
    let write = (words[0].to_owned(), words[1..].join(" "));
    match &mut session.writes {
        Some(writes) => writes.push(write),
        None => commit(group, vec![write]),
    }
    signed.to_owned()
}

/// Replicas hold a commit at once.
fn commit(group: &mut Group, writes: Vec<(String, String)>) {
    let term = group.term;
    for log in group.members.values_mut() {
        log.items.extend(writes.iter().cloned());
        log.term = term;
        log.number += 1;
    }
}
