use std::{net::SocketAddr, time::Duration};

use adapter::{Code, MemberMsg, own, write};
use bytes::BytesMut;
use snafu::Snafu;
use succession::CandidateStatus;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::clock;

/// Timeout of one call to a member: 12 ms for the connection, the wait for a slot and the
/// response.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a member returned no status.
#[derive(Debug, Snafu)]
enum StatusError {
    #[snafu(display("{source}"), context(false))]
    Io { source: std::io::Error },
    #[snafu(display("refused with {code}"))]
    Refused { code: Code },
    #[snafu(display("{message}"))]
    Protocol { message: String },
}

/// Queries a member for its status. With `step_down`, orders it to step down in that term
/// and returns the status that it reports.
pub(crate) async fn status(
    addr: SocketAddr,
    group: &str,
    vm: &str,
    member: &str,
    step_down: Option<u64>,
) -> Option<CandidateStatus> {
    let asked_at = clock::now();
    let call = query_status(addr, group, vm, member, step_down);
    let row = match time::timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(row)) => row,
        Ok(Err(error)) => {
            logs::event(
                "member status query failed",
                &serde_json::json!({"member": member, "reason": error.to_string()}),
            );
            return None;
        }
        Err(_) => return None,
    };
    let own::MemberStatus { primary, term, received } = own::MemberStatus::parse(&row)?;
    Some(CandidateStatus { asked_at, primary, received, term })
}

async fn query_status(
    addr: SocketAddr,
    group: &str,
    vm: &str,
    member: &str,
    step_down: Option<u64>,
) -> Result<String, StatusError> {
    let mut stream = TcpStream::connect(addr).await?;
    let mut out = BytesMut::new();
    write::startup(&mut out, group, vm, member);
    stream.write_all(&out).await?;
    let mut input = BytesMut::new();
    read_response(&mut stream, &mut input, true).await?;
    out.clear();
    match step_down {
        Some(term) => write::query(&mut out, own::STATEMENT_ID, None, &own::step_down(term)),
        None => write::query(&mut out, own::STATEMENT_ID, None, own::STATUS),
    }
    stream.write_all(&out).await?;
    let row = read_response(&mut stream, &mut input, false).await?;
    row.ok_or_else(|| StatusError::Protocol { message: "status response without a row".to_owned() })
}

/// Reads up to the next READY and returns the last row before it, if any.
async fn read_response(
    stream: &mut TcpStream,
    input: &mut BytesMut,
    is_startup: bool,
) -> Result<Option<String>, StatusError> {
    let mut row = None;
    loop {
        let taken = MemberMsg::take(input);
        match taken.map_err(|error| StatusError::Protocol { message: error.to_string() })? {
            Some(MemberMsg::Row { data }) => row = Some(data),
            Some(MemberMsg::Complete { .. }) => {}
            Some(MemberMsg::Error { code, .. }) => return Err(StatusError::Refused { code }),
            Some(MemberMsg::Ready { .. }) => return Ok(row),
            None => {
                if stream.read_buf(input).await? == 0 {
                    let what = if is_startup { "startup" } else { "status" };
                    let message = format!("connection closed during the {what} response");
                    return Err(StatusError::Protocol { message });
                }
            }
        }
    }
}
