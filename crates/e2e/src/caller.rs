use std::net::SocketAddr;

use tokio_postgres::{Client, Error, NoTls, SimpleQueryMessage};

/// A session of a real PostgreSQL client, with a label for transcripts.
pub struct Caller {
    client: Client,
    label: String,
}

impl Caller {
    /// Opens a session as `user` with the database `name`. An empty `options` sends no
    /// start-up options.
    pub async fn connect(
        addr: SocketAddr,
        label: &str,
        user: &str,
        name: &str,
        options: &str,
    ) -> Result<Caller, Error> {
        let mut cfg = tokio_postgres::Config::new();
        cfg.host(addr.ip().to_string()).port(addr.port()).user(user).dbname(name);
        if !options.is_empty() {
            cfg.options(options);
        }
        let (client, connection) = cfg.connect(NoTls).await?;
        tokio::spawn(connection);
        Ok(Caller { client, label: label.to_owned() })
    }

    /// The underlying client, for requests that [`Caller::run`] cannot make.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Consumes the caller and returns the underlying client.
    pub fn into_client(self) -> Client {
        self.client
    }

    /// Label of the caller in transcripts.
    pub fn label(&self) -> &str {
        &self.label
    }

    /// Runs a simple query. Returns the answer as text, with a line for each row, completed
    /// statement or error.
    pub async fn run(&self, sql: &str) -> String {
        match self.client.simple_query(sql).await {
            Ok(messages) => messages.iter().filter_map(describe).collect(),
            Err(error) => describe_error(&error),
        }
    }
}

/// Formats an error for a transcript: SQLSTATE, message and detail.
pub fn describe_error(error: &Error) -> String {
    let Some(db) = error.as_db_error() else { return "  connection error\n".to_owned() };
    let detail = db.detail().map(|detail| format!(" ({detail})")).unwrap_or_default();
    format!("  error {}: {}{detail}\n", db.code().code(), db.message())
}

fn describe(message: &SimpleQueryMessage) -> Option<String> {
    match message {
        SimpleQueryMessage::Row(row) => {
            let cells = (0..row.len()).map(|index| row.get(index).unwrap_or("null"));
            Some(format!("  {}\n", cells.collect::<Vec<_>>().join(" | ")))
        }
        SimpleQueryMessage::CommandComplete(count) => Some(format!("  done {count}\n")),
        _ => None,
    }
}
