//! The loop of a client session.

use std::sync::Arc;
use std::time::Duration;

use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::response::TransactionStatus;
use tanagerdeal_core::message::caller::{CallerCall, RequestEnding};
use tanagerdeal_core::message::{DispatchKey, SessionKey};
use tanagerdeal_core::statement::{StatementClass, classify};
use tanagerdeal_core::verdict::{RefusalCode, RequestRefusal};
use tanagerdeal_wire::member::LogPosition;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::CallerContext;
use super::batch::{ExtendedBatch, StatementTable};
use super::cancel::CancelSlot;
use super::class::{leaves_state, may_read, placement_class, starts_transaction};
use super::reply;
use super::request::{Request, RequestBody};
use super::setting::SessionSetting;
use super::startup::CallerStream;
use crate::codec::{CodecError, Frame, FrameStream};
use crate::endpoint::ConnectionLease;

/// Statements that a session may have prepared.
const MAX_STATEMENTS: usize = 1_000;
/// Least wait for the end of an unlimited idle time.
const FOREVER: Duration = Duration::from_secs(365 * 24 * 3600);

/// Why a session ended.
pub(super) enum SessionEnd {
    /// The client left or cannot be reached.
    ClientGone,
    /// The proxy closed it, after an error response.
    Closed,
}

/// An open transaction, or a batch between Flush and Sync.
pub(super) struct Transaction {
    pub(super) dispatch: DispatchKey,
    /// The connection between two requests; absent after it was lost.
    pub(super) lease: Option<ConnectionLease>,
    /// Whether the proxy refuses further statements up to the end of the transaction.
    pub(super) is_failed: bool,
    /// Whether a cancel request was sent to the connection.
    pub(super) is_tainted: bool,
    /// Whether it ends at the next Sync.
    pub(super) is_batch: bool,
    /// Whether the endpoint has got a Flush and waits for Sync.
    pub(super) is_flushed: bool,
    /// Whether a statement of it may have written.
    pub(super) wrote: bool,
    /// Whether a portal has been suspended in it.
    pub(super) has_portal: bool,
    /// Last position reported.
    pub(super) position: Option<LogPosition>,
    /// Settings made in it, which last when it commits.
    pub(super) settings: Vec<SessionSetting>,
}

/// A session of a client that is authenticated.
pub(super) struct Session {
    pub(super) context: Arc<CallerContext>,
    pub(super) client: FrameStream<CallerStream>,
    pub(super) key: SessionKey,
    pub(super) closing: oneshot::Receiver<RequestRefusal>,
    pub(super) close_refusal: Option<RequestRefusal>,
    pub(super) cancel: Arc<CancelSlot>,
    pub(super) settings: Vec<SessionSetting>,
    pub(super) statements: StatementTable,
    pub(super) transaction: Option<Transaction>,
    pub(super) batch: ExtendedBatch,
    /// Whether messages are ignored up to the next Sync, after an error in a batch.
    pub(super) is_skipping: bool,
}

impl Transaction {
    pub(super) fn new(dispatch: DispatchKey) -> Self {
        Self {
            dispatch,
            lease: None,
            is_failed: false,
            is_tainted: false,
            is_batch: false,
            is_flushed: false,
            wrote: false,
            has_portal: false,
            position: None,
            settings: Vec::new(),
        }
    }

    /// Whether Sync must reach the endpoint. After an error in a batch that is its own transaction
    /// the connection is closed instead.
    fn awaits_sync(&self) -> bool {
        self.is_flushed && self.lease.is_some() && !(self.is_batch && self.is_failed)
    }

    /// Closes the connection, which rolls the transaction back.
    pub(super) fn fail(&mut self) {
        self.lease = None;
        self.is_failed = true;
    }
}

impl Session {
    pub(super) fn new(
        context: Arc<CallerContext>,
        client: FrameStream<CallerStream>,
        key: SessionKey,
        closing: oneshot::Receiver<RequestRefusal>,
        cancel: Arc<CancelSlot>,
    ) -> Self {
        Self {
            context,
            client,
            key,
            closing,
            close_refusal: None,
            cancel,
            settings: Vec::new(),
            statements: StatementTable::default(),
            transaction: None,
            batch: ExtendedBatch::default(),
            is_skipping: false,
        }
    }

    /// Serves the session until it ends.
    pub(super) async fn serve(mut self) {
        while let Ok(frame) = self.wait().await {
            if self.receive(frame).await.is_err() {
                break;
            }
        }
        if let Some(transaction) = self.transaction.take() {
            drop(transaction.lease);
            self.end_dispatch(transaction.dispatch, RequestEnding::Lost);
        }
        self.context.cancels.remove(&self.cancel);
        self.context.driver.tell(CallerCall::CloseSession { session: self.key });
    }

    /// Transaction status as the client sees it.
    pub(super) fn status(&self) -> TransactionStatus {
        match &self.transaction {
            None => TransactionStatus::Idle,
            Some(transaction) if transaction.is_failed => TransactionStatus::Error,
            Some(_) => TransactionStatus::Transaction,
        }
    }

