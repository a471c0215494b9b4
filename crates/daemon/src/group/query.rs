use std::net::SocketAddr;

use base::Position;
use wire::{DataRow, ParameterStatus, Query, WireError, tags};

use crate::group::pooled_conn::PooledConn;

const MAX_ANSWER_BYTES: usize = 1024 * 1024;
const POSITION_PARAMETER: &str = "group.position";

/// QueryResult to a query of the daemon's own.
#[derive(Debug, Default)]
pub(crate) struct QueryResult {
    /// Rows as texts; a null is an empty text.
    pub(crate) rows: Vec<Vec<String>>,
    /// SQLSTATE and message of an error.
    pub(crate) error: Option<(String, String)>,
    /// Position of a write that was committed.
    pub(crate) position: Option<Position>,
}

impl PooledConn {
    /// Runs a simple query of the daemon's own.
    pub(crate) async fn query(&mut self, sql: &str) -> Result<QueryResult, WireError> {
        let conn = &mut self.upstream.conn;
        conn.queue(&Query::new(sql.to_owned()));
        conn.flush().await?;
        let mut answer = QueryResult::default();
        loop {
            let frame = conn.read_frame(MAX_ANSWER_BYTES).await?;
            match frame.tag {
                tags::DATA_ROW => {
                    let row: DataRow = wire::decode(&frame)?;
                    answer.rows.push(text_cells(&row.data));
                }
                tags::ERROR_RESPONSE => answer.error = Some(wire::error_fields(&frame)?),
                tags::PARAMETER_STATUS => {
                    let parameter: ParameterStatus = wire::decode(&frame)?;
                    if parameter.name == POSITION_PARAMETER {
                        answer.position = parameter.value.parse().ok();
                    }
                }
                tags::READY_FOR_QUERY => return Ok(answer),
                _ => {}
            }
        }
    }

    /// Address of the far end.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.upstream.addr
    }
}

/// Texts of a data row; stops at what is no text.
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
