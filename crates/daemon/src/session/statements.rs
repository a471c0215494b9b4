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
/// Memory of a statement or portal besides its texts.
const ENTRY_BYTES: usize = 256;
/// Memory of a statement in the length of its text: the text and its analysis.
const STATEMENT_COPIES: usize = 3;
/// Limit on the statements that stay prepared on one upstream connection.
const MAX_PREPARED_STATEMENTS: usize = 256;

/// The caller's prepared statements and portals. They outlive the upstream
/// connections on which they are prepared.
#[derive(Debug, Default)]
pub(crate) struct Statements {
    prepared: FastMap<String, PreparedStatement>,
    portals: FastMap<String, Rc<Analysis>>,
    /// Memory of both.
    bytes: usize,
}

#[derive(Clone, Debug)]
struct PreparedStatement {
    query: String,
    type_oids: Vec<u32>,
    analysis: Rc<Analysis>,
}

impl PreparedStatement {
    fn bytes(&self, name_bytes: usize) -> usize {
        ENTRY_BYTES + name_bytes + STATEMENT_COPIES * self.query.len()
    }
}

/// Statements to which the messages of a request refer.
#[derive(Debug, Default)]
pub(crate) struct StatementRefs {
    /// Statements that are prepared, bound, described or executed.
    pub(crate) referenced: Vec<Rc<Analysis>>,
    /// Statements that are executed, in order.
    pub(crate) executed: Vec<Rc<Analysis>>,
}

/// Which upstream replies to drop because the proxy inserted the message.
#[derive(Debug, Default)]
pub(crate) struct SuppressedReplies {
    /// For each ParseComplete to come, in order, whether to drop it.
    pub(crate) parses: VecDeque<bool>,
    /// For each CloseComplete to come, in order, whether to drop it.
    pub(crate) closes: VecDeque<bool>,
}

/// The caller's messages, translated for an upstream connection.
#[derive(Debug, Default)]
pub(crate) struct Translated {
    /// The encoded messages.
    pub(crate) bytes: BytesMut,
    /// Replies to drop.
    pub(crate) suppressed: SuppressedReplies,
    /// Upstream names of the statements that these messages prepare. After an error
    /// it is not known whether they are prepared.
    pub(crate) prepared: Vec<String>,
}

impl Statements {
    /// Memory of all statements and portals.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Memory that the statements and portals take which the messages create, at most.
    pub(crate) fn added_bytes(frames: &[Frame]) -> usize {
        let created = frames.iter().map(|frame| match frame.tag {
            tags::PARSE => ENTRY_BYTES + STATEMENT_COPIES * frame.bytes.len(),
            tags::BIND => ENTRY_BYTES,
            _ => 0,
        });
        created.sum()
    }

    /// Records the statements and portals that the messages create; returns the
    /// statements to which the messages refer.
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
                    let name = bind.portal_name.unwrap_or_default();
                    self.bytes += ENTRY_BYTES + name.len();
                    let length = name.len();
                    if self.portals.insert(name, analysis).is_some() {
                        self.bytes -= ENTRY_BYTES + length;
                    }
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

    /// Returns the analysis of a prepared statement; for an unknown name, the default,
    /// which counts as not parsed.
    pub(crate) fn analysis(&self, name: &str) -> Rc<Analysis> {
        self.prepared.get(name).map(|statement| Rc::clone(&statement.analysis)).unwrap_or_default()
    }

