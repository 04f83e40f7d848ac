//! Commands on records: get, list, put, withdraw, history, audit and their shorthands.

use clap::ArgMatches;
use rand::Rng as _;
use rand::distr::Alphanumeric;
use serde_json::{Map, Value, json};
use tanagerdeal_platform::change::{
    AUDIT_PREFIX, AuditEntry, RecordChange, entry_or_absent, merge_fields,
};
use tanagerdeal_wire::key::digest_secret;
use tanagerdeal_wire::name::NameError;
use tanagerdeal_wire::platform::TableEntry;
use tanagerdeal_wire::record::{RECORD_PREFIX, Record, RecordKind, newest_schema, record_key};
use tanagerdeal_wire::{CustomerName, DomainName};
use uuid::Uuid;

use crate::context::ToolContext;
use crate::error::ToolError;
use crate::print::{print_audit, print_line, print_record};

/// Characters of a key's secret; 62 symbols each, so that 32 carry 190 bits.
const SECRET_CHARACTERS: usize = 32;

/// Characters of a key's salt.
const SALT_CHARACTERS: usize = 16;

/// What an operator may state about a change.
#[derive(Default)]
struct ChangeOptions {
    expected: Option<u64>,
    change_id: Option<String>,
}

impl ChangeOptions {
    fn of(arguments: &ArgMatches) -> Self {
        let expected = arguments.get_one::<u64>("expect").copied();
        Self { expected, change_id: arguments.get_one::<String>("change-id").cloned() }
    }
}

/// Prints one record.
pub async fn get(context: &ToolContext, arguments: &ArgMatches) -> Result<(), ToolError> {
    let key = key_argument(arguments)?;
    let entry = context.client.read(&key).await?.ok_or(ToolError::Missing(key))?;
    print_record(context.json, &entry);
    Ok(())
}

/// Prints all records of a kind.
pub async fn list(context: &ToolContext, arguments: &ArgMatches) -> Result<(), ToolError> {
    let kind = kind_argument(arguments)?;
    let page = context.client.scan(&format!("{RECORD_PREFIX}{}/", kind.as_str())).await?;
    page.entries.iter().for_each(|entry| print_record(context.json, entry));
    Ok(())
}

/// Creates or changes a record.
pub async fn put(context: &ToolContext, arguments: &ArgMatches) -> Result<(), ToolError> {
    let kind = kind_argument(arguments)?;
    let mut fields = match arguments.get_one::<String>("file") {
        Some(file) => read_fields(file)?,
        None => Map::new(),
    };
    for field in arguments.get_many::<String>("field").into_iter().flatten() {
        let (name, value) = field
            .split_once('=')
            .ok_or_else(|| ToolError::Usage(format!("{field:?} is not of the form FIELD=JSON")))?;
        fields.insert(name.to_owned(), parse_value(value));
    }
    let name = name_argument(arguments)?;
    put_fields(context, ChangeOptions::of(arguments), kind, &name, Value::Object(fields))
        .await
        .map(|_| ())
}

/// Removes a record.
pub async fn withdraw(context: &ToolContext, arguments: &ArgMatches) -> Result<(), ToolError> {
    let entry = current_entry(context, &key_argument(arguments)?).await?;
    if entry.value.is_none() && arguments.get_one::<String>("change-id").is_none() {
        return Err(ToolError::Missing(entry.key));
    }
    let change = record_change(context, ChangeOptions::of(arguments), &entry, None);
    context.submit(&change).await.map(|_| ())
}

/// Creates a key and prints it; only its digest is stored.
pub async fn create_key(context: &ToolContext, arguments: &ArgMatches) -> Result<(), ToolError> {
    let customer = arguments.get_one::<String>("customer").map_or("", String::as_str);
    let customer = CustomerName::new(customer).map_err(usage)?;
    let name = name_argument(arguments)?;
    let (secret, salt) = (random_text(SECRET_CHARACTERS), random_text(SALT_CHARACTERS));
    let digest = digest_secret(&salt, &secret);
    let fields = json!({ "customer": customer, "salt": salt, "digest": digest });
    put_fields(context, ChangeOptions::of(arguments), RecordKind::Key, &name, fields).await?;
    match context.json {
        true => print_line(format_args!("{}", json!({ "key": format!("{name}.{secret}") }))),
        false => print_line(format_args!("key {name}.{secret}")),
    }
    Ok(())
}

/// Takes a failure domain out of service, or back in.
pub async fn set_domain(context: &ToolContext, arguments: &ArgMatches) -> Result<(), ToolError> {
    set_state(context, arguments, RecordKind::Domain).await
}

