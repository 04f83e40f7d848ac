//! Replies that need no endpoint: proxy settings, empty texts, transaction control without effect.

use bytes::{BufMut as _, BytesMut};
use pgwire::messages::data::{
    DataRow, FORMAT_CODE_TEXT, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::EmptyQueryResponse;
use tanagerdeal_core::message::caller::{CallerAnswer, CallerCall};
use tanagerdeal_core::statement::StatementClass;
use tanagerdeal_core::verdict::{RefusalCode, RequestRefusal};

use super::batch::{BatchItem, ExtendedBatch};
use super::reply;
use super::request::RequestBody;
use super::session::{Session, SessionEnd};

/// Object id of type text.
const TEXT_OID: u32 = 25;
/// Size of a type with values of variable length.
const VARIABLE_SIZE: i16 = -1;

impl ExtendedBatch {
    /// Whether no endpoint is needed: the batch refers to proxy settings only, or only closes
    /// statements.
    pub(super) fn is_local(&self, in_transaction: bool) -> bool {
        self.items.iter().all(|item| match item {
            BatchItem::Parse(statement)
            | BatchItem::Bind(_, Some(statement))
            | BatchItem::DescribeStatement(Some(statement))
            | BatchItem::Execute(_, Some(statement)) => is_proxy_setting(&statement.class),
            BatchItem::CloseStatement => true,
            BatchItem::ClosePortal(_) => !in_transaction,
            BatchItem::DescribePortal(_) => self.executed().any(is_proxy_setting),
            _ => false,
        })
    }
}

impl Session {
    /// Runs a proxy setting or an empty text.
    pub(super) async fn run_local(&mut self, class: &StatementClass) -> Result<(), SessionEnd> {
        match self.apply_local(class).await {
            Ok(()) => {
                self.client.push(&reply::ready(self.status()));
                self.flush().await
            }
            Err(refusal) => self.refuse(&refusal, true).await,
        }
    }

    /// Runs a batch that needs no endpoint.
    pub(super) async fn run_local_batch(
        &mut self,
        batch: &ExtendedBatch,
        ends_with_sync: bool,
    ) -> Result<(), SessionEnd> {
        let portal = batch.executed().next().cloned();
        for item in &batch.items {
            if let Err(refusal) = self.reply_local(item, portal.as_ref()).await {
                return self.refuse(&refusal, ends_with_sync).await;
            }
        }
        if ends_with_sync {
            self.client.push(&reply::ready(self.status()));
        }
        self.flush().await
    }

    /// Writes the reply to a request without rows and with a given command tag.
    pub(super) fn push_local_reply(&mut self, body: &RequestBody, tag: &str) {
        let batch = match body {
            RequestBody::Query(_) => return self.client.push(&reply::complete(tag)),
            RequestBody::Batch(batch) => batch,
        };
        for item in &batch.items {
            match item {
                BatchItem::Execute(..) => self.client.push(&reply::complete(tag)),
                item => self.push_step(item, None),
            }
        }
    }

    async fn reply_local(
        &mut self,
        item: &BatchItem,
        portal: Option<&StatementClass>,
    ) -> Result<(), RequestRefusal> {
        match item {
            BatchItem::Execute(_, Some(statement)) => {
                self.apply_setting(&statement.class, false).await
            }
            item => {
                self.push_step(item, portal);
                Ok(())
            }
        }
    }

    /// Replies to a message other than Execute.
    fn push_step(&mut self, item: &BatchItem, portal: Option<&StatementClass>) {
        match item {
            BatchItem::Parse(_) => self.client.push(&ParseComplete::new()),
            BatchItem::Bind(..) => self.client.push(&BindComplete::new()),
            BatchItem::CloseStatement | BatchItem::ClosePortal(_) => {
                self.client.push(&CloseComplete::new());
            }
            BatchItem::DescribeStatement(statement) => {
                self.client.push(&ParameterDescription::new(Vec::new()));
                self.push_columns(statement.as_ref().map(|statement| &statement.class));
            }
            BatchItem::DescribePortal(_) => self.push_columns(portal),
            BatchItem::Execute(..) => {}
        }
    }

    fn push_columns(&mut self, class: Option<&StatementClass>) {
        match class {
            Some(StatementClass::ShowProxySetting { name }) => self.client.push(&columns(name)),
            _ => self.client.push(&NoData::new()),
        }
    }

    async fn apply_local(&mut self, class: &StatementClass) -> Result<(), RequestRefusal> {
        match class {
            StatementClass::Empty => {
                self.client.push(&EmptyQueryResponse::new());
                Ok(())
            }
            class => self.apply_setting(class, true).await,
        }
    }

    async fn apply_setting(
        &mut self,
        class: &StatementClass,
        with_columns: bool,
    ) -> Result<(), RequestRefusal> {
        let session = self.key;
        let (call, name) = match class {
            StatementClass::SetProxySetting { name, value } => {
                let (name, value) = (name.clone(), value.clone());
                (CallerCall::ChangeSetting { session, name, value }, None)
            }
            StatementClass::ShowProxySetting { name } => {
                (CallerCall::ShowSetting { session, name: name.clone() }, Some(name))
            }
            _ => return Err(unsupported()),
        };
        match (self.context.driver.call(call).await, name) {
            (CallerAnswer::SettingChanged, _) => self.client.push(&reply::complete("SET")),
            (CallerAnswer::SettingShown(value), Some(name)) => {
                if with_columns {
                    self.client.push(&columns(name));
                }
                self.client.push(&row(&value));
                self.client.push(&reply::complete("SHOW"));
            }
            (CallerAnswer::Refused(refusal), _) => return Err(refusal),
            _ => return Err(unsupported()),
        }
        Ok(())
    }
}

fn is_proxy_setting(class: &StatementClass) -> bool {
    matches!(
        class,
        StatementClass::SetProxySetting { .. } | StatementClass::ShowProxySetting { .. }
    )
}

fn unsupported() -> RequestRefusal {
    RequestRefusal::not_run(RefusalCode::Unsupported, "the statement is not a proxy setting")
}

fn columns(name: &str) -> RowDescription {
    let name = name.to_owned();
    let field = FieldDescription::new(name, 0, 0, TEXT_OID, VARIABLE_SIZE, -1, FORMAT_CODE_TEXT);
    RowDescription::new(vec![field])
}

fn row(value: &str) -> DataRow {
    let mut data = BytesMut::new();
    // Values are settings, whose length is limited far below the range of i32.
    data.put_i32(i32::try_from(value.len()).unwrap_or(i32::MAX));
    data.put_slice(value.as_bytes());
    DataRow::new(data, 1)
}
