use std::{
    io,
    net::{SocketAddr, TcpListener as StdListener},
};

use serde_json::{Value, json};

use crate::{
    deployment::{Deployment, GroupSpec},
    store::Store,
};

/// Table of the project's rows.
const TABLE: &str = "fleet";
/// Table of the VM list, a row for each VM.
const VM_TABLE: &str = "vms";

/// The platform's address, bound and not served yet.
#[derive(Debug)]
pub struct BoundPlatform {
    /// Address with the port that was bound.
    pub addr: SocketAddr,
    listener: StdListener,
    store: Store,
}

/// Binds the platform's address and fills it with a deployment's start: the
/// table, its version, and the first primaries.
pub fn bind_platform(deployment: &Deployment) -> io::Result<BoundPlatform> {
    let listener = StdListener::bind(deployment.platform)?;
    listener.set_nonblocking(true)?;
    let store = first_state(deployment);
    Ok(BoundPlatform { addr: listener.local_addr()?, listener, store })
}

/// Serves the platform until `stop` is closed.
pub async fn run_platform(
    bound: BoundPlatform,
    stop: async_channel::Receiver<()>,
) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(bound.listener)?;
    let until = async move {
        // An error means that the sender is gone, which is what is waited for.
        let _ = stop.recv().await;
    };
    axum::serve(listener, bound.store.router()).with_graceful_shutdown(until).await
}

fn first_state(deployment: &Deployment) -> Store {
    let store = Store::default();
    store.put_object("tables-1", &deployment.table);
    store.put(TABLE, "table", Some(&json!({ "version": 1, "object": "tables-1" })));
    for group in &deployment.groups {
        store.put(TABLE, &format!("reigns/{}", group.id), Some(&first_reign(group)));
        let members = first_members(deployment, group);
        store.put(TABLE, &format!("members/{}", group.id), Some(&members));
    }
    for vm in &deployment.vms {
        store.put(VM_TABLE, &vm.id, Some(&json!(vm)));
    }
    store
}

fn first_reign(group: &GroupSpec) -> Value {
    let primary = group.members.first().map(|member| member.id.clone());
    json!({ "term": 1, "primary": primary })
}

fn first_members(deployment: &Deployment, group: &GroupSpec) -> Value {
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
