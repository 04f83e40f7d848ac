//! Messages to the client.

use std::io;

use bytes::BytesMut;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{CommandComplete, ReadyForQuery, TransactionStatus};
use pgwire::messages::startup::ParameterStatus;
use tanagerdeal_wire::member::POSITION_PARAMETER;
use tokio::io::AsyncWriteExt as _;

use super::super::error::SqlError;
use super::super::execute::{BlockState, StatementResult};
use super::super::table::{Column, Row};
use super::Session;

impl Session {
    pub(super) fn send_error(&mut self, error: &SqlError) -> io::Result<()> {
        self.send(PgWireBackendMessage::ErrorResponse(error.to_response("ERROR")))
    }

    /// Sends a result of the simple protocol with its description.
    pub(super) fn send_whole(&mut self, result: &StatementResult) -> io::Result<()> {
        self.send_position(result)?;
        if !result.columns.is_empty() {
            self.send(row_description(&result.columns, &[]))?;
        }
        for row in &result.rows {
            self.send_row(&result.columns, &[], row)?;
        }
        let complete = CommandComplete::new(result.tag.clone());
        self.send(PgWireBackendMessage::CommandComplete(complete))
    }

    pub(super) fn send_position(&mut self, result: &StatementResult) -> io::Result<()> {
        match result.position {
            Some(position) => self.send_status(POSITION_PARAMETER, &position.to_string()),
            None => Ok(()),
        }
    }

    pub(super) fn send_row(
        &mut self,
        columns: &[Column],
        formats: &[i16],
        row: &Row,
    ) -> io::Result<()> {
        let mut data = BytesMut::new();
        for (index, (column, datum)) in columns.iter().zip(row).enumerate() {
            datum.encode(column.column_type, format_at(formats, index), &mut data);
        }
        self.send(PgWireBackendMessage::DataRow(DataRow::new(data, row.len() as i16)))
    }

    pub(super) fn send_status(&mut self, name: &str, value: &str) -> io::Result<()> {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        self.send(PgWireBackendMessage::ParameterStatus(status))
    }

    pub(super) fn send_ready(&mut self) -> io::Result<()> {
        let status = match self.executor.block {
            BlockState::Idle => TransactionStatus::Idle,
            BlockState::Open => TransactionStatus::Transaction,
            BlockState::Failed => TransactionStatus::Error,
        };
        self.send(PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status)))
    }

    pub(super) fn send_message(&mut self, message: PgWireBackendMessage) -> Result<(), SqlError> {
        self.send(message).map_err(broken)
    }

    pub(super) fn send(&mut self, message: PgWireBackendMessage) -> io::Result<()> {
        message.encode(&mut self.output).map_err(io::Error::other)
    }

    pub(super) async fn flush(&mut self) -> io::Result<()> {
        let output = self.output.split();
        self.stream.write_all(&output).await
    }
}

pub(super) fn format_at(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        list => list.get(index).copied().unwrap_or(0),
    }
}

pub(super) fn row_description(columns: &[Column], formats: &[i16]) -> PgWireBackendMessage {
    let fields = columns.iter().enumerate().map(|(index, column)| {
        let (oid, size) = (column.column_type.oid(), column.column_type.size());
        let format = format_at(formats, index);
        FieldDescription::new(column.name.clone(), 0, 0, oid, size, -1, format)
    });
    PgWireBackendMessage::RowDescription(RowDescription::new(fields.collect()))
}

pub(super) fn broken(error: io::Error) -> SqlError {
    SqlError::new("08006", error.to_string())
}
