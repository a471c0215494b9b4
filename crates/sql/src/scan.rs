/// What a text consists of, as far as it can be told without parsing it.
#[derive(Debug, Default, Eq, PartialEq)]
pub(crate) struct Scan<'a> {
    /// The number of tokens is at most this.
    pub(crate) max_tokens: usize,
    /// Contents of the block comments, unless `is_exact` is `false`.
    pub(crate) comments: Vec<&'a str>,
    /// The first word that is not in a comment.
    pub(crate) first_word: &'a str,
    /// Whether nothing follows a semicolon. `false` if that cannot be told.
    pub(crate) is_single: bool,
    /// Whether all literals and comments were recognized. After a construct that is not, each
    /// character counts as a token.
    pub(crate) is_exact: bool,
}

impl<'a> Scan<'a> {
    /// Scans a text once, from the start to the end.
    pub(crate) fn new(text: &'a str) -> Scan<'a> {
        let bytes = text.as_bytes();
        let mut scan = Scan { is_exact: true, is_single: true, ..Scan::default() };
        let (mut at, mut has_ended) = (0, false);
        while let Some(first) = bytes.get(at) {
            let rest = &bytes[at..];
            let length = match first {
                b'\'' | b'"' => quoted_length(rest),
                b'-' if rest.starts_with(b"--") => Some(line_length(rest)),
                b'/' if rest.starts_with(b"/*") => {
                    let length = comment_length(rest);
                    scan.comments.extend(length.and_then(|it| text.get(at + 2..at + it - 2)));
                    length
                }
                // A parameter, or a literal in dollar quotes.
                b'$' => rest.get(1).filter(|it| it.is_ascii_digit()).map(|_| 1),
                _ if is_word(*first) => {
                    let length = word_length(rest);
                    if scan.first_word.is_empty() {
                        scan.first_word = length.and_then(|it| text.get(at..at + it)).unwrap_or("");
                    }
                    length
                }
                _ => Some(1),
            };
            scan.max_tokens += 1;
            scan.is_single &= !has_ended || first.is_ascii_whitespace();
            has_ended |= *first == b';';
            let Some(length) = length else {
                (scan.is_exact, scan.is_single) = (false, false);
                scan.max_tokens += rest.len();
                return scan;
            };
            at += length;
        }
        scan
    }
}

/// Length of a literal or quoted name; `None` if it does not end. A doubled quote counts as the
/// start of another one.
fn quoted_length(rest: &[u8]) -> Option<usize> {
    let quote = rest[0];
    rest[1..].iter().position(|it| *it == quote).map(|end| end + 2)
}

fn line_length(rest: &[u8]) -> usize {
    rest.iter().position(|it| *it == b'\n').map_or(rest.len(), |end| end + 1)
}

/// Length of a block comment; `None` if it does not end, or contains the start of another one.
fn comment_length(rest: &[u8]) -> Option<usize> {
    let end = 2 + rest[2..].windows(2).position(|it| it == b"*/")?;
    let is_nested = rest[2..end].windows(2).any(|it| it == b"/*") || rest[end - 1] == b'/';
    (!is_nested).then_some(end + 2)
}

/// Length of a word or number; `None` if it is the prefix of a literal, which may have escapes.
fn word_length(rest: &[u8]) -> Option<usize> {
    let length = rest.iter().position(|it| !is_word(*it)).unwrap_or(rest.len());
    let after = &rest[length..];
    let is_prefix = [&b"'"[..], b"\"", b"&'", b"&\"", b"$"].iter().any(|it| after.starts_with(it));
    (!is_prefix).then_some(length)
}

fn is_word(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || !byte.is_ascii()
}