    /// Waits for the next message of the client.
    async fn wait(&mut self) -> Result<Frame, SessionEnd> {
        loop {
            let is_open = self.transaction.is_some();
            let limits = &self.context.limits;
            let idle = if is_open { limits.idle_in_transaction } else { limits.idle_timeout };
            let idle = if idle.is_zero() { FOREVER } else { idle };
            tokio::select! {
                biased;
                refusal = &mut self.closing, if self.close_refusal.is_none() => {
                    let stopped = |_| RequestRefusal::not_run(RefusalCode::ShuttingDown, "stopping");
                    let refusal = refusal.unwrap_or_else(stopped);
                    if !is_open && self.batch.items.is_empty() && !self.client.has_input() {
                        return Err(self.close(&refusal).await);
                    }
                    self.close_refusal = Some(refusal);
                }
                () = recalled(&mut self.transaction) => self.withdraw(),
                frame = self.client.read() => return self.admit(frame).await,
                () = sleep(idle) => return Err(self.close_idle(is_open).await),
            }
        }
    }

    /// Closes the connection of an idle transaction, which the pool has to give up.
    fn withdraw(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            transaction.fail();
            let dispatch = transaction.dispatch;
            self.end_dispatch(dispatch, RequestEnding::Lost);
            log::warn!("endpoint: the connection of an idle transaction was withdrawn");
        }
    }

    /// Takes a message unless the session is to be closed or the message is invalid.
    async fn admit(&mut self, frame: Result<Frame, CodecError>) -> Result<Frame, SessionEnd> {
        match (frame, self.close_refusal.take()) {
            (Ok(_), Some(refusal)) => Err(self.close(&refusal).await),
            (Ok(frame), None) => Ok(frame),
            (Err(CodecError::Closed | CodecError::Io(_) | CodecError::Truncated), _) => {
                Err(SessionEnd::ClientGone)
            }
            (Err(error), _) => Err(self.close_invalid(&error).await),
        }
    }

    async fn receive(&mut self, frame: Frame) -> Result<(), SessionEnd> {
        let size = frame.size();
        let message = match frame.frontend() {
            Ok(message) => message,
            Err(error) => return Err(self.close_invalid(&error).await),
        };
        match message {
            PgWireFrontendMessage::Terminate(_) => Err(SessionEnd::ClientGone),
            PgWireFrontendMessage::Sync(_) => self.end_batch(true).await,
            _ if self.is_skipping => Ok(()),
            PgWireFrontendMessage::Flush(_) => self.end_batch(false).await,
            PgWireFrontendMessage::Query(query) => self.query(query.query).await,
            message => self.collect(message, size).await,
        }
    }

    /// Adds a message to the batch.
    async fn collect(
        &mut self,
        message: PgWireFrontendMessage,
        size: usize,
    ) -> Result<(), SessionEnd> {
        self.batch.size += size;
        let limit = self.context.limits.message_bytes;
        let is_over = self.batch.size > limit
            || (matches!(message, PgWireFrontendMessage::Parse(_))
                && (self.statements.len() >= MAX_STATEMENTS || self.statements.size() > limit));
        if is_over {
            let message = "the batch or the number of prepared statements exceeds the limit";
            let refusal = RequestRefusal::not_run(RefusalCode::LimitExceeded, message);
            self.batch = ExtendedBatch::default();
            return self.refuse(&refusal, false).await;
        }
        match self.statements.resolve(message) {
            Some(item) => {
                self.batch.items.push(item);
                Ok(())
            }
            None => Err(self
                .close_invalid(&CodecError::Malformed("message out of place".to_owned()))
                .await),
        }
    }

    async fn query(&mut self, sql: String) -> Result<(), SessionEnd> {
        if !self.batch.items.is_empty() {
            let error = CodecError::Malformed("a simple query within a batch".to_owned());
            return Err(self.close_invalid(&error).await);
        }
        let class = classify(&sql);
        let is_failed = self.transaction.as_ref().is_some_and(|open| open.is_failed);
        let is_open = self.transaction.is_some();
        match class {
            class if is_failed && !self.can_roll_back_to(&class, &sql) => {
                self.refuse_failed(&class, RequestBody::Query(sql), true).await
            }
            StatementClass::Rejected { reason } => self.refuse(&unsupported(&reason), true).await,
            StatementClass::Empty
            | StatementClass::SetProxySetting { .. }
            | StatementClass::ShowProxySetting { .. } => self.run_local(&class).await,
            StatementClass::Begin { .. } if is_open => self.answer_tag("BEGIN").await,
            StatementClass::Commit if !is_open => self.answer_tag("COMMIT").await,
            StatementClass::Rollback if !is_open => self.answer_tag("ROLLBACK").await,
            StatementClass::InTransaction if !is_open => {
                self.refuse(&unsupported("no transaction is open"), true).await
            }
            class => {
                let request = self.simple_request(sql, class);
                self.run_checked(request).await
            }
        }
    }

    fn simple_request(&self, sql: String, class: StatementClass) -> Request {
        let settings = self.settings_of(std::iter::once((&class, sql.as_str())));
        Request {
            writes: class == StatementClass::Write,
            reads: may_read(&class),
            is_block: matches!(class, StatementClass::Read | StatementClass::Write)
                && starts_transaction(&sql),
            class: placement_class(class, self.transaction.is_some()),
            leaves_state: leaves_state(&sql),
            body: RequestBody::Query(sql),
            ends_with_sync: true,
            settings,
        }
    }

    /// Runs the batch that ends with Sync or Flush.
    async fn end_batch(&mut self, is_sync: bool) -> Result<(), SessionEnd> {
        let batch = std::mem::take(&mut self.batch);
        let awaits_sync = self.transaction.as_ref().is_some_and(Transaction::awaits_sync);
        let was_skipping = std::mem::replace(&mut self.is_skipping, false);
        if was_skipping && !awaits_sync {
            return self.synchronize().await;
        }
        let class = self.batch_class(&batch, is_sync);
        let is_failed = self.transaction.as_ref().is_some_and(|open| open.is_failed);
        let in_transaction = self.transaction.is_some();
        if let Some(reason) = batch.rejection() {
            let refusal = unsupported(reason);
            return self.refuse(&refusal, is_sync).await;
        }
        if !awaits_sync && batch.is_local(in_transaction) {
            return self.run_local_batch(&batch, is_sync).await;
        }
        if is_failed {
            return self.refuse_failed(&class, RequestBody::Batch(batch), is_sync).await;
        }
        let settings = self.settings_of(batch.executed().zip(batch.texts()));
        let writes = batch.executed().any(|class| *class == StatementClass::Write);
        let reads = batch.executed().any(may_read);
        let leaves_state = batch.texts().any(leaves_state);
        let is_block = !in_transaction
            && batch.executed().any(|class| matches!(class, StatementClass::Begin { .. }))
            && batch.executed().any(|class| *class == StatementClass::Commit);
        let request = Request {
            writes,
            reads,
            class,
            is_block,
            leaves_state,
            body: RequestBody::Batch(batch),
            ends_with_sync: is_sync,
            settings,
        };
        self.run_checked(request).await
    }

    /// Whether a statement rolls back to a savepoint of a transaction that the proxy has failed but
    /// the endpoint has not; it ends the failure.
    fn can_roll_back_to(&mut self, class: &StatementClass, sql: &str) -> bool {
        let start = sql.trim_start().get(..8).unwrap_or_default();
        let is_partial =
            *class == StatementClass::InTransaction && start.eq_ignore_ascii_case("ROLLBACK");
        match &mut self.transaction {
            Some(open) if is_partial && open.lease.is_some() => {
                open.is_failed = false;
                true
            }
            _ => false,
        }
    }

    /// Answers Sync after an error in the batch.
    pub(super) async fn synchronize(&mut self) -> Result<(), SessionEnd> {
        if let Some(transaction) = self.transaction.take_if(|open| open.is_batch) {
            drop(transaction.lease);
            self.end_dispatch(transaction.dispatch, RequestEnding::Failed);
        }
        self.client.push(&reply::ready(self.status()));
        self.flush().await
    }

    /// Strongest class among the statements that a batch executes. A batch that is flushed goes to
    /// the primary, because what follows before Sync is not known.
    fn batch_class(&self, batch: &ExtendedBatch, is_sync: bool) -> StatementClass {
        let is_open = self.transaction.is_some();
        let rank = |class: &&StatementClass| match class {
            StatementClass::Commit => 5,
            StatementClass::Rollback => 4,
            StatementClass::Begin { .. } => 3,
            StatementClass::Write => 2,
            StatementClass::InTransaction => 1,
            _ => 0,
        };
        let strongest = batch.executed().max_by_key(rank).cloned().unwrap_or(StatementClass::Read);
        let begins = batch.executed().any(|class| matches!(class, StatementClass::Begin { .. }));
        match strongest {
            StatementClass::Commit | StatementClass::Rollback if begins => StatementClass::Write,
            StatementClass::Begin { .. } => strongest,
            _ if !is_sync && !is_open => StatementClass::Write,
            class => placement_class(class, is_open),
        }
    }

    async fn answer_tag(&mut self, tag: &str) -> Result<(), SessionEnd> {
        self.client.push(&reply::complete(tag));
        self.client.push(&reply::ready(self.status()));
        self.flush().await
    }

    /// Tells the core that a transaction is over.
    pub(super) fn end_dispatch(&self, dispatch: DispatchKey, ending: RequestEnding) {
        let (seen, in_transaction) = (None, false);
        let call = CallerCall::EndRequest { dispatch, ending, seen, in_transaction };
        self.context.driver.tell(call);
    }
}

/// Waits until the connection of an idle transaction has to be closed.
async fn recalled(transaction: &mut Option<Transaction>) {
    match transaction.as_mut().and_then(|transaction| transaction.lease.as_mut()) {
        Some(lease) => lease.recalled().await,
        None => std::future::pending().await,
    }
}

fn unsupported(reason: &str) -> RequestRefusal {
    RequestRefusal::not_run(RefusalCode::Unsupported, reason)
}
