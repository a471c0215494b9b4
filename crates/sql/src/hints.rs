use sqlparser::tokenizer;

/// Hints in comments in sqlcommenter format: `/*key='value',key='value'*/`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Hints {
    /// `idempotency_key`: identifies the submission, so that repeating it is safe.
    pub idempotency_key: Option<String>,
    /// `rank`: unparsed rank that applies to this request only.
    pub rank: Option<String>,
}

impl Hints {
    /// Collects the hints of all block comments among `tokens`; the last value of a
    /// key wins.
    pub(crate) fn from_tokens(tokens: &[tokenizer::Token]) -> Hints {
        let mut hints = Hints::default();
        for token in tokens {
            if let tokenizer::Token::Whitespace(tokenizer::Whitespace::MultiLineComment(text)) =
                token
            {
                hints.parse_comment(text);
            }
        }
        hints
    }

    /// Collects the hints of these block comments.
    pub(crate) fn from_comments(comments: &[&str]) -> Hints {
        let mut hints = Hints::default();
        for comment in comments {
            hints.parse_comment(comment);
        }
        hints
    }

    fn parse_comment(&mut self, text: &str) {
        for pair in text.split(',') {
            let Some((key, value)) = pair.split_once('=') else { continue };
            let Some(value) = unquote(value.trim()) else { continue };
            match key.trim() {
                "idempotency_key" => self.idempotency_key = Some(value),
                "rank" => self.rank = Some(value),
                _ => {}
            }
        }
    }
}

fn unquote(text: &str) -> Option<String> {
    let inner = text.strip_prefix('\'')?.strip_suffix('\'')?;
    Some(decode_percent(inner))
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let digits = tail.get(..2).and_then(|pair| str::from_utf8(pair).ok());
        let decoded = digits.and_then(|pair| u8::from_str_radix(pair, 16).ok());
        match decoded {
            Some(byte) if first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
