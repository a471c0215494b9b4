//! Type bytes of the messages that are recognized without being decoded.

/// Backend: authentication request.
pub const AUTHENTICATION: u8 = b'R';
/// Backend: key for cancel requests.
pub const BACKEND_KEY_DATA: u8 = b'K';
/// Backend: current value of a parameter.
pub const PARAMETER_STATUS: u8 = b'S';
/// Backend: the response to a request is complete.
pub const READY_FOR_QUERY: u8 = b'Z';
/// Backend: a statement was completed.
pub const COMMAND_COMPLETE: u8 = b'C';
/// Backend: one row of a result.
pub const DATA_ROW: u8 = b'D';
/// Backend: error response.
pub const ERROR_RESPONSE: u8 = b'E';
/// Backend: the upstream expects copy data.
pub const COPY_IN_RESPONSE: u8 = b'G';
/// Backend: response to a parse message.
pub const PARSE_COMPLETE: u8 = b'1';
/// Backend: response to a close message.
pub const CLOSE_COMPLETE: u8 = b'3';

/// Frontend: simple query.
pub const QUERY: u8 = b'Q';
/// Frontend: parse a statement.
pub const PARSE: u8 = b'P';
/// Frontend: bind a statement to parameters.
pub const BIND: u8 = b'B';
/// Frontend: describe a statement or portal.
pub const DESCRIBE: u8 = b'D';
/// Frontend: execute a portal.
pub const EXECUTE: u8 = b'E';
/// Frontend: close a statement or portal.
pub const CLOSE: u8 = b'C';
/// Frontend: asks for the responses produced so far.
pub const FLUSH: u8 = b'H';
/// Frontend: ends a request of the extended protocol.
pub const SYNC: u8 = b'S';
/// Frontend: ends the session.
pub const TERMINATE: u8 = b'X';
/// Frontend: copy data.
pub const COPY_DATA: u8 = b'd';
/// Frontend: copy data is complete.
pub const COPY_DONE: u8 = b'c';
/// Frontend: aborts the copy.
pub const COPY_FAIL: u8 = b'f';
