use std::net::SocketAddr;

use tokio_postgres::{Client, NoTls};

/// A connection to a stand-in member that sets the member's faults and is itself exempt from
/// them.
pub struct FaultInjector {
    client: Client,
}

impl FaultInjector {
    /// Connects to the member at `addr`.
    pub async fn connect(addr: SocketAddr) -> FaultInjector {
        let mut cfg = tokio_postgres::Config::new();
        cfg.host(addr.ip().to_string()).port(addr.port()).user("faults").options("faults");
        cfg.application_name("faults").dbname("faults");
        let (client, connection) =
            cfg.connect(NoTls).await.expect("the member accepts connections");
        tokio::spawn(connection);
        FaultInjector { client }
    }

    /// Sets a fault by its name; the meaning of `value` depends on the fault.
    pub async fn set(&self, fault: &str, value: u64) {
        let call = format!("SELECT standin_set('{fault}', {value})");
        self.client.simple_query(&call).await.expect("the member knows the fault");
    }
}
