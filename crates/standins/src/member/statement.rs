use std::time::Duration;

use sqlparser::{ast, dialect, parser, tokenizer};

use crate::member::{control::ControlCall, error::SqlError};

/// One statement of a request.
#[derive(Clone, Debug)]
pub(crate) struct Statement {
    /// Text in the dialect of the SQL engine.
    pub(crate) sql: String,
    /// How the member handles it.
    pub(crate) kind: Kind,
    /// Minimum time for which it occupies its slot, from the comment `/*service_us='N'*/`; `None`
    /// for the member's default.
    pub(crate) service: Option<Duration>,
}

/// How a member handles a statement.
#[derive(Clone, Debug)]
pub(crate) enum Kind {
    /// Opens a transaction.
    Begin,
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Changes a setting of the session.
    Set(sql::SettingChange),
    /// Returns a setting of the session.
    Show(String),
    /// Inserts rows that the client sends.
    CopyIn { table: String, columns: Vec<String> },
    /// Sends the rows of a query in the text format of COPY.
    CopyOut { query: String },
    /// Reads or changes the state of the member itself.
    Control(ControlCall),
    /// Runs in the SQL engine.
    Engine,
}

/// Splits a query text into its statements; empty ones are left out.
pub(crate) fn split(text: &str) -> Result<Vec<Statement>, SqlError> {
    let dialect = dialect::PostgreSqlDialect {};
    let tokens = tokenizer::Tokenizer::new(&dialect, text).tokenize();
    let tokens = tokens.map_err(|error| SqlError::syntax(error.to_string()))?;
    let parts = tokens.split(|token| *token == tokenizer::Token::SemiColon);
    let texts = parts.filter(|part| part.iter().any(is_significant)).map(to_engine_dialect);
    texts.map(|text| parse(&text)).collect()
}

fn is_significant(token: &tokenizer::Token) -> bool {
    !matches!(token, tokenizer::Token::Whitespace(_))
}

/// Joins the tokens to a text in the dialect of the SQL engine, which has no serial types.
fn to_engine_dialect(tokens: &[tokenizer::Token]) -> String {
    let words = tokens.iter().map(|token| {
        let text = token.to_string();
        match text.to_lowercase().as_str() {
            "serial" | "bigserial" => "integer".to_owned(),
            _ => text,
        }
    });
    words.collect::<String>().trim().to_owned()
}

fn parse(text: &str) -> Result<Statement, SqlError> {
    let service = service_hint(text);
    let kind = kind(text)?;
    Ok(Statement { sql: text.to_owned(), kind, service })
}

fn kind(text: &str) -> Result<Kind, SqlError> {
    if let Some(call) = ControlCall::parse(text)? {
        return Ok(Kind::Control(call));
    }
    let first = text.split_whitespace().next().unwrap_or_default().to_lowercase();
    match first.as_str() {
        "insert" | "update" | "delete" | "select" | "with" | "values" | "create" => {
            Ok(Kind::Engine)
        }
        "copy" => parse_copy(text),
        _ => Ok(kind_by_analysis(text)),
    }
}

fn kind_by_analysis(text: &str) -> Kind {
    match sql::analyze(text).statements.into_iter().next() {
        Some(sql::Statement::Begin { .. }) => Kind::Begin,
        Some(sql::Statement::Commit) => Kind::Commit,
        Some(sql::Statement::Rollback) => Kind::Rollback,
        Some(sql::Statement::Setting(change)) => Kind::Set(change),
        Some(sql::Statement::Show { name }) => Kind::Show(name),
        _ => Kind::Engine,
    }
}

fn parse_copy(text: &str) -> Result<Kind, SqlError> {
    let dialect = dialect::PostgreSqlDialect {};
    let wrapped = format!("{text};");
    let parsed = parser::Parser::new(&dialect).try_with_sql(&wrapped);
    let parsed = parsed.and_then(|mut parser| parser.parse_statement());
    let parsed = parsed.map_err(|error| SqlError::syntax(error.to_string()))?;
    let ast::Statement::Copy { source, to, .. } = parsed else {
        return Err(SqlError::syntax("not a COPY statement"));
    };
    match (source, to) {
        (ast::CopySource::Query(query), true) => Ok(Kind::CopyOut { query: query.to_string() }),
        (ast::CopySource::Table { table_name, columns }, true) => {
            let columns = names(&columns);
            let columns = if columns.is_empty() { "*".to_owned() } else { columns.join(", ") };
            Ok(Kind::CopyOut { query: format!("SELECT {columns} FROM {table_name}") })
        }
        (ast::CopySource::Table { table_name, columns }, false) => {
            Ok(Kind::CopyIn { table: table_name.to_string(), columns: names(&columns) })
        }
        (ast::CopySource::Query(_), false) => Err(SqlError::syntax("COPY FROM needs a table")),
    }
}

fn names(columns: &[ast::Ident]) -> Vec<String> {
    columns.iter().map(ToString::to_string).collect()
}

fn service_hint(text: &str) -> Option<Duration> {
    let (_, rest) = text.split_once("service_us='")?;
    let (number, _) = rest.split_once('\'')?;
    number.parse().ok().map(Duration::from_micros)
}
