use std::{
    io,
    net::{SocketAddr, TcpListener as StdListener},
};

use serde_json::{Value, json};

use crate::{
    deployment::{Deployment, GroupSpec},
    store::Store,
};

/// Store table of the daemons' rows.
const TABLE: &str = "fleet";
/// Store table of the VM list, with a row for each VM.
const VM_TABLE: &str = "vms";

/// A platform that listens but does not serve yet.
#[derive(Debug)]
pub struct BoundPlatform {
    /// Address on which it listens, with the port that was bound.
    pub addr: SocketAddr,
    listener: StdListener,
    store: Store,
}

/// Binds the platform's address and fills its store with a deployment's initial state: the
/// operators' table and its version, the primaries and members of the groups, and the VM list.
pub fn bind_platform(deployment: &Deployment) -> io::Result<BoundPlatform> {
    let listener = StdListener::bind(deployment.platform)?;
    listener.set_nonblocking(true)?;
    let store = initial_store(deployment);
    Ok(BoundPlatform { addr: listener.local_addr()?, listener, store })
}

/// Serves the platform until `stop` is closed. Must run on a Tokio runtime.
///
/// # Errors
///
/// If the listener cannot be registered with the runtime.
pub async fn run_platform(
    bound: BoundPlatform,
    stop: async_channel::Receiver<()>,
) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(bound.listener)?;
    let shutdown = async move {
        // Nothing is ever sent: the error of a closed channel is the signal.
        let _ = stop.recv().await;
    };
    axum::serve(listener, bound.store.router()).with_graceful_shutdown(shutdown).await
}

fn initial_store(deployment: &Deployment) -> Store {
    let store = Store::default();
    store.put_object("tables-1", &deployment.table);
    store.put(TABLE, "table", Some(&json!({ "version": 1, "object": "tables-1" })));
    for group in &deployment.groups {
        store.put(TABLE, &format!("reigns/{}", group.id), Some(&initial_leadership_record(group)));
        let members = initial_members(deployment, group);
        store.put(TABLE, &format!("members/{}", group.id), Some(&members));
    }
    for vm in &deployment.vms {
        store.put(VM_TABLE, &vm.id, Some(&json!(vm)));
    }
    store
}

fn initial_leadership_record(group: &GroupSpec) -> Value {
    let primary = group.members.first().map(|member| member.id.clone());
    json!({ "term": 1, "primary": primary })
}

fn initial_members(deployment: &Deployment, group: &GroupSpec) -> Value {
    let members = group.members.iter().map(|member| {
        json!({
            "id": member.id,
            "zone": member.zone,
            "addr": member.addr,
            "slots": deployment.slots,
            "connections": deployment.connections,
            "leaving": false,
        })
    });
    json!({ "members": members.collect::<Vec<_>>() })
}
