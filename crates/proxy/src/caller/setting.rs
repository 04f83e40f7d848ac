//! Settings made by a client, which follow its session from connection to connection.

use tanagerdeal_core::statement::StatementClass;
use tanagerdeal_core::verdict::{RefusalCode, RequestRefusal};

use super::request::Request;
use super::session::{Session, SessionEnd, Transaction};

/// Settings that a session may have made.
const MAX_SETTINGS: usize = 100;
/// Longest text of a setting, in bytes.
const MAX_SETTING_BYTES: usize = 4 * 1024;

/// A setting made by the client, replayed on each connection that its session takes.
#[derive(Clone)]
pub(super) struct SessionSetting {
    /// What it sets; a later setting of the same name replaces it.
    pub(super) name: String,
    /// Its text.
    pub(super) text: String,
}

impl SessionSetting {
    /// A setting from its statement; nothing when it ends with the transaction.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let lower = text.trim().trim_end_matches(';').to_ascii_lowercase();
        let words: Vec<&str> = lower.split([' ', '\t', '\n', '=']).filter(is_word).collect();
        let name = match words.as_slice() {
            ["set", "local", ..] | ["set", "transaction", ..] => return None,
            ["set", "session", "authorization" | "characteristics", ..] => words[2],
            ["set", "session", name, ..] | ["set" | "reset", name, ..] => name,
            [first, ..] => first,
            [] => return None,
        };
        Some(Self { name: name.to_owned(), text: text.to_owned() })
    }

    /// Whether it takes back all others.
    pub(super) fn is_reset_of_all(&self) -> bool {
        self.name == "all" || self.is_discard()
    }

    /// Whether it also drops the prepared statements of its connection.
    pub(super) fn is_discard(&self) -> bool {
        self.name == "discard"
    }
}

impl Session {
    /// Runs a request unless its settings could not be replayed later.
    pub(super) async fn run_checked(&mut self, request: Request) -> Result<(), SessionEnd> {
        let made = &request.settings;
        let is_over = self.settings.len() + made.len() > MAX_SETTINGS
            || made.iter().any(|setting| setting.text.len() > MAX_SETTING_BYTES);
        if !made.is_empty() && is_over {
            let message = "too many session settings, or one that is too long";
            let refusal = RequestRefusal::not_run(RefusalCode::LimitExceeded, message);
            return self.refuse(&refusal, request.ends_with_sync).await;
        }
        self.run(request).await
    }

    /// Notes the settings of a request and of its transaction that last.
    pub(super) fn keep_settings(&mut self, request: &Request, earlier: Option<&Transaction>) {
        let before = earlier.into_iter().flat_map(|earlier| &earlier.settings);
        for setting in before.chain(&request.settings) {
            if setting.is_reset_of_all() {
                self.settings.clear();
                continue;
            }
            self.settings.retain(|kept| kept.name != setting.name);
            if !is_reset(&setting.text) {
                self.settings.push(setting.clone());
            }
        }
    }

    pub(super) fn settings_of<'a>(
        &self,
        statements: impl Iterator<Item = (&'a StatementClass, &'a str)>,
    ) -> Vec<SessionSetting> {
        statements
            .filter(|(class, _)| **class == StatementClass::SessionSetting)
            .filter_map(|(_, text)| SessionSetting::parse(text))
            .collect()
    }
}

fn is_word(word: &&str) -> bool {
    !word.is_empty()
}

fn is_reset(text: &str) -> bool {
    text.trim_start().get(..5).unwrap_or_default().eq_ignore_ascii_case("RESET")
}
