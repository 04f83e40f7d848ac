//! Check of a configuration before it is sent: errors, doubtful entries, and differences to the
//! version in force. Findings never hold a key.

mod difference;
mod entries;
mod limits;
mod rule;

use std::fmt;
use std::time::Duration;

use tanagerdeal_wire::value_type;

use super::CatalogRecords;

pub use self::rule::{
    CheckRule, DifferenceRule, EntryKind, ErrorRule, FindingSeverity, WarningRule,
};

value_type! {
    /// Entry of a configuration.
    #[derive(Ord, PartialOrd)]
    pub struct EntryName {
        /// Kind.
        pub kind: EntryKind,
        /// Name; empty for the entries that exist once.
        pub name: String,
    }

    /// Result of one rule for one entry.
    pub struct CatalogFinding {
        /// Entry.
        pub entry: EntryName,
        /// Rule.
        pub rule: CheckRule,
        /// Value that was found.
        pub value: String,
        /// Values that the rule admits; the former value if the rule is a difference.
        pub limit: String,
    }
}

impl EntryName {
    /// The entry of a kind with a name.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::catalog::check::{EntryKind, EntryName};
    ///
    /// let entry = EntryName::new(EntryKind::Route, "orders");
    /// assert_eq!(entry.to_string(), "route \"orders\"");
    /// ```
    pub fn new(kind: EntryKind, name: &str) -> Self {
        Self { kind, name: name.to_owned() }
    }
}

impl fmt::Display for EntryName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            EntryKind::Configuration | EntryKind::Limits => self.kind.fmt(formatter),
            kind => write!(formatter, "{kind} {:?}", self.name),
        }
    }
}

impl fmt::Display for CatalogFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let relation = match self.rule {
            CheckRule::Difference(_) => "before",
            _ => "expected",
        };
        let Self { entry, rule, value, limit } = self;
        let severity = rule.severity();
        write!(formatter, "{severity}: {entry}: {}: {value}, {relation}: {limit}", rule.text())
    }
}

/// Checks a configuration, and compares it with the one in force if that is given. Findings are in
/// the order of their severity, and within it of their entries.
///
/// ```
/// use std::time::Duration;
///
/// use tanagerdeal_core::ledger::catalog::CatalogRecords;
/// use tanagerdeal_core::ledger::catalog::check::{ErrorRule, check_catalog};
///
/// let records = CatalogRecords {
///     version: 7,
///     routes: Vec::new(),
///     customers: Vec::new(),
///     groups: Vec::new(),
///     transaction_idle: Duration::from_secs(3),
///     startup_limit: Duration::from_secs(3),
///     findings: Vec::new(),
/// };
/// assert_eq!(check_catalog(&records, None)[0].rule, ErrorRule::NoRoutes.into());
/// ```
pub fn check_catalog(
    records: &CatalogRecords,
    in_force: Option<&CatalogRecords>,
) -> Vec<CatalogFinding> {
    let mut findings = FindingList { findings: records.findings.clone() };
    entries::check_routes(records, &mut findings);
    entries::check_customers(records, &mut findings);
    entries::check_keys(records, &mut findings);
    entries::check_groups(records, &mut findings);
    limits::check_routes(records, &mut findings);
    limits::check_customers(records, &mut findings);
    limits::check_groups(records, &mut findings);
    limits::check_times(records, &mut findings);
    if let Some(former) = in_force {
        difference::compare(records, former, &mut findings);
    }
    let mut findings = findings.findings;
    findings.sort_by(|a, b| {
        (a.rule.severity(), &a.entry, a.rule).cmp(&(b.rule.severity(), &b.entry, b.rule))
    });
    findings
}

/// Findings so far.
struct FindingList {
    findings: Vec<CatalogFinding>,
}

impl FindingList {
    fn add(
        &mut self,
        entry: (EntryKind, &str),
        rule: impl Into<CheckRule>,
        value: impl Into<String>,
        limit: impl Into<String>,
    ) {
        self.findings.push(CatalogFinding {
            entry: EntryName::new(entry.0, entry.1),
            rule: rule.into(),
            value: value.into(),
            limit: limit.into(),
        });
    }
}

/// Text of a time limit.
fn millis(time: Duration) -> String {
    format!("{} ms", time.as_millis())
}
