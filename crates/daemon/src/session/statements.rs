use std::{
    collections::VecDeque,
    hash::{BuildHasher, Hash, Hasher},
    rc::Rc,
};

use base::FastMap;
use bytes::{Bytes, BytesMut};
use sql::Analysis;
use wire::{Bind, Close, Describe, Frame, Parse, WireError, tags};

use crate::group::{PooledConn, Prepared};

const STATEMENT_TARGET: u8 = b'S';
const MAX_PREPARED: usize = 256;

/// The caller's prepared statements, which outlive the connections they run on.
#[derive(Debug, Default)]
pub(crate) struct Statements {
    known: FastMap<String, Known>,
    portals: FastMap<String, Rc<Analysis>>,
}

/// A statement that the caller prepared.
#[derive(Clone, Debug)]
struct Known {
    query: String,
    type_oids: Vec<u32>,
    analysis: Rc<Analysis>,
}

/// What the messages of a request speak of.
#[derive(Debug, Default)]
pub(crate) struct Touched {
    /// Every statement that is named.
    pub(crate) mentioned: Vec<Rc<Analysis>>,
    /// Statements that are executed, in order.
    pub(crate) executed: Vec<Rc<Analysis>>,
}

/// Answers that the caller must not see, since it did not ask for them.
#[derive(Debug, Default)]
pub(crate) struct Swallow {
    /// For each parse answer to come, whether to swallow it.
    pub(crate) parses: VecDeque<bool>,
    /// For each close answer to come, whether to swallow it.
    pub(crate) closes: VecDeque<bool>,
}

/// Messages for an upstream, made from the caller's.
#[derive(Debug, Default)]
pub(crate) struct Translated {
    /// The messages.
    pub(crate) bytes: BytesMut,
    /// Answers to swallow.
    pub(crate) swallow: Swallow,
    /// Names prepared by these messages; uncertain if an error follows.
    pub(crate) prepared: Vec<String>,
}

impl Statements {
    /// Notes what the messages prepare and bind; what they speak of.
    pub(crate) fn note(&mut self, frames: &[Frame]) -> Result<Touched, WireError> {
        let mut touched = Touched::default();
        for frame in frames {
            match frame.tag {
                tags::PARSE => {
                    let analysis = self.note_parse(wire::decode(frame)?);
                    touched.mentioned.push(analysis);
                }
                tags::BIND => {
                    let bind: Bind = wire::decode(frame)?;
                    let analysis = self.analysis(&bind.statement_name.unwrap_or_default());
                    touched.mentioned.push(Rc::clone(&analysis));
                    self.portals.insert(bind.portal_name.unwrap_or_default(), analysis);
                }
                tags::DESCRIBE => {
                    let describe: Describe = wire::decode(frame)?;
                    let name = describe.name.unwrap_or_default();
                    let analysis = if describe.target_type == STATEMENT_TARGET {
                        self.analysis(&name)
                    } else {
                        self.portal(&name)
                    };
                    touched.mentioned.push(analysis);
                }
                tags::EXECUTE => {
                    let execute: wire::Execute = wire::decode(frame)?;
                    let analysis = self.portal(&execute.name.unwrap_or_default());
                    touched.mentioned.push(Rc::clone(&analysis));
                    touched.executed.push(analysis);
                }
                _ => {}
            }
        }
        Ok(touched)
    }

    /// What a prepared statement says; nothing understood if it is unknown.
    pub(crate) fn analysis(&self, name: &str) -> Rc<Analysis> {
        self.known.get(name).map(|known| Rc::clone(&known.analysis)).unwrap_or_default()
    }

    /// What the statement of a portal says.
    pub(crate) fn portal(&self, name: &str) -> Rc<Analysis> {
        self.portals.get(name).cloned().unwrap_or_default()
    }

    fn note_parse(&mut self, parse: Parse) -> Rc<Analysis> {
        let name = parse.name.unwrap_or_default();
        let same = self.known.get(&name).filter(|known| known.query == parse.query);
        let analysis = match same {
            Some(known) => Rc::clone(&known.analysis),
            None => Rc::new(sql::analyze(&parse.query)),
        };
        let known = Known {
            query: parse.query,
            type_oids: parse.type_oids,
            analysis: Rc::clone(&analysis),
        };
        self.known.insert(name, known);
        analysis
    }

    /// What distinguishes one request from another: texts and parameters, but
    /// not the names that a client gives to its statements.
    pub(crate) fn fingerprint(&self, frames: &[Frame]) -> Result<String, WireError> {
        let mut hasher = rustc_hash::FxHasher::default();
        for frame in frames {
            match frame.tag {
                tags::QUERY => frame.body().hash(&mut hasher),
                tags::BIND => {
                    let bind: Bind = wire::decode(frame)?;
                    let name = bind.statement_name.unwrap_or_default();
                    let query = self.known.get(&name).map(|known| known.query.as_str());
                    (query, bind.parameters).hash(&mut hasher);
                }
                _ => {}
            }
        }
        Ok(format!("{:016x}", hasher.finish()))
    }

    /// Forgets a statement or portal that the caller closes.
    pub(crate) fn forget(&mut self, close: &Close) {
        let name = close.name.as_deref().unwrap_or_default();
        if close.target_type == STATEMENT_TARGET {
            self.known.remove(name);
        } else {
            self.portals.remove(name);
        }
    }

