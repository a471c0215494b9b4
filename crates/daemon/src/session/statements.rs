use std::{
    collections::VecDeque,
    hash::{BuildHasher, Hash, Hasher},
    rc::Rc,
};

use base::FastMap;
use bytes::{Bytes, BytesMut};
use sql::Analysis;
use wire::{Bind, Close, Describe, Frame, Parse, WireError, tags};

use crate::group::{Pooled, Prepared};

const STATEMENT_TARGET: u8 = b'S';
const MAX_PREPARED_STATEMENTS: usize = 256;

/// The caller's prepared statements, which outlive the connections they run on.
#[derive(Debug, Default)]
pub(crate) struct Statements {
    prepared: FastMap<String, PreparedStatement>,
    portals: FastMap<String, Rc<Analysis>>,
}

/// A statement that the caller prepared.
#[derive(Clone, Debug)]
struct PreparedStatement {
    query: String,
    type_oids: Vec<u32>,
    analysis: Rc<Analysis>,
}

/// What the messages of a request speak of.
#[derive(Debug, Default)]
pub(crate) struct StatementRefs {
    /// Every statement that is named.
    pub(crate) referenced: Vec<Rc<Analysis>>,
    /// Statements that are executed, in order.
    pub(crate) executed: Vec<Rc<Analysis>>,
}

/// Answers that the caller must not see, since it did not ask for them.
#[derive(Debug, Default)]
pub(crate) struct SuppressedReplies {
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
    pub(crate) suppressed: SuppressedReplies,
    /// Names prepared by these messages; uncertain if an error follows.
    pub(crate) prepared: Vec<String>,
}

impl Statements {
    /// Notes what the messages prepare and bind; what they speak of.
    pub(crate) fn record(&mut self, frames: &[Frame]) -> Result<StatementRefs, WireError> {
        let mut refs = StatementRefs::default();
        for frame in frames {
            match frame.tag {
                tags::PARSE => {
                    let analysis = self.record_parse(wire::decode(frame)?);
                    refs.referenced.push(analysis);
                }
                tags::BIND => {
                    let bind: Bind = wire::decode(frame)?;
                    let analysis = self.analysis(&bind.statement_name.unwrap_or_default());
                    refs.referenced.push(Rc::clone(&analysis));
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
                    refs.referenced.push(analysis);
                }
                tags::EXECUTE => {
                    let execute: wire::Execute = wire::decode(frame)?;
                    let analysis = self.portal(&execute.name.unwrap_or_default());
                    refs.referenced.push(Rc::clone(&analysis));
                    refs.executed.push(analysis);
                }
                _ => {}
            }
        }
        Ok(refs)
    }

    /// What a prepared statement says; nothing understood if it is unknown.
    pub(crate) fn analysis(&self, name: &str) -> Rc<Analysis> {
        self.prepared.get(name).map(|statement| Rc::clone(&statement.analysis)).unwrap_or_default()
    }

    /// What the statement of a portal says.
    pub(crate) fn portal(&self, name: &str) -> Rc<Analysis> {
        self.portals.get(name).cloned().unwrap_or_default()
    }

