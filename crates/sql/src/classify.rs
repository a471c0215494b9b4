use sqlparser::{ast, ast::Visit, dialect, parser, tokenizer};

use crate::{
    analysis::Analysis, hints::Hints, pin::PinReason, scan::Scan, setting::SettingChange,
    statement::Statement, visitor::EffectVisitor,
};

/// Tokens of a text up to which it is parsed. A parsed text takes some 500 bytes for each, many
/// times its length, and a millisecond for some thousand, in which no other session runs.
const MAX_TOKENS: usize = 20_000;
/// Hint that must not be overlooked: without it, a request that is sent twice may run twice.
const IDEMPOTENCY_KEY: &str = "idempotency_key";

/// Parses the text of a request and classifies its statements.
///
/// Text that cannot be tokenized counts as a single write without hints, text of more than
/// 20,000 tokens as one that was not parsed.
pub fn analyze(text: &str) -> Analysis {
    if text.len() > MAX_TOKENS {
        let scan = Scan::new(text);
        if scan.max_tokens > MAX_TOKENS {
            return unparsed(text, &scan);
        }
    }
    let dialect = dialect::PostgreSqlDialect {};
    let Ok(tokens) = tokenizer::Tokenizer::new(&dialect, text).tokenize() else {
        return Analysis { statements: vec![Statement::Write], ..Analysis::default() };
    };
    let hints = Hints::from_tokens(&tokens);
    let parsed = parser::Parser::new(&dialect).with_tokens(tokens).parse_statements();
    match parsed {
        Ok(statements) => Analysis {
            statements: statements.iter().map(classify).collect(),
            fully_parsed: true,
            hints,
            ..Analysis::default()
        },
        Err(_) => {
            Analysis { statements: vec![classify_keyword(text)], hints, ..Analysis::default() }
        }
    }
}

/// Analysis of a text that is too long to be parsed. It counts as a write. Unless it is a single
/// statement that changes rows, it may leave anything on the connection.
fn unparsed(text: &str, scan: &Scan<'_>) -> Analysis {
    let first = scan.first_word.to_ascii_lowercase();
    let changes_rows = matches!(first.as_str(), "insert" | "update" | "delete" | "merge");
    let statement = match classify_keyword(text) {
        Statement::Write if changes_rows && scan.is_single => Statement::Write,
        Statement::Write => Statement::Pin(PinReason::NotParsed),
        pinned => pinned,
    };
    Analysis {
        statements: vec![statement],
        hints: Hints::from_comments(&scan.comments),
        is_too_complex: !scan.is_exact && text.contains(IDEMPOTENCY_KEY),
        ..Analysis::default()
    }
}

fn classify(statement: &ast::Statement) -> Statement {
    match statement {
        ast::Statement::Query(_) => classify_query(statement),
        ast::Statement::Explain { analyze: false, .. } => Statement::Read,
        ast::Statement::Explain { statement, .. } => classify(statement),
        ast::Statement::StartTransaction { modes, .. } => {
            Statement::Begin { read_only: is_read_only(modes) }
        }
        ast::Statement::Commit { .. } => Statement::Commit,
        ast::Statement::Rollback { savepoint: None, .. } => Statement::Rollback,
        ast::Statement::Set(set) => classify_set(set),
        ast::Statement::ShowVariable { variable } => classify_show(variable),
        ast::Statement::Discard { object_type: ast::DiscardObject::ALL } => {
            Statement::Setting(SettingChange::ResetAll)
        }
        ast::Statement::Copy { to: true, .. } => classify_query(statement),
        ast::Statement::CreateTable(table) if table.temporary => {
            Statement::Pin(PinReason::TemporaryTable)
        }
        ast::Statement::Declare { stmts, .. } if stmts.iter().any(|it| it.hold == Some(true)) => {
            Statement::Pin(PinReason::HoldCursor)
        }
        ast::Statement::LISTEN { .. } | ast::Statement::UNLISTEN { .. } => {
            Statement::Pin(PinReason::Notifications)
        }
        ast::Statement::Prepare { .. }
        | ast::Statement::Execute { .. }
        | ast::Statement::Deallocate { .. } => Statement::Pin(PinReason::PreparedInSql),
        ast::Statement::Reset(reset) => classify_reset(reset),
        _ => Statement::Write,
    }
}

fn classify_query(statement: &ast::Statement) -> Statement {
    let mut visitor = EffectVisitor::default();
    let _ = statement.visit(&mut visitor);
    if visitor.session_lock {
        return Statement::Pin(PinReason::AdvisoryLock);
    }
    if visitor.may_write { Statement::Write } else { Statement::Read }
}

fn classify_set(set: &ast::Set) -> Statement {
    let ast::Set::SingleAssignment { scope, variable, values, .. } = set else {
        return Statement::Write;
    };
    if matches!(scope, Some(ast::ContextModifier::Local)) {
        return Statement::Read;
    }
    let name = variable.to_string().to_lowercase();
    let value: Vec<String> = values.iter().map(unquoted).collect();
    Statement::Setting(SettingChange::Set { name, value: value.join(", ") })
}

fn classify_reset(reset: &ast::ResetStatement) -> Statement {
    match &reset.reset {
        ast::Reset::ALL => Statement::Setting(SettingChange::ResetAll),
        ast::Reset::ConfigurationParameter(name) => {
            Statement::Setting(SettingChange::Reset { name: name.to_string().to_lowercase() })
        }
        ast::Reset::SessionAuthorization => Statement::Write,
    }
}

fn unquoted(expr: &ast::Expr) -> String {
    match expr {
        ast::Expr::Value(value) => match &value.value {
            ast::Value::SingleQuotedString(text) => text.clone(),
            other => other.to_string(),
        },
        other => other.to_string(),
    }
}

fn classify_show(variable: &[ast::Ident]) -> Statement {
    let parts: Vec<&str> = variable.iter().map(|ident| ident.value.as_str()).collect();
    Statement::Show { name: parts.join(".").to_lowercase() }
}

fn is_read_only(modes: &[ast::TransactionMode]) -> bool {
    let read_only = ast::TransactionMode::AccessMode(ast::TransactionAccessMode::ReadOnly);
    modes.contains(&read_only)
}

/// Classifies text that the parser rejects by its leading keyword: statements
/// that pin the connection must be recognized even then.
fn classify_keyword(text: &str) -> Statement {
    let first = text.split_whitespace().next().unwrap_or_default().to_lowercase();
    match first.as_str() {
        "listen" | "unlisten" => Statement::Pin(PinReason::Notifications),
        "prepare" | "execute" | "deallocate" => Statement::Pin(PinReason::PreparedInSql),
        _ => Statement::Write,
    }
}
