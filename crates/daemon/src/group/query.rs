use std::net::SocketAddr;

use base::Position;
use wire::{DataRow, ParameterStatus, Query, WireError, tags};

use crate::group::pooled_conn::PooledConn;

const MAX_REPLY_BYTES: usize = 1024 * 1024;
const POSITION_PARAMETER: &str = "group.position";

/// Result of a query that the daemon itself issued.
#[derive(Debug, Default)]
pub(crate) struct QueryResult {
    /// Rows in text format; a null is an empty string.
    pub(crate) rows: Vec<Vec<String>>,
    /// SQLSTATE and message if the query failed.
    pub(crate) error: Option<(String, String)>,
    /// Log position of the commit if the query wrote anything.
    pub(crate) position: Option<Position>,
}

impl PooledConn {
    /// Runs a query of the daemon's own by the simple query protocol.
    pub(crate) async fn query(&mut self, sql: &str) -> Result<QueryResult, WireError> {
        let conn = &mut self.upstream.conn;
        conn.queue(&Query::new(sql.to_owned()));
        conn.flush().await?;
        let mut result = QueryResult::default();
        loop {
            let frame = conn.read_frame(MAX_REPLY_BYTES).await?;
            match frame.tag {
                tags::DATA_ROW => {
                    let row: DataRow = wire::decode(&frame)?;
                    result.rows.push(text_cells(&row.data));
                }
                tags::ERROR_RESPONSE => result.error = Some(wire::error_fields(&frame)?),
                tags::PARAMETER_STATUS => {
                    let parameter: ParameterStatus = wire::decode(&frame)?;
                    if parameter.name == POSITION_PARAMETER {
                        result.position = parameter.value.parse().ok();
                    }
                }
                tags::READY_FOR_QUERY => return Ok(result),
                _ => {}
            }
        }
    }

    /// Address of the server.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.upstream.addr
    }
}

/// Decodes the columns of a data row as text. A null becomes an empty string, and a
/// malformed column ends the list.
pub(crate) fn text_cells(mut data: &[u8]) -> Vec<String> {
    let mut cells = Vec::new();
    while let Some((length, rest)) = data.split_first_chunk::<4>() {
        let length = usize::try_from(i32::from_be_bytes(*length)).unwrap_or_default();
        let Some(cell) = rest.get(..length) else { break };
        cells.push(String::from_utf8_lossy(cell).into_owned());
        data = &rest[length..];
    }
    cells
}
