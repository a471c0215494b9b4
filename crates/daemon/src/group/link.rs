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

const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
const MAX_REPLY_BYTES: usize = 64 * 1024;
const STATUS_COLUMNS: usize = 5;
const PRIMARY_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
const CONTROL_PARAMETERS: [(&str, &str); 2] = [("user", "corianderwharf"), ("group.control", "on")];

/// Request to a member over its control connection.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LinkRequest {
    /// Asks for the member's status.
    Probe {
        /// Probe round, which the reply repeats.
        round: u64,
    },
    /// Tells the member to replicate from the primary of a term.
    Follow {
        /// The term.
        term: Term,
    },
    /// Asks the member to accept a term, on which a primary of a lower term steps down.
    Fence {
        /// The term.
        term: Term,
    },
    /// Asks the member to become primary of a term.
    Promote {
        /// The term.
        term: Term,
    },
}

/// Control connection to a member, for probes and election requests. It is separate from
/// the connections that run callers' requests, so it does not wait behind them.
pub(crate) struct MemberLink {
    pub(crate) index: usize,
    pub(crate) id: MemberId,
    pub(crate) addr: SocketAddr,
    pub(crate) clock: Clock,
    pub(crate) group: GroupHandle,
    pub(crate) rx: mpsc::UnboundedReceiver<LinkRequest>,
}

impl MemberLink {
    /// Executes requests until the group's task ends. Reconnects on the next request after a
    /// failure.
    pub(crate) async fn run(mut self) {
        let mut upstream: Option<Upstream> = None;
        while let Some(first) = self.rx.next().await {
            let req = self.take_queued(first);
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

    /// Takes every queued request and drops all probes but the newest, so that a slow member
    /// is not probed in bursts. Other requests are never dropped.
    fn take_queued(&mut self, first: LinkRequest) -> Vec<LinkRequest> {
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
        match monoio::time::timeout(REPLY_TIMEOUT, connect).await {
            Ok(Ok(upstream)) => Some(upstream),
            _ => {
                monoio::time::sleep(RECONNECT_DELAY).await;
                None
            }
        }
    }

    async fn serve(&self, mut upstream: Upstream, reqs: Vec<LinkRequest>) -> Option<Upstream> {
        for req in reqs {
            let asked_at = self.clock.now();
            let call = call(&mut upstream, req);
            let status = match monoio::time::timeout(REPLY_TIMEOUT, call).await {
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

/// Whether the member at `addr` answers in time and is primary in `term`.
pub(crate) async fn reigns(addr: SocketAddr, term: Term) -> bool {
    let check_primary = async {
        let mut upstream = wire::connect(addr, &CONTROL_PARAMETERS).await?;
        call(&mut upstream, LinkRequest::Probe { round: 0 }).await
    };
    match monoio::time::timeout(PRIMARY_CHECK_TIMEOUT, check_primary).await {
        Ok(Ok(status)) => status.primary && status.term == term,
        _ => false,
    }
}

async fn call(upstream: &mut Upstream, req: LinkRequest) -> Result<MemberStatus, WireError> {
    let text = match req {
        LinkRequest::Probe { .. } => "SELECT group_status()".to_owned(),
        LinkRequest::Follow { term } => format!("SELECT group_follow({term})"),
        LinkRequest::Fence { term } => format!("SELECT group_fence({term})"),
        LinkRequest::Promote { term } => format!("SELECT group_promote({term})"),
    };
    let conn = &mut upstream.conn;
    conn.queue(&Query::new(text));
    conn.flush().await?;
    let mut status = Err(WireError::protocol("the reply has no status row"));
    loop {
        let frame = conn.read_frame(MAX_REPLY_BYTES).await?;
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
    let [term, primary, position, origin, log_end] =
        cells.get(..STATUS_COLUMNS).unwrap_or_default()
    else {
        return Err(WireError::protocol("the status row has fewer than five columns"));
    };
    let invalid = |_| WireError::protocol("the status row has an invalid position");
    Ok(MemberStatus {
        term: Term::new(
            term.parse()
                .map_err(|_| WireError::protocol("the term in the status row is not a number"))?,
        ),
        primary: primary == "t",
        position: position.parse().map_err(invalid)?,
        origin: origin.parse().map_err(invalid)?,
        log_end: log_end.parse().map_err(invalid)?,
    })
}
