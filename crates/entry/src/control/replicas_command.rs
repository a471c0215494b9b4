use std::io;

use adapter::{
    CONFIG_KEY, CallError, Config, MEMBERS_TABLE, MemberEntry, MemberState, OPERATOR_TABLE,
    Settings, StoreClient, StoreKey,
};
use base::store_version;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use succession::{Replica, ReplicaSetRecord};

use crate::control::{
    coordination::{CoordinationState, STATE_TABLE},
    coordinator::encode,
};

/// Attempts to change a record while daemons change it, too.
const MAX_ATTEMPTS: u32 = 5;

/// An operator's command about the members whose logs may hold acknowledged commits. It reads and
/// writes the store; the daemons follow the change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplicasCommand {
    /// Lists the recorded members of all groups.
    List,
    /// Declares that a member which is not listed is lost for good, or, if none is named, that all
    /// members are which are not listed. Acknowledged commits that only they hold are given up.
    GiveUp {
        /// Name of the group.
        group: String,
        /// Identifier of the member.
        member: Option<String>,
    },
}

/// Reason that a command has changed nothing.
#[derive(Debug, Snafu)]
pub enum ReplicasError {
    /// The runtime could not be started.
    #[snafu(display("{source}"))]
    Runtime {
        /// Error from the operating system.
        source: io::Error,
    },
    /// The store could not be read or written.
    #[snafu(display("the store: {source}"))]
    Store {
        /// Error of the call.
        source: CallError,
    },
    /// There is no configuration that can be read.
    #[snafu(display("the store has no readable configuration"))]
    NoConfig,
    /// The configuration has no such group whose commits need replicas.
    #[snafu(display("{group} is no group whose commits are confirmed by replicas"))]
    UnknownGroup {
        /// Name of the group.
        group: String,
    },
    /// The group's record does not name the member.
    #[snafu(display("{member} is not recorded for {group}; see --replicas"))]
    UnknownMember {
        /// Name of the group.
        group: String,
        /// Identifier of the member.
        member: String,
    },
    /// The member is listed, so it is not lost.
    #[snafu(display("{member} is listed; only a member that is not can be given up"))]
    Listed {
        /// Identifier of the member.
        member: String,
    },
    /// Daemons have changed the record at the same time.
    #[snafu(display("the record was changed meanwhile; nothing was given up"))]
    Conflict,
}

/// What the store says of members and their groups.
struct Snapshot {
    config: Config,
    coordination: CoordinationState,
    members: Vec<MemberEntry>,
    store_ms: u64,
}

impl ReplicasCommand {
    /// Carries out the command and returns the text to print.
    ///
    /// # Errors
    ///
    /// If the store cannot be read or written, or the group or the member is not as expected. Nothing
    /// has been changed then.
    pub fn run(&self, settings: &Settings) -> Result<String, ReplicasError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let store = StoreClient::new(settings.store);
        runtime.context(RuntimeSnafu)?.block_on(async {
            match self {
                ReplicasCommand::List => Ok(list(&Snapshot::read(&store).await?)),
                ReplicasCommand::GiveUp { group, member } => {
                    give_up(&store, group, member.as_deref()).await
                }
            }
        })
    }
}

impl Snapshot {
    async fn read(store: &StoreClient) -> Result<Snapshot, ReplicasError> {
        let config = StoreKey { table: OPERATOR_TABLE, key: CONFIG_KEY };
        let config = store.row(config).await.context(StoreSnafu)?;
        let config = config.and_then(|row| Config::decode(&row.value?).ok());
        let rows = store.rows(STATE_TABLE).await.context(StoreSnafu)?;
        let mut coordination = CoordinationState::default();
        coordination.begin_era(store_version::era(rows.version), false);
        coordination.apply_rows(&rows.rows);
        let entries = store.rows(MEMBERS_TABLE).await.context(StoreSnafu)?;
        let members = entries
            .rows
            .iter()
            .filter_map(|row| MemberEntry::decode(&row.key, row.value.as_ref()?));
        Ok(Snapshot {
            config: config.context(NoConfigSnafu)?,
            coordination,
            members: members.collect(),
            store_ms: rows.clock_ms,
        })
    }

    fn is_listed(&self, group: &str, member: &str) -> bool {
        self.members.iter().any(|it| it.group == group && it.id == member)
    }
}

fn list(snapshot: &Snapshot) -> String {
    let mut text = String::new();
    for group in snapshot.config.groups.iter().filter(|group| group.sync_replicas > 0) {
        let name = &group.name;
        let known = snapshot.coordination.replica_set(name);
        if !known.is_complete {
            text.push_str(&format!("{name}: not all members are known that may hold commits\n"));
        }
        for (id, replica) in known.record.into_iter().flat_map(|record| &record.members) {
            let state = if snapshot.is_listed(name, id) { "listed" } else { "not listed" };
            text.push_str(&format!("{name} {id} {} {state}\n", replica.addr));
        }
        if let Some(omitted) = known.record.map(|record| record.omitted).filter(|it| *it > 0) {
            text.push_str(&format!("{name}: {omitted} more, not listed\n"));
        }
    }
    text
}

async fn give_up(
    store: &StoreClient,
    group: &str,
    member: Option<&str>,
) -> Result<String, ReplicasError> {
    for _ in 0..MAX_ATTEMPTS {
        let snapshot = Snapshot::read(store).await?;
        let known = snapshot.coordination.replica_set(group);
        let mut groups = snapshot.config.groups.iter();
        let exists = groups.any(|it| it.name == group && it.sync_replicas > 0);
        ensure!(exists, UnknownGroupSnafu { group });
        let record = match member {
            Some(member) => {
                ensure!(!snapshot.is_listed(group, member), ListedSnafu { member });
                let record = known.record.filter(|record| record.members.contains_key(member));
                let mut record = record.context(UnknownMemberSnafu { group, member })?.clone();
                record.members.remove(member);
                record
            }
            None => record_of_listed(&snapshot, group),
        };
        let key = CoordinationState::replica_set_key(group);
        let place = StoreKey { table: STATE_TABLE, key: &key };
        let change = snapshot.coordination.transaction(snapshot.store_ms);
        let change = change.with_expected(place, known.version).with_put(place, &encode(&record));
        match store.apply(&change).await {
            Ok(_) => {
                let whom = member.unwrap_or("every member that is not listed");
                return Ok(format!("{group}: {whom} is given up\n"));
            }
            Err(CallError::Conflict) => {}
            Err(source) => return Err(ReplicasError::Store { source }),
        }
    }
    Err(ReplicasError::Conflict)
}

/// A complete record of the listed members.
fn record_of_listed(snapshot: &Snapshot, group: &str) -> ReplicaSetRecord {
    let members = snapshot.members.iter().filter(|member| member.group == group);
    let members = members.map(|it| {
        let leaving = it.state == MemberState::Draining;
        (it.id.clone(), Replica { addr: it.addr, leaving })
    });
    let era = snapshot.coordination.era;
    ReplicaSetRecord { members: members.collect(), omitted: 0, era }
}
