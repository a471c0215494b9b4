use base::{GroupId, VmId};
use leadership::{Event, LeadershipRecord};
use membership::HomeAction;
use platform::{Client, Condition, PlatformError, PrimaryRecord, Row, Write};
use tokio::sync::mpsc;

use crate::control::{inbound::Inbound, records::HomeRecord};

/// Writes the record of a group's primary and tells what came of it.
pub(crate) async fn write_reign(
    client: Client,
    by: VmId,
    (group, expected, reign): (GroupId, u64, LeadershipRecord),
    tx: mpsc::Sender<Inbound>,
) {
    let key = PrimaryRecord::key(&group);
    let record = PrimaryRecord {
        term: reign.term,
        primary: reign.primary,
        attempt: reign.attempt,
        by: Some(by),
    };
    let event = match write(&client, &key, expected, &record).await {
        Ok(version) => Event::Written { version },
        Err(PlatformError::Conflict) => return read_reign(client, group, tx).await,
        Err(error) => {
            logs::warn(&format!("recording a primary of {group}: {error}"));
            Event::WriteUnknown
        }
    };
    let _ = tx.send(Inbound::Leadership { group, event }).await;
}

/// Reads the record of a group's primary, then that of its home.
///
/// A new home records its claim before its reign. Read in this order, a reign of
/// a new home never comes without its claim.
pub(crate) async fn read_reign(client: Client, group: GroupId, tx: mpsc::Sender<Inbound>) {
    let inbound = match read_both(&client, &group).await {
        Ok(rows) => Inbound::Reread { group, rows },
        Err(_) => Inbound::Leadership { group, event: Event::ReadFailed },
    };
    let _ = tx.send(inbound).await;
}

/// Writes a claim. Whether it came about shows at the next look.
pub(crate) async fn write_claim(client: Client, action: HomeAction) {
    let HomeAction::Claim { group, version, number, vm, incarnation, handed_over } = action else {
        return;
    };
    let record = HomeRecord { number, vm, incarnation: incarnation.0, handed_over };
    match write(&client, &HomeRecord::key(&group), version, &record).await {
        Ok(_) | Err(PlatformError::Conflict) => {}
        Err(error) => logs::warn(&format!("claiming {group}: {error}")),
    }
}

async fn read_both(client: &Client, group: &GroupId) -> Result<Vec<Row>, PlatformError> {
    let reign = client.row(&PrimaryRecord::key(group)).await?;
    let claim = client.row(&HomeRecord::key(group)).await?;
    Ok(reign.into_iter().chain(claim).collect())
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