    fn record_parse(&mut self, parse: Parse) -> Rc<Analysis> {
        let name = parse.name.unwrap_or_default();
        let unchanged = self.prepared.get(&name).filter(|statement| statement.query == parse.query);
        let analysis = match unchanged {
            Some(statement) => Rc::clone(&statement.analysis),
            None => Rc::new(sql::analyze(&parse.query)),
        };
        let statement = PreparedStatement {
            query: parse.query,
            type_oids: parse.type_oids,
            analysis: Rc::clone(&analysis),
        };
        self.prepared.insert(name, statement);
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
                    let query = self.prepared.get(&name).map(|statement| statement.query.as_str());
                    (query, bind.parameters).hash(&mut hasher);
                }
                _ => {}
            }
        }
        Ok(format!("{:016x}", hasher.finish()))
    }

    /// Forgets a statement or portal that the caller closes.
    pub(crate) fn close(&mut self, close: &Close) {
        let name = close.name.as_deref().unwrap_or_default();
        if close.target_type == STATEMENT_TARGET {
            self.prepared.remove(name);
        } else {
            self.portals.remove(name);
        }
    }

    /// Messages that have the same effect on the upstream connection `conn`,
    /// whatever was prepared on it before.
    pub(crate) fn translate(
        &mut self,
        frames: &[Frame],
        conn: &mut Pooled,
    ) -> Result<Translated, WireError> {
        let mut out = Translated::default();
        for frame in frames {
            match frame.tag {
                tags::PARSE => self.translate_parse(wire::decode(frame)?, conn, &mut out),
                tags::BIND => {
                    let mut bind: Bind = wire::decode(frame)?;
                    let name = bind.statement_name.take().unwrap_or_default();
                    bind.statement_name = self.ensure_prepared(&name, conn, &mut out);
                    wire::encode(&mut out.bytes, &bind);
                }
                tags::DESCRIBE => {
                    let mut describe: Describe = wire::decode(frame)?;
                    if describe.target_type == STATEMENT_TARGET {
                        let name = describe.name.take().unwrap_or_default();
                        describe.name = self.ensure_prepared(&name, conn, &mut out);
                    }
                    wire::encode(&mut out.bytes, &describe);
                }
                tags::CLOSE => self.translate_close(wire::decode(frame)?, conn, &mut out),
                _ => out.bytes.extend_from_slice(&frame.bytes),
            }
        }
        Ok(out)
    }

    fn translate_parse(&mut self, parse: Parse, conn: &mut Pooled, out: &mut Translated) {
        let name = parse.name.clone().unwrap_or_default();
        self.record_parse(parse);
        let Some(statement) = self.prepared.get(&name) else { return };
        let target = upstream_name(&name, statement);
        if conn.prepared.contains_key(&target) {
            queue_close(conn, &target, out);
        }
        queue_parse(conn, &target, statement, out, false);
    }

    fn translate_close(&mut self, mut close: Close, conn: &mut Pooled, out: &mut Translated) {
        if close.target_type == STATEMENT_TARGET {
            let name = close.name.clone().unwrap_or_default();
            if let Some(statement) = self.prepared.remove(&name) {
                let target = upstream_name(&name, &statement);
                conn.prepared.remove(&target);
                close.name = Some(target);
            }
        }
        out.suppressed.closes.push_back(false);
        wire::encode(&mut out.bytes, &close);
    }

    /// Makes sure that a statement is prepared on `conn`; its name there.
    fn ensure_prepared(
        &self,
        name: &str,
        conn: &mut Pooled,
        out: &mut Translated,
    ) -> Option<String> {
        let Some(statement) = self.prepared.get(name) else { return Some(name.to_owned()) };
        let target = upstream_name(name, statement);
        match conn.prepared.get(&target) {
            Some(Prepared::Certain) => {}
            Some(Prepared::Uncertain) => {
                queue_close(conn, &target, out);
                queue_parse(conn, &target, statement, out, true);
            }
            None => queue_parse(conn, &target, statement, out, true),
        }
        Some(target)
    }
}

impl SuppressedReplies {
    /// Whether the caller must not see this answer.
    pub(crate) fn suppresses(&mut self, tag: u8) -> bool {
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
fn upstream_name(name: &str, statement: &PreparedStatement) -> String {
    let hasher = rustc_hash::FxBuildHasher;
    let hash = hasher.hash_one((&statement.query, &statement.type_oids, name.is_empty()));
    format!("cw_{hash:016x}")
}

fn queue_parse(
    conn: &mut Pooled,
    target: &str,
    statement: &PreparedStatement,
    out: &mut Translated,
    suppress: bool,
) {
    evict_if_full(conn, out);
    let parse =
        Parse::new(Some(target.to_owned()), statement.query.clone(), statement.type_oids.clone());
    wire::encode(&mut out.bytes, &parse);
    out.suppressed.parses.push_back(suppress);
    out.prepared.push(target.to_owned());
    conn.prepared.insert(target.to_owned(), Prepared::Certain);
}

fn queue_close(conn: &mut Pooled, target: &str, out: &mut Translated) {
    conn.prepared.remove(target);
    wire::encode(&mut out.bytes, &Close::new(STATEMENT_TARGET, Some(target.to_owned())));
    out.suppressed.closes.push_back(true);
}

fn evict_if_full(conn: &mut Pooled, out: &mut Translated) {
    if conn.prepared.len() < MAX_PREPARED_STATEMENTS {
        return;
    }
    let evicted = conn.prepared.keys().find(|name| !out.prepared.contains(name)).cloned();
    if let Some(evicted) = evicted {
        queue_close(conn, &evicted, out);
    }
}

/// Marks what was being prepared when an error came.
pub(crate) fn mark_uncertain(conn: &mut Pooled, prepared: &[String]) {
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
