use base::Term;

use crate::member::error::SqlError;

/// A function call that the member handles itself instead of its SQL engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ControlCall {
    /// `SELECT group_status()`: returns term, role, position and origin.
    Status,
    /// `SELECT group_fence(TERM)`: accepts a higher term; a primary stops being one.
    Fence(Term),
    /// `SELECT group_promote(TERM)`: becomes primary of the accepted term.
    Promote(Term),
    /// `SELECT group_follow(TERM)`: follows the primary of a term.
    Follow(Term),
    /// `SELECT standin_statements()`: returns the number of statements run so far.
    Statements,
    /// `SELECT standin_set('NAME', NUMBER)`: sets a fault, see [`Faults::set`](super::Faults::set).
    Set { name: String, value: u64 },
}

impl ControlCall {
    /// Parses a call. Returns `None` if the text is another statement.
    pub(crate) fn parse(text: &str) -> Result<Option<ControlCall>, SqlError> {
        let Some((name, args)) = parse_call(text) else { return Ok(None) };
        let parsed = match (name.as_str(), args.as_slice()) {
            ("group_status", []) => Some(ControlCall::Status),
            ("standin_statements", []) => Some(ControlCall::Statements),
            ("group_fence", [number]) => term(number).map(ControlCall::Fence),
            ("group_promote", [number]) => term(number).map(ControlCall::Promote),
            ("group_follow", [number]) => term(number).map(ControlCall::Follow),
            ("standin_set", [name, value]) => {
                value.parse().ok().map(|value| ControlCall::Set { name: name.clone(), value })
            }
            _ => None,
        };
        parsed.map(Some).ok_or_else(|| SqlError::syntax(format!("cannot read {text:?}")))
    }
}

/// Splits a call into the function's name and its arguments, in lower case and without quotes.
fn parse_call(text: &str) -> Option<(String, Vec<String>)> {
    let text = text.trim().to_lowercase();
    let rest = text.strip_prefix("select ")?.trim_start();
    if !rest.starts_with("group_") && !rest.starts_with("standin_") {
        return None;
    }
    let (name, rest) = rest.split_once('(')?;
    let (args, _) = rest.rsplit_once(')')?;
    let args = args.split(',').map(|arg| arg.trim().trim_matches('\'').to_owned());
    Some((name.trim().to_owned(), args.filter(|arg| !arg.is_empty()).collect()))
}

fn term(text: &str) -> Option<Term> {
    text.parse().ok().map(Term::new)
}
