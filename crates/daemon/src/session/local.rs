use bytes::BytesMut;
use sql::{Analysis, SettingChange, Statement};
use wire::{
    BindComplete, CloseComplete, CommandComplete, Conn, DataRow, Describe, Execute,
    FieldDescription, Frame, NoData, ParameterDescription, ParseComplete, RowDescription,
    WireError, sqlstate, tags,
};

use crate::session::{profile::Profile, statements::Statements};

/// Object ID of the type `text`.
const TEXT_OID: u32 = 25;

/// Answers a simple query about the proxy's own settings; returns whether it
/// failed.
pub(crate) fn answer_simple(conn: &mut Conn, profile: &mut Profile, analysis: &Analysis) -> bool {
    execute(conn, profile, analysis, true)
}

/// Answers extended-protocol messages about the proxy's own settings.
pub(crate) fn answer_extended(
    conn: &mut Conn,
    profile: &mut Profile,
    statements: &Statements,
    frames: &[Frame],
) -> Result<(), WireError> {
    for frame in frames {
        match frame.tag {
            tags::DESCRIBE => {
                let msg: Describe = wire::decode(frame)?;
                let name = msg.name.unwrap_or_default();
                let analysis = if msg.target_type == b'S' {
                    conn.queue(&ParameterDescription::new(Vec::new()));
                    statements.analysis(&name)
                } else {
                    statements.portal(&name)
                };
                describe(conn, &analysis);
            }
            tags::EXECUTE => {
                let msg: Execute = wire::decode(frame)?;
                let analysis = statements.portal(&msg.name.unwrap_or_default());
                if execute(conn, profile, &analysis, false) {
                    return Ok(());
                }
            }
            tag => queue_completion(conn, tag),
        }
    }
    Ok(())
}

/// Answers a request of a transaction whose connection was lost: accepts the end of
/// the transaction and rejects anything else. Returns whether the transaction has
/// ended.
pub(crate) fn answer_lost_transaction(
    conn: &mut Conn,
    frames: &[Frame],
    ends_transaction: bool,
) -> Result<bool, WireError> {
    if !ends_transaction {
        let message = "current transaction is aborted, commands ignored until its end";
        let detail = "The connection to the upstream was lost. Not run.";
        conn.queue(&wire::error_response(sqlstate::IN_FAILED_TRANSACTION, message, detail));
        return Ok(false);
    }
    if frames.iter().any(|frame| frame.tag == tags::QUERY) {
        conn.queue(&CommandComplete::new("ROLLBACK".to_owned()));
    }
    for frame in frames {
        match frame.tag {
            tags::DESCRIBE => {
                let msg: Describe = wire::decode(frame)?;
                if msg.target_type == b'S' {
                    conn.queue(&ParameterDescription::new(Vec::new()));
                }
                conn.queue(&NoData::new());
            }
            tags::EXECUTE => conn.queue(&CommandComplete::new("ROLLBACK".to_owned())),
            tag => queue_completion(conn, tag),
        }
    }
    Ok(true)
}

/// Queues the completion of a Parse, Bind or Close message; other messages have
/// none.
fn queue_completion(conn: &mut Conn, tag: u8) {
    match tag {
        tags::PARSE => conn.queue(&ParseComplete::new()),
        tags::BIND => conn.queue(&BindComplete::new()),
        tags::CLOSE => conn.queue(&CloseComplete::new()),
        _ => {}
    }
}

fn describe(conn: &mut Conn, analysis: &Analysis) {
    match analysis.statements.as_slice() {
        [Statement::Show { name }] => conn.queue(&text_column(name)),
        _ => conn.queue(&NoData::new()),
    }
}

/// Executes a SET, RESET or SHOW of the proxy's own settings; returns whether it
/// failed.
fn execute(conn: &mut Conn, profile: &mut Profile, analysis: &Analysis, describe: bool) -> bool {
    let result = match analysis.statements.as_slice() {
        [Statement::Setting(SettingChange::Set { name, value })] => {
            profile.set_own(name, value).map(|()| "SET")
        }
        [Statement::Setting(SettingChange::Reset { name })] => {
            profile.set_own(name, "").map(|()| "RESET")
        }
        [Statement::Show { name }] => show(conn, profile, name, describe).map(|()| "SHOW"),
        _ => Err("not a setting of the proxy".to_owned()),
    };
    match result {
        Ok(tag) => conn.queue(&CommandComplete::new(tag.to_owned())),
        Err(ref message) => {
            let error = wire::error_response(sqlstate::INVALID_PARAMETER_VALUE, message, "");
            conn.queue(&error);
        }
    }
    result.is_err()
}

fn show(conn: &mut Conn, profile: &Profile, name: &str, describe: bool) -> Result<(), String> {
    let value = profile.own(name).ok_or_else(|| format!("unrecognized setting {name:?}"))?;
    if describe {
        conn.queue(&text_column(name));
    }
    let mut data = BytesMut::new();
    data.extend_from_slice(&(value.len() as i32).to_be_bytes());
    data.extend_from_slice(value.as_bytes());
    conn.queue(&DataRow::new(data, 1));
    Ok(())
}

fn text_column(name: &str) -> RowDescription {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    RowDescription::new(vec![field])
}
