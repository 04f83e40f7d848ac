//! Steps of the extended protocol: prepare, bind, describe, execute, close.

use std::io;

use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
    PortalSuspended,
};
use pgwire::messages::response::{CommandComplete, EmptyQueryResponse};

use super::super::describe::{parameter_types, result_columns};
use super::super::error::SqlError;
use super::super::plan::{ParsedStatement, Plan, parse_text};
use super::output::{broken, format_at, row_description};
use super::{BoundPortal, PreparedStatement, Session};

/// Target byte of statements in Describe and Close; portals have `P`.
const STATEMENT_TARGET: u8 = b'S';

impl Session {
    pub(super) fn parse(&mut self, parse: Parse) -> Result<(), SqlError> {
        let mut statements = parse_text(&parse.query)?;
        let parsed = match statements.len() {
            0 => ParsedStatement { text: String::new(), plan: Plan::Empty },
            1 => statements.remove(0),
            _ => {
                let message = "cannot insert multiple commands into a prepared statement";
                return Err(SqlError::new("42601", message));
            }
        };
        let types = parameter_types(&self.member.lock().database, &parsed.plan, &parse.type_oids)?;
        let name = parse.name.unwrap_or_default();
        self.statements.insert(name, PreparedStatement { parsed, types });
        self.send_message(PgWireBackendMessage::ParseComplete(ParseComplete::new()))
    }

    pub(super) fn bind(&mut self, bind: Bind) -> Result<(), SqlError> {
        let prepared = self.statement(bind.statement_name.as_deref())?.clone();
        if bind.parameters.len() != prepared.types.len() {
            return Err(SqlError::new("08P01", "bind message has a wrong number of parameters"));
        }
        let mut params = Vec::new();
        for (index, bytes) in bind.parameters.iter().enumerate() {
            let format = format_at(&bind.parameter_format_codes, index);
            params.push(prepared.types[index].decode(bytes.as_deref(), format)?);
        }
        let formats = bind.result_column_format_codes;
        let portal = BoundPortal { prepared, params, formats, remaining: None };
        self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
        self.send_message(PgWireBackendMessage::BindComplete(BindComplete::new()))
    }

    pub(super) fn describe(&mut self, describe: &Describe) -> Result<(), SqlError> {
        let name = describe.name.as_deref().unwrap_or_default();
        let (prepared, formats) = match describe.target_type {
            STATEMENT_TARGET => (self.statement(Some(name))?.clone(), Vec::new()),
            _ => {
                let portal = self.portals.get(name).ok_or_else(|| missing("portal", name))?;
                (portal.prepared.clone(), portal.formats.clone())
            }
        };
        let columns =
            result_columns(&self.member.lock().database, &prepared.parsed.plan, &prepared.types)?;
        if describe.target_type == STATEMENT_TARGET {
            let types = prepared.types.iter().map(|parameter| parameter.oid()).collect();
            let description = ParameterDescription::new(types);
            self.send_message(PgWireBackendMessage::ParameterDescription(description))?;
        }
        match columns.is_empty() {
            true => self.send_message(PgWireBackendMessage::NoData(NoData::new())),
            false => self.send_message(row_description(&columns, &formats)),
        }
    }

    pub(super) fn close(&mut self, close: &Close) -> io::Result<()> {
        let name = close.name.as_deref().unwrap_or_default();
        match close.target_type {
            STATEMENT_TARGET => drop(self.statements.remove(name)),
            _ => drop(self.portals.remove(name)),
        }
        self.send(PgWireBackendMessage::CloseComplete(CloseComplete::new()))
    }

    pub(super) async fn execute_portal(&mut self, execute: &Execute) -> Result<(), SqlError> {
        let name = execute.name.clone().unwrap_or_default();
        let mut portal = self.portals.remove(&name).ok_or_else(|| missing("portal", &name))?;
        if matches!(portal.prepared.parsed.plan, Plan::Empty) {
            return self
                .send_message(PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()));
        }
        let (mut result, mut rows) = match portal.remaining.take() {
            Some(remaining) => remaining,
            None => {
                let mut result = self.run(&portal.prepared.parsed, &portal.params).await?;
                self.send_position(&result).map_err(broken)?;
                let rows = std::mem::take(&mut result.rows).into_iter();
                (result, rows)
            }
        };
        let limit = match execute.max_rows {
            max if max > 0 => max as usize,
            _ => usize::MAX,
        };
        for row in rows.by_ref().take(limit) {
            self.send_row(&result.columns, &portal.formats, &row).map_err(broken)?;
        }
        if rows.len() > 0 {
            portal.remaining = Some((result, rows));
            self.portals.insert(name, portal);
            let suspended = PortalSuspended::new();
            return self.send_message(PgWireBackendMessage::PortalSuspended(suspended));
        }
        let tag = std::mem::take(&mut result.tag);
        self.portals.insert(name, portal);
        self.send_message(PgWireBackendMessage::CommandComplete(CommandComplete::new(tag)))
    }

    pub(super) fn statement(&self, name: Option<&str>) -> Result<&PreparedStatement, SqlError> {
        let name = name.unwrap_or_default();
        self.statements.get(name).ok_or_else(|| missing("prepared statement", name))
    }
}

fn missing(what: &str, name: &str) -> SqlError {
    SqlError::new("26000", format!("{what} \"{name}\" does not exist"))
}
