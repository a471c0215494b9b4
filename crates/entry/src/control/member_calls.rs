use std::{net::SocketAddr, time::Duration};

use adapter::{Code, MemberMsg, own, write};
use bytes::BytesMut;
use snafu::Snafu;
use succession::Status;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

use crate::clock;

/// Limit of one call to a member: 12 ms for the connection, a slot and an answer.
const CALL_LIMIT: Duration = Duration::from_millis(500);

/// Why a member gave no status.
#[derive(Debug, Snafu)]
enum StatusError {
    #[snafu(display("{source}"), context(false))]
    Io { source: std::io::Error },
    #[snafu(display("refused with {code}"))]
    Refused { code: Code },
    #[snafu(display("{message}"))]
    Protocol { message: String },
}

/// Asks a member for its state; with a term, makes it step down first.
pub(crate) async fn status(
    addr: SocketAddr,
    group: &str,
    who: &str,
    member: &str,
    step_down: Option<u64>,
) -> Option<Status> {
    let asked_at = clock::now();
    let call = ask(addr, group, who, member, step_down);
    let row = match time::timeout(CALL_LIMIT, call).await {
        Ok(Ok(row)) => row,
        Ok(Err(error)) => {
            logs::event(
                "member status missing",
                &serde_json::json!({"member": member, "reason": error.to_string()}),
            );
            return None;
        }
        Err(_) => return None,
    };
    let own::MemberStatus { primary, term, received } = own::MemberStatus::parse(&row)?;
    Some(Status { asked_at, primary, received, term })
}

async fn ask(
    addr: SocketAddr,
    group: &str,
    who: &str,
    member: &str,
    step_down: Option<u64>,
) -> Result<String, StatusError> {
    let mut stream = TcpStream::connect(addr).await?;
    let mut out = BytesMut::new();
    write::startup(&mut out, group, who, member);
    stream.write_all(&out).await?;
    let mut inbox = BytesMut::new();
    read_answer(&mut stream, &mut inbox, true).await?;
    out.clear();
    match step_down {
        Some(term) => write::query(&mut out, own::STATEMENT_ID, None, &own::step_down(term)),
        None => write::query(&mut out, own::STATEMENT_ID, None, own::STATUS),
    }
    stream.write_all(&out).await?;
    let row = read_answer(&mut stream, &mut inbox, false).await?;
    row.ok_or_else(|| StatusError::Protocol { message: "an answer without a row".to_owned() })
}

/// Reads up to the next READY; the last row before it.
async fn read_answer(
    stream: &mut TcpStream,
    inbox: &mut BytesMut,
    greeting: bool,
) -> Result<Option<String>, StatusError> {
    let mut row = None;
    loop {
        let taken = MemberMsg::take(inbox);
        match taken.map_err(|error| StatusError::Protocol { message: error.to_string() })? {
            Some(MemberMsg::Row { data }) => row = Some(data),
            Some(MemberMsg::Complete { .. }) => {}
            Some(MemberMsg::Error { code, .. }) => return Err(StatusError::Refused { code }),
            Some(MemberMsg::Ready { .. }) => return Ok(row),
            None => {
                if stream.read_buf(inbox).await? == 0 {
                    let what = if greeting { "greeting" } else { "answer" };
                    let message = format!("closed before the {what} ended");
                    return Err(StatusError::Protocol { message });
                }
            }
        }
    }
}
