use std::iter;

use base::{GroupId, VmId, store_version};
use leadership::{Event, LeadershipRecord};
use membership::HomeAction;
use platform::{
    Client, Condition, PlatformError, PrimaryRecord, Row, TablePointer, TableVersion, Write,
};
use tokio::sync::mpsc;

use crate::control::{control_event::ControlEvent, records::HomeRecord};

/// Writes the record of a group's primary and reports the outcome to the group's election.
/// If another write came first, the record is read again.
pub(crate) async fn write_leadership_record(
    client: Client,
    by: VmId,
    (group, expected, leadership): (GroupId, u64, LeadershipRecord),
    tx: mpsc::Sender<ControlEvent>,
) {
    let key = PrimaryRecord::key(&group);
    let record = PrimaryRecord {
        term: leadership.term,
        primary: leadership.primary,
        attempt: leadership.attempt,
        by: Some(by),
    };
    let event = match write(&client, &key, expected, &record).await {
        Ok(version) => Event::Written { version },
        Err(PlatformError::Conflict) => return read_leadership_record(client, group, tx).await,
        Err(error) => {
            logs::warn(&format!("recording a primary of {group} failed: {error}"));
            Event::WriteUnknown
        }
    };
    let _ = tx.send(ControlEvent::Leadership { group, event }).await;
}

/// Reads the record of a group's primary, then that of its home.
///
/// A new home writes its claim before its first primary record. Reading in the opposite
/// order makes sure that a record of the new home never arrives without its claim.
pub(crate) async fn read_leadership_record(
    client: Client,
    group: GroupId,
    tx: mpsc::Sender<ControlEvent>,
) {
    let event = match read_record_and_claim(&client, &group).await {
        Ok(rows) => ControlEvent::LeadershipRead { group, rows },
        Err(_) => ControlEvent::Leadership { group, event: Event::ReadFailed },
    };
    let _ = tx.send(event).await;
}

/// Writes a claim. The next poll shows whether the write took effect.
pub(crate) async fn write_claim(client: Client, action: HomeAction) {
    let HomeAction::Claim { group, version, number, vm, incarnation, era, handed_over } = action
    else {
        return;
    };
    let record = HomeRecord { number, vm, incarnation: incarnation.0, handed_over, era };
    match write(&client, &HomeRecord::key(&group), version, &record).await {
        Ok(_) | Err(PlatformError::Conflict) => {}
        Err(error) => logs::warn(&format!("claiming {group} failed: {error}")),
    }
}

/// Writes the operators' table again in the present era of the store, unless another daemon or an
/// operator has done so.
pub(crate) async fn write_table_again(client: Client, version: u64, text: String) {
    if let Err(error) = try_write_table_again(&client, version, &text).await {
        logs::warn(&format!("writing the table again failed: {error}"));
    }
}

async fn try_write_table_again(
    client: &Client,
    version: u64,
    text: &str,
) -> Result<(), PlatformError> {
    let Some(row) = client.row(TablePointer::KEY).await? else { return Ok(()) };
    let stored: TablePointer = row.record()?;
    let era = store_version::era(row.version);
    if stored.is_current(era) {
        return Ok(());
    }
    let pointer = if version > stored.version {
        let object = format!("tables-{version}-era-{era}");
        client.put_object(&object, text).await?;
        let previous = TableVersion { version: stored.version, object: stored.object };
        let history = iter::once(previous).chain(stored.history).collect();
        TablePointer { version, object, history, era }
    } else {
        TablePointer { era, ..stored }
    };
    logs::event(
        "writing table again",
        &serde_json::json!({"era": era, "version": pointer.version, "own": version}),
    );
    match write(client, TablePointer::KEY, row.version, &pointer).await {
        Ok(_) | Err(PlatformError::Conflict) => Ok(()),
        Err(error) => Err(error),
    }
}

async fn read_record_and_claim(
    client: &Client,
    group: &GroupId,
) -> Result<Vec<Row>, PlatformError> {
    let leadership = client.row(&PrimaryRecord::key(group)).await?;
    let claim = client.row(&HomeRecord::key(group)).await?;
    Ok(leadership.into_iter().chain(claim).collect())
}

async fn write(
    client: &Client,
    key: &str,
    expected: u64,
    record: &impl serde::Serialize,
) -> Result<u64, PlatformError> {
    let value = serde_json::to_value(record)?;
    let conditions = [Condition { key: key.to_owned(), version: expected }];
    let writes = [Write { key: key.to_owned(), value }];
    client.transact(&conditions, &writes).await
}
