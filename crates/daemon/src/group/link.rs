use std::{net::SocketAddr, time::Duration};

use base::{MemberId, Term, Time};
use futures_channel::mpsc;
use futures_util::StreamExt;
use home::{MemberStatus, ProbeReply};
use leadership::FenceReply;
use wire::{DataRow, Query, Upstream, WireError, tags};

use crate::{
    clock::Clock,
    group::{
        handle::{GroupEvent, GroupHandle},
        query,
    },
};

const ANSWER_LIMIT: Duration = Duration::from_millis(400);
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
const MAX_ANSWER_BYTES: usize = 64 * 1024;
const STATUS_FIELDS: usize = 5;
const EXAMINE_LIMIT: Duration = Duration::from_millis(250);
const CONTROL_PARAMETERS: [(&str, &str); 2] = [("user", "corianderwharf"), ("group.control", "on")];

/// What a link is asked to do.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LinkRequest {
    /// Ask for the member's status.
    Probe {
        /// Number of the round.
        round: u64,
    },
    /// Tell the member to follow the primary of a term.
    Follow {
        /// The term.
        term: Term,
    },
    /// Ask the member to accept a term.
    Fence {
        /// The term.
        term: Term,
    },
    /// Ask the member to be primary of a term.
    Promote {
        /// The term.
        term: Term,
    },
}

/// A connection for probes, apart from those that carry requests.
pub(crate) struct MemberLink {
    pub(crate) index: usize,
    pub(crate) id: MemberId,
    pub(crate) addr: SocketAddr,
    pub(crate) clock: Clock,
    pub(crate) group: GroupHandle,
    pub(crate) rx: mpsc::UnboundedReceiver<LinkRequest>,
}

impl MemberLink {
    /// Answers requests until the group's task ends.
    pub(crate) async fn run(mut self) {
        let mut upstream: Option<Upstream> = None;
        while let Some(first) = self.rx.next().await {
            let req = self.latest(first);
            let Some(open) = upstream.take() else {
                upstream = self.open().await;
                if let Some(open) = upstream.take() {
                    upstream = self.serve(open, req).await;
                }
                continue;
            };
            upstream = self.serve(open, req).await;
        }
    }

    /// Skips to the newest probe; orders are never skipped.
    fn latest(&mut self, first: LinkRequest) -> Vec<LinkRequest> {
        let mut all = vec![first];
        while let Ok(next) = self.rx.try_recv() {
            if matches!(next, LinkRequest::Probe { .. }) {
                all.retain(|req| !matches!(req, LinkRequest::Probe { .. }));
            }
            all.push(next);
        }
        all
    }

    async fn open(&self) -> Option<Upstream> {
        let connect = wire::connect(self.addr, &CONTROL_PARAMETERS);
        match monoio::time::timeout(ANSWER_LIMIT, connect).await {
            Ok(Ok(upstream)) => Some(upstream),
            _ => {
                monoio::time::sleep(RECONNECT_PAUSE).await;
                None
            }
        }
    }

    async fn serve(&self, mut upstream: Upstream, reqs: Vec<LinkRequest>) -> Option<Upstream> {
        for req in reqs {
            let asked_at = self.clock.now();
            let inquire = inquire(&mut upstream, req);
            let status = match monoio::time::timeout(ANSWER_LIMIT, inquire).await {
                Ok(Ok(status)) => status,
                Ok(Err(WireError::Refused { .. })) => {
                    self.refused(req);
                    continue;
                }
                _ => return None,
            };
            self.report(req, asked_at, status);
        }
        Some(upstream)
    }

    fn report(&self, req: LinkRequest, asked_at: Time, status: MemberStatus) {
        match req {
            LinkRequest::Probe { round } => {
                let reply = ProbeReply { member: self.index, round, asked_at, status };
                self.group.send(GroupEvent::Probed(reply));
            }
            LinkRequest::Follow { term } => {
                logs::event("followed", &serde_json::json!({ "member": self.id, "term": term }));
            }
            LinkRequest::Fence { .. } => {
                let reply = FenceReply {
                    member: self.id.clone(),
                    term: status.term,
                    position: status.log_end,
                };
                self.group.send(GroupEvent::Leadership(leadership::Event::Fenced(reply)));
            }
            LinkRequest::Promote { term } => {
                self.promoted(term, status.primary && status.term == term);
            }
        }
    }
}

impl MemberLink {
    fn refused(&self, req: LinkRequest) {
        if let LinkRequest::Promote { term } = req {
            self.promoted(term, false);
        }
    }

    fn promoted(&self, term: Term, done: bool) {
        let event = leadership::Event::Promoted { member: self.id.clone(), term, done };
        self.group.send(GroupEvent::Leadership(event));
    }
}

/// Whether the member at `addr` is primary under `term`.
pub(crate) async fn reigns(addr: SocketAddr, term: Term) -> bool {
    let examine = async {
        let mut upstream = wire::connect(addr, &CONTROL_PARAMETERS).await?;
        inquire(&mut upstream, LinkRequest::Probe { round: 0 }).await
    };
    match monoio::time::timeout(EXAMINE_LIMIT, examine).await {
        Ok(Ok(status)) => status.primary && status.term == term,
        _ => false,
    }
}

async fn inquire(upstream: &mut Upstream, req: LinkRequest) -> Result<MemberStatus, WireError> {
    let text = match req {
        LinkRequest::Probe { .. } => "SELECT group_status()".to_owned(),
        LinkRequest::Follow { term } => format!("SELECT group_follow({term})"),
        LinkRequest::Fence { term } => format!("SELECT group_fence({term})"),
        LinkRequest::Promote { term } => format!("SELECT group_promote({term})"),
    };
    let conn = &mut upstream.conn;
    conn.queue(&Query::new(text));
    conn.flush().await?;
    let mut status = Err(WireError::protocol("no status row"));
    loop {
        let frame = conn.read_frame(MAX_ANSWER_BYTES).await?;
        match frame.tag {
            tags::DATA_ROW => status = read_status(&wire::decode(&frame)?),
            tags::ERROR_RESPONSE => {
                let (code, message) = wire::error_fields(&frame)?;
                status = Err(WireError::Refused { code, message });
            }
            tags::READY_FOR_QUERY => return status,
            _ => {}
        }
    }
}

fn read_status(row: &DataRow) -> Result<MemberStatus, WireError> {
    let cells = query::text_cells(&row.data);
    let [term, primary, position, origin, log_end] = cells.get(..STATUS_FIELDS).unwrap_or_default()
    else {
        return Err(WireError::protocol("a status row has five cells"));
    };
    let wrong = |_| WireError::protocol("a status cell cannot be read");
    Ok(MemberStatus {
        term: Term::new(term.parse().map_err(|_| WireError::protocol("a term is a number"))?),
        primary: primary == "t",
        position: position.parse().map_err(wrong)?,
        origin: origin.parse().map_err(wrong)?,
        log_end: log_end.parse().map_err(wrong)?,
    })
}
