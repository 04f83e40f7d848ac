//! Messages of the extended query protocol, collected up to Sync or Flush.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use bytes::BytesMut;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::extendedquery::{
    Bind, Close, CloseComplete, Describe, Execute, Flush, Parse, ParseComplete, Sync,
    TARGET_TYPE_BYTE_STATEMENT,
};
use tanagerdeal_core::statement::{StatementClass, classify};

use crate::codec::{Frame, put};
use crate::endpoint::{PreparedStatement, PreparedTable};

/// Name under which an unknown statement is passed on, so that the endpoint reports the error and
/// fails the transaction.
const UNKNOWN_STATEMENT: &str = "unknown_statement";

/// A prepared statement with its class.
pub(super) struct SessionStatement {
    pub(super) prepared: PreparedStatement,
    pub(super) class: StatementClass,
}

/// Statements and portals of a session by the client's names; the empty name is the unnamed one.
#[derive(Default)]
pub(super) struct StatementTable {
    statements: HashMap<String, Arc<SessionStatement>>,
    portals: HashMap<String, Arc<SessionStatement>>,
}

/// A message of a batch with the statement that it refers to, where that is known.
pub(super) enum BatchItem {
    Parse(Arc<SessionStatement>),
    Bind(Bind, Option<Arc<SessionStatement>>),
    DescribeStatement(Option<Arc<SessionStatement>>),
    DescribePortal(Describe),
    Execute(Execute, Option<Arc<SessionStatement>>),
    CloseStatement,
    ClosePortal(Close),
}

/// Messages that have come since the last Sync or Flush.
#[derive(Default)]
pub(super) struct ExtendedBatch {
    pub(super) items: Vec<BatchItem>,
    pub(super) size: usize,
}

/// The reply that is due next from the endpoint, or at hand without it.
pub(super) enum ExpectedReply {
    /// ParseComplete of a statement; one that the client did not ask for is not passed on.
    Parse { name: String, is_visible: bool },
    /// BindComplete.
    Bind,
    /// CloseComplete; one that the client did not ask for is not passed on.
    Close { is_visible: bool },
    /// ParameterDescription.
    Parameters,
    /// RowDescription or NoData.
    Rows,
    /// DataRows and the end of an execution.
    Execution,
    /// A reply that needs no endpoint.
    Local(Frame),
}

/// A batch as it is sent to one connection.
pub(super) struct BatchScript {
    pub(super) bytes: BytesMut,
    pub(super) expected: VecDeque<ExpectedReply>,
}

impl StatementTable {
    /// Notes a message and returns it with the statement that it refers to; nothing for a message
    /// that belongs to no batch.
    pub(super) fn resolve(&mut self, message: PgWireFrontendMessage) -> Option<BatchItem> {
        Some(match message {
            PgWireFrontendMessage::Parse(parse) => {
                let prepared = PreparedStatement::new(&parse.query, &parse.type_oids);
                let class = classify(&parse.query);
                let statement = Arc::new(SessionStatement { prepared, class });
                self.statements.insert(parse.name.unwrap_or_default(), statement.clone());
                BatchItem::Parse(statement)
            }
            PgWireFrontendMessage::Bind(bind) => {
                let statement = self.statement(&bind.statement_name);
                let portal = bind.portal_name.clone().unwrap_or_default();
                match &statement {
                    Some(statement) => self.portals.insert(portal, statement.clone()),
                    None => self.portals.remove(&portal),
                };
                BatchItem::Bind(bind, statement)
            }
            PgWireFrontendMessage::Describe(describe) => match describe.target_type {
                TARGET_TYPE_BYTE_STATEMENT => {
                    BatchItem::DescribeStatement(self.statement(&describe.name))
                }
                _ => BatchItem::DescribePortal(describe),
            },
            PgWireFrontendMessage::Execute(execute) => {
                let portal = execute.name.as_deref().unwrap_or_default();
                let statement = self.portals.get(portal).cloned();
                BatchItem::Execute(execute, statement)
            }
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.as_deref().unwrap_or_default();
                match close.target_type {
                    TARGET_TYPE_BYTE_STATEMENT => {
                        self.statements.remove(name);
                        BatchItem::CloseStatement
                    }
                    _ => {
                        self.portals.remove(name);
                        BatchItem::ClosePortal(close)
                    }
                }
            }
            _ => return None,
        })
    }

    /// Forgets portals, which end with their transaction.
    pub(super) fn end_transaction(&mut self) {
        self.portals.clear();
    }

    /// Statements held, for the limit on them.
    pub(super) fn len(&self) -> usize {
        self.statements.len()
    }

    /// Bytes of the texts held.
    pub(super) fn size(&self) -> usize {
        self.statements.values().map(|statement| statement.prepared.text.len()).sum()
    }

    fn statement(&self, name: &Option<String>) -> Option<Arc<SessionStatement>> {
        self.statements.get(name.as_deref().unwrap_or_default()).cloned()
    }
}

