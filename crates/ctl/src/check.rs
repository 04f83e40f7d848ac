//! Check of a configuration file before it is sent.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use serde_json::json;
use tanagerdeal_adapter::operator::{decode_records, read_config};
use tanagerdeal_adapter::store::StoreClient;
use tanagerdeal_core::ledger::catalog::CatalogRecords;
use tanagerdeal_core::ledger::catalog::check::{
    CatalogFinding, CheckRule, EntryKind, FindingSeverity, check_catalog,
};
use tanagerdeal_wire::wire_type;

use crate::context::CALL_TIMEOUT;
use crate::error::ToolError;
use crate::print::print_line;

wire_type! {
    /// A finding as JSON.
    pub struct FindingBody {
        /// Severity.
        pub severity: FindingSeverity,
        /// Kind of the entry.
        pub kind: EntryKind,
        /// Name of the entry; empty for the configuration as a whole and its limits.
        pub name: String,
        /// Rule.
        pub rule: CheckRule,
        /// Value that was found.
        pub value: String,
        /// Values that the rule admits.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub limit: Option<String>,
        /// Former value, for a difference.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub former: Option<String>,
        /// Whether clients that are served now will be refused.
        pub stops_clients: bool,
        /// The line of the text output.
        pub text: String,
    }
}

impl From<&CatalogFinding> for FindingBody {
    fn from(finding: &CatalogFinding) -> Self {
        let severity = finding.rule.severity();
        let (limit, former) = match severity {
            FindingSeverity::Difference => (None, Some(finding.limit.clone())),
            _ => (Some(finding.limit.clone()), None),
        };
        Self {
            severity,
            kind: finding.entry.kind,
            name: finding.entry.name.clone(),
            rule: finding.rule,
            value: finding.value.clone(),
            limit,
            former,
            stops_clients: finding.rule.stops_clients(),
            text: finding.to_string(),
        }
    }
}

/// Checks a configuration file, and compares it with the version in force if a file or a store is
/// named. Writes nothing.
///
/// # Errors
///
/// Fails when a configuration cannot be read, or has errors; with `--strict` also when it has
/// warnings.
pub async fn check_config(arguments: &ArgMatches) -> Result<(), ToolError> {
    let file = arguments.get_one::<PathBuf>("file").map_or(Path::new(""), PathBuf::as_path);
    let records = records_in_file(file)?;
    let against = arguments.get_one::<PathBuf>("against");
    let in_force = match (against, arguments.get_one::<String>("store")) {
        (Some(former), _) => Some(records_in_file(former)?),
        (None, Some(address)) => records_in_store(address).await?,
        (None, None) => None,
    };
    let findings = check_catalog(&records, in_force.as_ref());
    print_findings(arguments.get_flag("json"), records.version, &findings);
    let count =
        |severity| findings.iter().filter(|finding| finding.rule.severity() == severity).count();
    let (errors, warnings) = (count(FindingSeverity::Error), count(FindingSeverity::Warning));
    match errors > 0 || (arguments.get_flag("strict") && warnings > 0) {
        true => Err(ToolError::Rejected { file: file.display().to_string(), errors, warnings }),
        false => Ok(()),
    }
}

fn print_findings(is_json: bool, version: u64, findings: &[CatalogFinding]) {
    if is_json {
        let bodies: Vec<FindingBody> = findings.iter().map(FindingBody::from).collect();
        print_line(json!({ "version": version, "findings": bodies }));
        return;
    }
    findings.iter().for_each(print_line);
}

fn records_in_file(file: &Path) -> Result<CatalogRecords, ToolError> {
    let named =
        |error: &dyn std::fmt::Display| ToolError::Usage(format!("{}: {error}", file.display()));
    let bytes = std::fs::read(file).map_err(|error| named(&error))?;
    decode_records(&bytes).map_err(|error| named(&error))
}

async fn records_in_store(address: &str) -> Result<Option<CatalogRecords>, ToolError> {
    let named = |error: &dyn std::fmt::Display| ToolError::Usage(format!("{address}: {error}"));
    let client = StoreClient::new(address).map_err(|error| named(&error))?;
    let value = read_config(&client, CALL_TIMEOUT).await.map_err(|error| named(&error))?;
    if value.is_none() {
        eprintln!("tanagerctl: {address}: the store holds no configuration to compare with");
    }
    value.map(|bytes| decode_records(&bytes).map_err(|error| named(&error))).transpose()
}
