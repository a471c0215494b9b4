use std::net::SocketAddr;

use tokio_postgres::{Client, NoTls};

/// A connection to a member that sets its faults and is not touched by them.
pub struct FaultInjector {
    client: Client,
}

impl FaultInjector {
    /// Connects to a member.
    pub async fn connect(addr: SocketAddr) -> FaultInjector {
        let mut cfg = tokio_postgres::Config::new();
        cfg.host(addr.ip().to_string()).port(addr.port()).user("faults").options("faults");
        cfg.application_name("faults").dbname("faults");
        let (client, connection) = cfg.connect(NoTls).await.expect("a member answers");
        tokio::spawn(connection);
        FaultInjector { client }
    }

    /// Sets a fault.
    pub async fn set(&self, fault: &str, value: u64) {
        let call = format!("SELECT standin_set('{fault}', {value})");
        self.client.simple_query(&call).await.expect("a known fault");
    }
}