impl ExtendedBatch {
    /// Classes of the statements that the batch executes; those it only prepares are not run.
    pub(super) fn executed(&self) -> impl Iterator<Item = &StatementClass> {
        self.items.iter().filter_map(|item| match item {
            BatchItem::Execute(_, statement) => statement.as_ref().map(|found| &found.class),
            _ => None,
        })
    }

    /// Texts of the statements that the batch executes.
    pub(super) fn texts(&self) -> impl Iterator<Item = &str> {
        self.items.iter().filter_map(|item| match item {
            BatchItem::Execute(_, Some(statement)) => Some(statement.prepared.text.as_str()),
            _ => None,
        })
    }

    /// The reason for which a statement of the batch is refused.
    pub(super) fn rejection(&self) -> Option<&str> {
        self.items.iter().find_map(|item| match item {
            BatchItem::Parse(statement) | BatchItem::Execute(_, Some(statement)) => {
                match &statement.class {
                    StatementClass::Rejected { reason } => Some(reason.as_str()),
                    _ => None,
                }
            }
            _ => None,
        })
    }

    /// Writes the batch for a connection that holds certain statements: those missing are prepared
    /// first, those present are not prepared again.
    pub(super) fn script(&self, table: &mut PreparedTable, ends_with_sync: bool) -> BatchScript {
        let mut writer = ScriptWriter::new(table);
        self.items.iter().for_each(|item| writer.item(item));
        if ends_with_sync {
            put(&mut writer.script.bytes, &Sync::new());
        } else {
            put(&mut writer.script.bytes, &Flush::new());
        }
        writer.script
    }
}

/// Writes a batch for one connection.
struct ScriptWriter<'a> {
    table: &'a mut PreparedTable,
    script: BatchScript,
    /// Statements that this batch itself prepares.
    added: Vec<String>,
}

impl<'a> ScriptWriter<'a> {
    fn new(table: &'a mut PreparedTable) -> Self {
        let script = BatchScript { bytes: BytesMut::new(), expected: VecDeque::new() };
        let mut writer = Self { table, script, added: Vec::new() };
        for name in writer.table.take_excess() {
            put(&mut writer.script.bytes, &Close::new(TARGET_TYPE_BYTE_STATEMENT, Some(name)));
            writer.expect(ExpectedReply::Close { is_visible: false });
        }
        writer
    }

    fn item(&mut self, item: &BatchItem) {
        match item {
            BatchItem::Parse(statement) => self.parse(statement),
            BatchItem::Bind(bind, statement) => {
                let name = self.ensure(statement.as_deref());
                put(&mut self.script.bytes, &copy_bind(bind, name));
                self.expect(ExpectedReply::Bind);
            }
            BatchItem::DescribeStatement(statement) => {
                let name = Some(self.ensure(statement.as_deref()));
                put(&mut self.script.bytes, &Describe::new(TARGET_TYPE_BYTE_STATEMENT, name));
                self.expect(ExpectedReply::Parameters);
                self.expect(ExpectedReply::Rows);
            }
            BatchItem::DescribePortal(describe) => {
                put(&mut self.script.bytes, describe);
                self.expect(ExpectedReply::Rows);
            }
            BatchItem::Execute(execute, _) => {
                put(&mut self.script.bytes, execute);
                self.expect(ExpectedReply::Execution);
            }
            BatchItem::CloseStatement => {
                self.expect(ExpectedReply::Local(Frame::encode(&CloseComplete::new())));
            }
            BatchItem::ClosePortal(close) => {
                put(&mut self.script.bytes, close);
                self.expect(ExpectedReply::Close { is_visible: true });
            }
        }
    }

    fn parse(&mut self, statement: &SessionStatement) {
        if self.holds(&statement.prepared.name) {
            self.expect(ExpectedReply::Local(Frame::encode(&ParseComplete::new())));
        } else {
            self.prepare(&statement.prepared, true);
        }
    }

    /// Prepares the statement if the connection does not hold it; returns its name there.
    fn ensure(&mut self, statement: Option<&SessionStatement>) -> String {
        let Some(statement) = statement else {
            return UNKNOWN_STATEMENT.to_owned();
        };
        if !self.holds(&statement.prepared.name) {
            self.prepare(&statement.prepared, false);
        }
        statement.prepared.name.clone()
    }

    fn holds(&self, name: &str) -> bool {
        self.table.contains(name) || self.added.iter().any(|added| added == name)
    }

    fn prepare(&mut self, statement: &PreparedStatement, is_visible: bool) {
        let name = statement.name.clone();
        let parse = Parse::new(Some(name.clone()), statement.text.clone(), statement.types.clone());
        put(&mut self.script.bytes, &parse);
        self.added.push(name.clone());
        self.expect(ExpectedReply::Parse { name, is_visible });
    }

    fn expect(&mut self, reply: ExpectedReply) {
        self.script.expected.push_back(reply);
    }
}

fn copy_bind(bind: &Bind, statement: String) -> Bind {
    Bind::new(
        bind.portal_name.clone(),
        Some(statement),
        bind.parameter_format_codes.clone(),
        bind.parameters.clone(),
        bind.result_column_format_codes.clone(),
    )
}
