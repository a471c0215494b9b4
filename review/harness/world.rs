//! Database groups: members with logs, replication and promotion, as PROTOCOL.md describes them.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::record::Record;

/// Time from a failover call to its effect.
const PROMOTION: Duration = Duration::from_millis(600);
/// How long a replaced primary goes on once it can reach the new one.
const DEMOTION: Duration = Duration::from_millis(1_000);

#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    pub term: u64,
    pub number: u64,
    pub request: String,
    pub writes: Vec<(String, String)>,
}

pub struct Member {
    pub id: String,
    pub addr: SocketAddr,
    pub primary: bool,
    pub term: u64,
    pub log: Vec<Commit>,
    /// Receives nothing from the primary.
    pub deaf: bool,
    /// Answers nobody, without a reset.
    pub dark: bool,
    /// Partitioned from the other members.
    pub isolated: bool,
    /// Daemons that it is partitioned from.
    pub cut_from: HashSet<String>,
    /// State that it reports, and since when the store has acknowledged the present one.
    pub state: &'static str,
    pub acknowledged: Option<(&'static str, u64)>,
    reaches_new_since: Option<Instant>,
    pub born: u64,
    pub sequence: u64,
}

pub struct Group {
    pub name: String,
    pub term: u64,
    pub members: Vec<Member>,
    /// Member whose promotion is under way.
    promoting: Option<String>,
}

/// A promotion that has taken effect.
#[derive(Clone)]
pub struct Promotion {
    pub group: String,
    pub member: String,
    pub term: u64,
    pub at: u64,
    /// The log that the member had.
    pub log: Vec<Commit>,
}

/// A commit as a member ran it.
#[derive(Clone)]
pub struct Run {
    pub group: String,
    pub member: String,
    pub term: u64,
    pub request: String,
    pub at: u64,
}

/// A failover call as the platform received it.
#[derive(Clone)]
pub struct Call {
    pub member: String,
    pub holder: String,
    pub token: u64,
    pub at: u64,
}

/// A read as a member ran it.
#[derive(Clone)]
pub struct Read {
    pub group: String,
    pub member: String,
    pub request: String,
    pub at: u64,
}

pub struct State {
    pub reads: Vec<Read>,
    /// Daemons that have connected to a member.
    pub connected: HashSet<String>,
    pub calls: Vec<Call>,
    pub groups: Vec<Group>,
    pub promotions: Vec<Promotion>,
    pub runs: Vec<Run>,
}

#[derive(Clone)]
pub struct World {
    state: Arc<Mutex<State>>,
    pub record: Record,
}

impl World {
    pub fn new(record: &Record) -> World {
        let state = State {
            reads: Vec::new(),
            connected: HashSet::new(),
            calls: Vec::new(),
            groups: Vec::new(),
            promotions: Vec::new(),
            runs: Vec::new(),
        };
        let world = World { state: Arc::new(Mutex::new(state)), record: record.clone() };
        let ticker = world.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                ticker.tick();
            }
        });
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Changes a member.
    pub fn change<T>(&self, group: &str, id: &str, change: impl FnOnce(&mut Member) -> T) -> T {
        let mut state = self.lock();
        change(state.group(group).member(id))
    }

    /// Lets members answer nobody for a while, without a reset. They keep their logs.
    pub fn darken(&self, group: &str, ids: &[String], length: Duration) {
        let set = |world: &World, group: &str, ids: &[String], dark| {
            for id in ids {
                world.change(group, id, |member| member.dark = dark);
            }
        };
        self.record.line(&format!("TROUBLE {ids:?} go dark"));
        set(self, group, ids, true);
        let (world, group, ids) = (self.clone(), group.to_owned(), ids.to_vec());
        thread::spawn(move || {
            thread::sleep(length);
            world.record.line(&format!("{ids:?} answer again"));
            set(&world, &group, &ids, false);
        });
    }

    /// Handles `POST /failover`. False if the member is not running.
    pub fn fail_over(&self, group: &str, id: &str) -> bool {
        let mut state = self.lock();
        let Some(found) = state.groups.iter_mut().find(|it| it.name == group) else { return false };
        let newest = found.term;
        let busy = found.promoting.is_some();
        let same = found.promoting.as_deref() == Some(id);
        let Some(member) = found.members.iter_mut().find(|it| it.id == id) else { return false };
        if member.dark {
            return false;
        }
        if same || (!busy && member.primary && member.term == newest) {
            return true;
        }
        found.promoting = Some(id.to_owned());
        let (world, group, id) = (self.clone(), group.to_owned(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(PROMOTION);
            world.promote(&group, &id);
        });
        true
    }

    fn promote(&self, name: &str, id: &str) {
        let at = self.record.now();
        let mut state = self.lock();
        let group = state.group(name);
        group.term += 1;
        group.promoting = None;
        let term = group.term;
        let member = group.member(id);
        (member.primary, member.term, member.reaches_new_since) = (true, term, None);
        let log = member.log.clone();
        state.promotions.push(Promotion {
            group: name.to_owned(),
            member: id.to_owned(),
            term,
            at,
            log,
        });
        self.record.line(&format!("PROMOTED {id} of {name} leads term {term}"));
    }

    fn tick(&self) {
        let mut state = self.lock();
        for group in &mut state.groups {
            let newest = group.term;
            let Some(lead) = group.members.iter().find(|it| it.primary && it.term == newest) else {
                continue;
            };
            if lead.dark || lead.isolated {
                continue;
            }
            let (lead_id, log) = (lead.id.clone(), lead.log.clone());
            for member in &mut group.members {
                if member.id == lead_id || member.dark || member.isolated {
                    continue;
                }
                if member.primary {
                    let since = *member.reaches_new_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= DEMOTION {
                        member.primary = false;
                        self.record.line(&format!("{} learns that it was replaced", member.id));
                    } else {
                        continue;
                    }
                }
                if !member.deaf && (member.term != newest || member.log.len() != log.len()) {
                    (member.term, member.log) = (newest, log.clone());
                }
            }
        }
    }
}

