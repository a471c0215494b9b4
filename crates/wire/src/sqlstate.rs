//! SQLSTATE codes in error responses to callers and other daemons.

/// It is unknown whether the request has run.
pub const RESOLUTION_UNKNOWN: &str = "08007";
/// The connection to an upstream failed.
pub const CONNECTION_FAILURE: &str = "08006";
/// The message is invalid or not allowed at this point.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// The feature is not available on pooled connections.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// The value of a parameter is not allowed.
pub const INVALID_PARAMETER_VALUE: &str = "22023";
/// The connecting daemon gave a wrong secret.
pub const INVALID_AUTHORIZATION: &str = "28000";
/// The request writes where only reads are allowed.
pub const READ_ONLY: &str = "25006";
/// The transaction has failed; only its end is accepted.
pub const IN_FAILED_TRANSACTION: &str = "25P02";
/// No group serves the database name.
pub const INVALID_CATALOG_NAME: &str = "3D000";
/// The request or transaction had no effect and can be submitted again.
pub const SERIALIZATION_FAILURE: &str = "40001";
/// The statement has a syntax error.
pub const SYNTAX_ERROR: &str = "42601";
/// A limit is reached; the request has not run.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// The statement is longer or more complex than the daemon can handle; it has not run.
pub const STATEMENT_TOO_COMPLEX: &str = "54001";
/// The term is stale or unknown; the request has not run.
pub const STALE_TERM: &str = "55T01";
/// The daemon is not the group's home; the request has not run.
pub const NOT_HOME: &str = "55T02";
/// The daemon or member is shutting down.
pub const ADMIN_SHUTDOWN: &str = "57P01";
/// The request cannot be run at present and has not run.
pub const CANNOT_CONNECT_NOW: &str = "57P03";
/// The request was cancelled.
pub const QUERY_CANCELED: &str = "57014";
/// Unexpected error that no other code describes.
pub const INTERNAL_ERROR: &str = "XX000";
