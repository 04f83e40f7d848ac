//! Values and their types, with the text and binary formats of the protocol.

use bytes::{BufMut as _, BytesMut};
use tanagerdeal_wire::{scalar_type, wire_type};

use super::error::SqlError;

/// Format code of binary values.
const BINARY_FORMAT: i16 = 1;

scalar_type! {
    /// Type of a column or parameter.
    #[derive(serde::Deserialize, serde::Serialize)]
    pub enum ColumnType {
        /// 32-bit integer.
        Int4,
        /// 64-bit integer.
        Int8,
        /// Text.
        Text,
        /// Truth value.
        Bool,
    }
}

wire_type! {
    /// A value.
    #[derive(Hash, Ord, PartialOrd)]
    #[serde(untagged)]
    pub enum Datum {
        /// No value.
        Null,
        /// A truth value.
        Bool(bool),
        /// An integer of any width.
        Int(i64),
        /// A text.
        Text(String),
    }
}

impl ColumnType {
    /// Object id of the type.
    pub(super) fn oid(self) -> u32 {
        match self {
            Self::Bool => 16,
            Self::Int8 => 20,
            Self::Int4 => 23,
            Self::Text => 25,
        }
    }

    /// Size in bytes, -1 for variable.
    pub(super) fn size(self) -> i16 {
        match self {
            Self::Bool => 1,
            Self::Int8 => 8,
            Self::Int4 => 4,
            Self::Text => -1,
        }
    }

    /// The type of an object id; unknown ids count as text.
    pub(super) fn of_oid(oid: u32) -> Self {
        match oid {
            16 => Self::Bool,
            20 => Self::Int8,
            21 | 23 => Self::Int4,
            _ => Self::Text,
        }
    }

    /// Converts a value to the type, as an assignment to a column does.
    pub(super) fn convert(self, datum: Datum) -> Result<Datum, SqlError> {
        match (self, datum) {
            (_, Datum::Null) => Ok(Datum::Null),
            (Self::Int4 | Self::Int8, Datum::Text(text)) => self.parse(&text),
            (Self::Int4, Datum::Int(value)) if i32::try_from(value).is_err() => {
                Err(SqlError::new("22003", "integer out of range"))
            }
            (Self::Bool, Datum::Text(text)) => self.parse(&text),
            (Self::Text, Datum::Int(value)) => Ok(Datum::Text(value.to_string())),
            (Self::Text, Datum::Bool(value)) => Ok(Datum::Text(value.to_string())),
            (_, datum) => Ok(datum),
        }
    }

    fn parse(self, text: &str) -> Result<Datum, SqlError> {
        let invalid =
            || SqlError::new("22P02", format!("invalid input for type {self:?}: {text:?}"));
        match self {
            Self::Text => Ok(Datum::Text(text.to_owned())),
            Self::Int4 | Self::Int8 => text.trim().parse().map(Datum::Int).map_err(|_| invalid()),
            Self::Bool => match text {
                "t" | "true" | "on" | "1" => Ok(Datum::Bool(true)),
                "f" | "false" | "off" | "0" => Ok(Datum::Bool(false)),
                _ => Err(invalid()),
            },
        }
    }

    /// Decodes a parameter.
    pub(super) fn decode(self, bytes: Option<&[u8]>, format: i16) -> Result<Datum, SqlError> {
        let invalid = || SqlError::new("22P03", "incorrect binary data format in bind parameter");
        let Some(bytes) = bytes else { return Ok(Datum::Null) };
        match (self, format, bytes) {
            (Self::Bool, BINARY_FORMAT, [byte]) => Ok(Datum::Bool(*byte != 0)),
            (Self::Int4 | Self::Int8, BINARY_FORMAT, _) => match bytes.len() {
                2 => Ok(Datum::Int(i16::from_be_bytes([bytes[0], bytes[1]]).into())),
                4 => bytes.try_into().map(|b| Datum::Int(i32::from_be_bytes(b).into())),
                8 => bytes.try_into().map(|b| Datum::Int(i64::from_be_bytes(b))),
                _ => return Err(invalid()),
            }
            .map_err(|_| invalid()),
            (Self::Bool, BINARY_FORMAT, _) => Err(invalid()),
            _ => self.parse(std::str::from_utf8(bytes).map_err(|_| invalid())?),
        }
    }
}

impl Datum {
    /// The value's text, nothing for null.
    pub(super) fn to_text(&self) -> Option<String> {
        match self {
            Self::Null => None,
            Self::Bool(true) => Some("t".to_owned()),
            Self::Bool(false) => Some("f".to_owned()),
            Self::Int(value) => Some(value.to_string()),
            Self::Text(text) => Some(text.clone()),
        }
    }

    /// Appends the value, with its length before it, to a row message.
    pub(super) fn encode(&self, column_type: ColumnType, format: i16, out: &mut BytesMut) {
        match (self, column_type) {
            (Self::Null, _) => out.put_i32(-1),
            (Self::Int(value), ColumnType::Int4) if format == BINARY_FORMAT => {
                out.put_i32(4);
                out.put_i32(*value as i32);
            }
            (Self::Int(value), ColumnType::Int8) if format == BINARY_FORMAT => {
                out.put_i32(8);
                out.put_i64(*value);
            }
            (Self::Bool(value), ColumnType::Bool) if format == BINARY_FORMAT => {
                out.put_i32(1);
                out.put_u8((*value).into());
            }
            (datum, _) => {
                let text = datum.to_text().unwrap_or_default();
                out.put_i32(text.len() as i32);
                out.put_slice(text.as_bytes());
            }
        }
    }
}