impl State {
    pub fn group(&mut self, name: &str) -> &mut Group {
        self.groups.iter_mut().find(|it| it.name == name).expect("a known group")
    }

    /// Commits on a member that acts as primary; false if it is none. With `sync`, a replica must
    /// receive the commit.
    pub fn commit(
        &mut self,
        record: &Record,
        group_name: &str,
        id: &str,
        request: &str,
        writes: Vec<(String, String)>,
    ) -> bool {
        let at = record.now();
        let group = self.group(group_name);
        let member = group.member(id);
        if !member.primary {
            return false;
        }
        let number = member.log.last().map_or(0, |it| it.number) + 1;
        let term = member.term;
        let commit = Commit { term, number, request: request.to_owned(), writes };
        member.log.push(commit.clone());
        let (len, isolated) = (member.log.len(), member.isolated);
        for other in &mut group.members {
            let follows = !other.primary && other.term == term && other.log.len() + 1 == len;
            if follows && !(isolated || other.isolated || other.deaf || other.dark) {
                other.log.push(commit.clone());
            }
        }
        record.line(&format!("RUN {request} committed at {id} as {term}.{number}"));
        self.runs.push(Run {
            group: group_name.to_owned(),
            member: id.to_owned(),
            term,
            request: request.to_owned(),
            at,
        });
        true
    }
}

impl Group {
    pub fn new(name: &str, members: Vec<Member>) -> Group {
        Group { name: name.to_owned(), term: 1, members, promoting: None }
    }

    pub fn member(&mut self, id: &str) -> &mut Member {
        self.members.iter_mut().find(|it| it.id == id).expect("a known member")
    }
}

impl Member {
    pub fn new(id: &str, addr: SocketAddr, primary: bool) -> Member {
        Member {
            id: id.to_owned(),
            addr,
            primary,
            term: 1,
            log: Vec::new(),
            deaf: false,
            dark: false,
            isolated: false,
            cut_from: HashSet::new(),
            state: "ready",
            acknowledged: None,
            reaches_new_since: None,
            born: unix_ms(),
            sequence: 0,
        }
    }

    /// End of the log.
    pub fn position(&self) -> (u64, u64) {
        self.log.last().map_or((1, 0), |it| (it.term, it.number))
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