/// Makes an endpoint leave, or serve again.
pub async fn set_endpoint(context: &ToolContext, arguments: &ArgMatches) -> Result<(), ToolError> {
    set_state(context, arguments, RecordKind::Endpoint).await
}

/// Prints the changes of one record.
pub async fn history(context: &ToolContext, arguments: &ArgMatches) -> Result<(), ToolError> {
    let key = key_argument(arguments)?;
    let entries = audit_entries(context).await?;
    let of_record = entries.iter().filter(|entry| entry.key == key);
    of_record.for_each(|entry| print_audit(context.json, entry));
    Ok(())
}

/// Prints the end of the audit trail.
pub async fn audit(context: &ToolContext, arguments: &ArgMatches) -> Result<(), ToolError> {
    let limit = arguments.get_one::<usize>("limit").copied().unwrap_or(50);
    let entries = audit_entries(context).await?;
    let skipped = entries.len().saturating_sub(limit);
    entries.iter().skip(skipped).for_each(|entry| print_audit(context.json, entry));
    Ok(())
}

/// Sets the field `state` of a record of a kind.
pub async fn put_state(
    context: &ToolContext,
    kind: RecordKind,
    name: &str,
    state: &str,
) -> Result<u64, ToolError> {
    put_fields(context, ChangeOptions::default(), kind, name, json!({ "state": state })).await
}

async fn set_state(
    context: &ToolContext,
    arguments: &ArgMatches,
    kind: RecordKind,
) -> Result<(), ToolError> {
    let state = arguments.get_one::<String>("state").cloned().unwrap_or_default();
    let name = name_argument(arguments)?;
    put_fields(context, ChangeOptions::of(arguments), kind, &name, json!({ "state": state }))
        .await
        .map(|_| ())
}

async fn put_fields(
    context: &ToolContext,
    options: ChangeOptions,
    kind: RecordKind,
    name: &str,
    fields: Value,
) -> Result<u64, ToolError> {
    let entry = current_entry(context, &record_key(kind, name)).await?;
    let mut merged = merge_fields(entry.value.as_ref(), &fields);
    if let Some(object) = merged.as_object_mut() {
        object.entry("schema").or_insert_with(|| json!(newest_schema(kind)));
    }
    Record::decode(kind, &merged)
        .map_err(|error| ToolError::Usage(format!("{}: {error}", entry.key)))?;
    context.submit(&record_change(context, options, &entry, Some(merged))).await
}

fn record_change(
    context: &ToolContext,
    options: ChangeOptions,
    entry: &TableEntry,
    after: Option<Value>,
) -> RecordChange {
    RecordChange {
        change_id: options.change_id.unwrap_or_else(|| Uuid::now_v7().to_string()),
        actor: context.actor.clone(),
        key: entry.key.clone(),
        expected: options.expected.unwrap_or(entry.revision),
        before: entry.value.clone(),
        after,
    }
}

async fn current_entry(context: &ToolContext, key: &str) -> Result<TableEntry, ToolError> {
    Ok(entry_or_absent(context.client.read(key).await?, key))
}

async fn audit_entries(context: &ToolContext) -> Result<Vec<AuditEntry>, ToolError> {
    let page = context.client.scan(AUDIT_PREFIX).await?;
    let values = page.entries.into_iter().filter_map(|entry| entry.value);
    Ok(values.filter_map(|value| serde_json::from_value(value).ok()).collect())
}

fn kind_argument(arguments: &ArgMatches) -> Result<RecordKind, ToolError> {
    let word = arguments.get_one::<String>("kind").map_or("", String::as_str);
    RecordKind::parse(word)
        .ok_or_else(|| ToolError::Usage(format!("{word:?} is not a kind of record")))
}

fn name_argument(arguments: &ArgMatches) -> Result<String, ToolError> {
    // All names have the same characters, so one type checks every kind.
    let name = arguments.get_one::<String>("name").map_or("", String::as_str);
    DomainName::new(name).map(String::from).map_err(usage)
}

fn key_argument(arguments: &ArgMatches) -> Result<String, ToolError> {
    Ok(record_key(kind_argument(arguments)?, &name_argument(arguments)?))
}

fn usage(error: NameError) -> ToolError {
    ToolError::Usage(error.to_string())
}

fn read_fields(file: &str) -> Result<Map<String, Value>, ToolError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| ToolError::Usage(format!("{file}: {error}")))?;
    serde_json::from_str(&text).map_err(|error| ToolError::Usage(format!("{file}: {error}")))
}

fn parse_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}

fn random_text(characters: usize) -> String {
    rand::rng().sample_iter(Alphanumeric).take(characters).map(char::from).collect()
}