    /// Returns the analysis of a portal's statement; the default for an unknown name.
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
        let name_bytes = name.len();
        self.bytes += statement.bytes(name_bytes);
        if let Some(old) = self.prepared.insert(name, statement) {
            self.bytes -= old.bytes(name_bytes);
        }
        analysis
    }

    /// Returns a hash of the request's query texts and parameters, but not of the
    /// names that the client chose for its statements.
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

    /// Removes a statement or portal that the caller closes.
    pub(crate) fn close(&mut self, close: &Close) {
        let name = close.name.as_deref().unwrap_or_default();
        if close.target_type == STATEMENT_TARGET {
            self.remove_statement(name);
        } else if self.portals.remove(name).is_some() {
            self.bytes -= ENTRY_BYTES + name.len();
        }
    }

    fn remove_statement(&mut self, name: &str) -> Option<PreparedStatement> {
        let statement = self.prepared.remove(name)?;
        self.bytes -= statement.bytes(name.len());
        Some(statement)
    }

    /// Translates messages so that they have the same effect on the upstream
    /// connection `conn`, whatever is prepared on it.
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

    fn translate_parse(&mut self, parse: Parse, conn: &mut PooledConn, out: &mut Translated) {
        let name = parse.name.clone().unwrap_or_default();
        self.record_parse(parse);
        let Some(statement) = self.prepared.get(&name) else { return };
        let target = upstream_name(&name, statement);
        if conn.prepared.contains_key(&target) {
            queue_close(conn, &target, out);
        }
        queue_parse(conn, &target, statement, out, false);
    }

    fn translate_close(&mut self, mut close: Close, conn: &mut PooledConn, out: &mut Translated) {
        if close.target_type == STATEMENT_TARGET {
            let name = close.name.clone().unwrap_or_default();
            if let Some(statement) = self.remove_statement(&name) {
                let target = upstream_name(&name, &statement);
                conn.prepared.remove(&target);
                close.name = Some(target);
            }
        }
        out.suppressed.closes.push_back(false);
        wire::encode(&mut out.bytes, &close);
    }

    /// Prepares a statement on `conn` unless it is prepared already; returns its name
    /// there.
    fn ensure_prepared(
        &self,
        name: &str,
        conn: &mut PooledConn,
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
    /// Whether to drop the next reply, of type `tag`; advances to the reply after it.
    pub(crate) fn suppresses(&mut self, tag: u8) -> bool {
        let queue = match tag {
            tags::PARSE_COMPLETE => &mut self.parses,
            tags::CLOSE_COMPLETE => &mut self.closes,
            _ => return false,
        };
        queue.pop_front().unwrap_or(false)
    }
}

/// Returns the name under which a statement is prepared on upstream connections.
///
/// The name is derived from the statement's text and parameter types, not from the
/// caller's name for it, so that callers with the same statement share it. The
/// unnamed statement gets a name too, since its next use may be on another
/// connection.
fn upstream_name(name: &str, statement: &PreparedStatement) -> String {
    let hasher = rustc_hash::FxBuildHasher;
    let hash = hasher.hash_one((&statement.query, &statement.type_oids, name.is_empty()));
    format!("cw_{hash:016x}")
}

fn queue_parse(
    conn: &mut PooledConn,
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

fn queue_close(conn: &mut PooledConn, target: &str, out: &mut Translated) {
    conn.prepared.remove(target);
    wire::encode(&mut out.bytes, &Close::new(STATEMENT_TARGET, Some(target.to_owned())));
    out.suppressed.closes.push_back(true);
}

fn evict_if_full(conn: &mut PooledConn, out: &mut Translated) {
    if conn.prepared.len() < MAX_PREPARED_STATEMENTS {
        return;
    }
    let evicted = conn.prepared.keys().find(|name| !out.prepared.contains(name)).cloned();
    if let Some(evicted) = evicted {
        queue_close(conn, &evicted, out);
    }
}

/// Marks statements as uncertain if an error came while they were being prepared.
pub(crate) fn mark_uncertain(conn: &mut PooledConn, prepared: &[String]) {
    for name in prepared {
        conn.prepared.insert(name.clone(), Prepared::Uncertain);
    }
}

/// Encodes a simple query.
pub(crate) fn encode_simple_query(text: &str) -> Bytes {
    let mut buf = BytesMut::new();
    wire::encode(&mut buf, &wire::Query::new(text.to_owned()));
    buf.freeze()
}
