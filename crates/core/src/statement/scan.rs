//! Search for words and calls in the tokens of one statement.

use sqlparser::tokenizer::Token;

/// Tokens of one statement without white space and comments.
pub(super) struct Words<'a>(pub(super) &'a [Token]);

impl Words<'_> {
    /// The word at a place in lower case; empty when there is no unquoted word.
    pub(super) fn lower(&self, at: usize) -> String {
        match self.0.get(at) {
            Some(Token::Word(word)) if word.quote_style.is_none() => word.value.to_lowercase(),
            _ => String::new(),
        }
    }

    /// Whether an unquoted word stands at a place.
    pub(super) fn is_at(&self, at: usize, expected: &str) -> bool {
        matches!(self.0.get(at), Some(Token::Word(word))
            if word.quote_style.is_none() && word.value.eq_ignore_ascii_case(expected))
    }

    /// Whether an unquoted word stands anywhere.
    pub(super) fn has_unquoted(&self, expected: &str) -> bool {
        (0..self.0.len()).any(|at| self.is_at(at, expected))
    }

    /// Whether a word, quoted or not, stands anywhere.
    pub(super) fn has(&self, expected: &str) -> bool {
        self.0.iter().any(
            |token| matches!(token, Token::Word(word) if word.value.eq_ignore_ascii_case(expected)),
        )
    }

    /// Whether two unquoted words stand next to each other.
    pub(super) fn has_pair(&self, first: &str, second: &str) -> bool {
        (0..self.0.len()).any(|at| self.is_at(at, first) && self.is_at(at + 1, second))
    }

    /// Whether a call of a function with such a name is found.
    ///
    /// A name is passed in lower case. A name of another schema than `pg_catalog` is passed with its
    /// schema, and a quoted one with its quotes, so that it equals no built-in function.
    pub(super) fn has_call(&self, is_match: impl Fn(&str) -> bool) -> bool {
        let calls = (1..self.0.len()).filter(|at| self.0[*at] == Token::LParen);
        calls.filter_map(|at| self.name_before(at)).any(|name| is_match(&name))
    }

    fn name_before(&self, paren: usize) -> Option<String> {
        let Token::Word(word) = &self.0[paren - 1] else { return None };
        let name = match word.quote_style {
            Some(quote) => format!("{quote}{}{quote}", word.value),
            None => word.value.to_lowercase(),
        };
        let is_qualified = paren >= 3 && self.0[paren - 2] == Token::Period;
        match is_qualified {
            true if !self.is_at(paren - 3, "pg_catalog") => {
                Some(format!("{}.{name}", self.0[paren - 3]))
            }
            _ => Some(name),
        }
    }

    /// The single value after an optional `=` or `TO`; empty for `DEFAULT`.
    pub(super) fn value_from(&self, at: usize) -> Option<String> {
        let rest = self.0.get(at..)?;
        let has_sign = rest.first() == Some(&Token::Eq) || self.is_at(at, "to");
        match rest.get(usize::from(has_sign)..)? {
            [token] if has_sign => plain_value(token),
            [Token::Minus, token] if has_sign => plain_value(token).map(|text| format!("-{text}")),
            _ => None,
        }
    }
}

fn plain_value(token: &Token) -> Option<String> {
    match token {
        Token::SingleQuotedString(text) | Token::EscapedStringLiteral(text) => Some(text.clone()),
        Token::DollarQuotedString(text) => Some(text.value.clone()),
        Token::Number(text, _) => Some(text.clone()),
        Token::Word(word) => match word.quote_style {
            None if word.value.eq_ignore_ascii_case("default") => Some(String::new()),
            _ => Some(word.value.clone()),
        },
        _ => None,
    }
}