    /// Messages that have the same effect on the upstream connection `conn`,
    /// whatever was prepared on it before.
    pub(crate) fn translate(
        &mut self,
        frames: &[Frame],
        conn: &mut PooledConn,
    ) -> Result<Translated, WireError> {
        let mut out = Translated::default();
        for frame in frames {
            match frame.tag {
                tags::PARSE => self.translate_parse(wire::decode(frame)?, conn, &mut out),
                tags::BIND => {
                    let mut bind: Bind = wire::decode(frame)?;
                    let name = bind.statement_name.take().unwrap_or_default();
                    bind.statement_name = self.ensure(&name, conn, &mut out);
                    wire::encode(&mut out.bytes, &bind);
                }
                tags::DESCRIBE => {
                    let mut describe: Describe = wire::decode(frame)?;
                    if describe.target_type == STATEMENT_TARGET {
                        let name = describe.name.take().unwrap_or_default();
                        describe.name = self.ensure(&name, conn, &mut out);
                    }
                    wire::encode(&mut out.bytes, &describe);
                }
                tags::CLOSE => self.translate_close(wire::decode(frame)?, conn, &mut out),
                _ => out.bytes.extend_from_slice(&frame.bytes),
            }
        }
        Ok(out)
    }

    fn translate_parse(&mut self, parse: Parse, conn: &mut PooledConn, out: &mut Translated) {
        let name = parse.name.clone().unwrap_or_default();
        self.note_parse(parse);
        let Some(known) = self.known.get(&name) else { return };
        let target = upstream_name(&name, known);
        if conn.prepared.contains_key(&target) {
            close_on(conn, &target, out);
        }
        prepare_on(conn, &target, known, out, false);
    }

    fn translate_close(&mut self, mut close: Close, conn: &mut PooledConn, out: &mut Translated) {
        if close.target_type == STATEMENT_TARGET {
            let name = close.name.clone().unwrap_or_default();
            if let Some(known) = self.known.remove(&name) {
                let target = upstream_name(&name, &known);
                conn.prepared.remove(&target);
                close.name = Some(target);
            }
        }
        out.swallow.closes.push_back(false);
        wire::encode(&mut out.bytes, &close);
    }

    /// Makes sure that a statement is prepared on `conn`; its name there.
    fn ensure(&self, name: &str, conn: &mut PooledConn, out: &mut Translated) -> Option<String> {
        let Some(known) = self.known.get(name) else { return Some(name.to_owned()) };
        let target = upstream_name(name, known);
        match conn.prepared.get(&target) {
            Some(Prepared::Certain) => {}
            Some(Prepared::Uncertain) => {
                close_on(conn, &target, out);
                prepare_on(conn, &target, known, out, true);
            }
            None => prepare_on(conn, &target, known, out, true),
        }
        Some(target)
    }
}

impl Swallow {
    /// Whether the caller must not see this answer.
    pub(crate) fn hides(&mut self, tag: u8) -> bool {
        let queue = match tag {
            tags::PARSE_COMPLETE => &mut self.parses,
            tags::CLOSE_COMPLETE => &mut self.closes,
            _ => return false,
        };
        queue.pop_front().unwrap_or(false)
    }
}

/// The name under which a statement is prepared upstream.
///
/// It follows from the text alone, so that callers with the same statement
/// share it. The unnamed statement gets a name too: its next use may come on
/// another connection.
fn upstream_name(name: &str, known: &Known) -> String {
    let hasher = rustc_hash::FxBuildHasher;
    let hash = hasher.hash_one((&known.query, &known.type_oids, name.is_empty()));
    format!("cw_{hash:016x}")
}

fn prepare_on(
    conn: &mut PooledConn,
    target: &str,
    known: &Known,
    out: &mut Translated,
    hide: bool,
) {
    make_room(conn, out);
    let parse = Parse::new(Some(target.to_owned()), known.query.clone(), known.type_oids.clone());
    wire::encode(&mut out.bytes, &parse);
    out.swallow.parses.push_back(hide);
    out.prepared.push(target.to_owned());
    conn.prepared.insert(target.to_owned(), Prepared::Certain);
}

fn close_on(conn: &mut PooledConn, target: &str, out: &mut Translated) {
    conn.prepared.remove(target);
    wire::encode(&mut out.bytes, &Close::new(STATEMENT_TARGET, Some(target.to_owned())));
    out.swallow.closes.push_back(true);
}

fn make_room(conn: &mut PooledConn, out: &mut Translated) {
    if conn.prepared.len() < MAX_PREPARED {
        return;
    }
    let victim = conn.prepared.keys().find(|name| !out.prepared.contains(name)).cloned();
    if let Some(victim) = victim {
        close_on(conn, &victim, out);
    }
}

/// Marks what was being prepared when an error came.
pub(crate) fn doubt(conn: &mut PooledConn, prepared: &[String]) {
    for name in prepared {
        conn.prepared.insert(name.clone(), Prepared::Uncertain);
    }
}

/// A simple query as bytes.
pub(crate) fn simple_query(text: &str) -> Bytes {
    let mut buf = BytesMut::new();
    wire::encode(&mut buf, &wire::Query::new(text.to_owned()));
    buf.freeze()
}
