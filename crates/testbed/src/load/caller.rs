//! One caller: takes arrivals of its customer and sends them over one connection at a time.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::sync::Mutex;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use uuid::Uuid;

use super::arrival::{Arrival, ArrivalKind};
use super::connection::{CallFailure, CallerConnection, TextRows};
use super::plan::{CustomerLoad, HostTarget, LoadPlan};
use crate::clock::now_us;
use crate::history::{
    HistoryLine, Invocation, Outcome, OutcomeVerdict, RequestKind, SessionOpened, request_tag,
};

/// Arrivals of one customer on one route, shared by its callers.
pub(super) type ArrivalQueue = Arc<Mutex<UnboundedReceiver<Arrival>>>;

/// One caller.
pub(super) struct CallerTask {
    plan: Arc<LoadPlan>,
    customer: CustomerLoad,
    route: String,
    process: u64,
    history: UnboundedSender<HistoryLine>,
    random: SmallRng,
    session: u64,
    token: Option<String>,
    host: usize,
    connection: Option<CallerConnection>,
}

impl CallerTask {
    pub(super) fn new(
        plan: Arc<LoadPlan>,
        customer: &CustomerLoad,
        route: &str,
        process: u64,
        history: UnboundedSender<HistoryLine>,
    ) -> Self {
        let random = SmallRng::seed_from_u64(plan.seed ^ (process << 16));
        let mut caller = Self {
            plan,
            customer: customer.clone(),
            route: route.to_owned(),
            process,
            history,
            random,
            session: process << 32,
            token: None,
            host: 0,
            connection: None,
        };
        caller.host = caller.choose_host();
        caller
    }

    /// Serves arrivals until there are no more.
    pub(super) async fn run(mut self, queue: ArrivalQueue) {
        loop {
            let arrival = queue.lock().await.recv().await;
            let Some(arrival) = arrival else { break };
            self.serve(&arrival).await;
            if self.random.random_range(0..100) < self.plan.roam_percent {
                self.roam().await;
            }
        }
        if let Some(connection) = self.connection.take() {
            connection.close().await;
        }
    }

    /// Sends a request, again while its outcome is unknown and a repetition cannot run it twice.
    async fn serve(&mut self, arrival: &Arrival) {
        let request_id = (arrival.kind == ArrivalKind::IdempotentWrite).then(|| {
            let (high, low) = (self.random.random::<u64>(), self.random.random::<u64>());
            uuid_v7(now_us() / 1_000, high, low).to_string()
        });
        let items = self.choose_items(arrival.kind);
        let attempts = if request_id.is_some() { self.plan.attempts } else { 1 };
        for attempt in 1..=attempts {
            let verdict = self.attempt(arrival, attempt, &items, request_id.as_deref()).await;
            let unknown =
                [OutcomeVerdict::MayHaveRun, OutcomeVerdict::Lost, OutcomeVerdict::TimedOut];
            if !unknown.contains(&verdict) {
                return;
            }
        }
    }

    async fn attempt(
        &mut self,
        arrival: &Arrival,
        attempt: u32,
        items: &[String],
        request_id: Option<&str>,
    ) -> OutcomeVerdict {
        let opened = self.ensure_connection().await;
        let start_us = now_us();
        self.note(HistoryLine::Invoked(Invocation {
            request: arrival.request,
            attempt,
            process: self.process,
            session: self.session,
            customer: self.customer.name.clone(),
            key_name: self.customer.key_name.clone(),
            host: self.plan.hosts[self.host].name.clone(),
            kind: arrival.kind.request_kind(),
            items: items.to_vec(),
            request_id: request_id.map(str::to_owned),
            max_age_ms: if arrival.kind.accepts_age() { self.plan.max_age_ms } else { 0 },
            deadline_ms: self.plan.deadline_ms,
            due_us: arrival.due_us,
            start_us,
        }));
        let tag = request_tag(arrival.request, attempt);
        let result = match (opened, &self.connection) {
            (Ok(()), Some(connection)) => {
                let extended = self.random.random_range(0..5) == 0;
                send(connection, arrival.kind, items, &tag, request_id, extended).await
            }
            (Err(failure), _) => Err(failure),
            (Ok(()), None) => Err(CallFailure::new(OutcomeVerdict::NotRun, "no connection")),
        };
        self.conclude(arrival.request, attempt, result).await
    }

    /// Records how an attempt ended; a broken connection is given up.
    async fn conclude(
        &mut self,
        request: u64,
        attempt: u32,
        result: Result<TextRows, CallFailure>,
    ) -> OutcomeVerdict {
        let (rows, failure) = match result {
            Ok(rows) => (rows, CallFailure::new(OutcomeVerdict::Done, "")),
            Err(failure) => (Vec::new(), failure),
        };
        let (end_us, verdict) = (failure.at_us, failure.verdict);
        self.note(HistoryLine::Ended(Outcome {
            request,
            attempt,
            end_us,
            verdict,
            sqlstate: failure.sqlstate.clone(),
            message: failure.message,
            retry_after_ms: failure.retry_after_ms,
            rows,
        }));
        let broken = matches!(verdict, OutcomeVerdict::Lost | OutcomeVerdict::TimedOut);
        if broken || failure.sqlstate == "57P01" {
            self.disconnect().await;
            self.host = self.choose_host();
        }
        verdict
    }

    /// Opens a connection, on another host when the chosen one refuses.
    async fn ensure_connection(&mut self) -> Result<(), CallFailure> {
        match &self.connection {
            Some(connection) if connection.is_closed() => self.disconnect().await,
            Some(_) => return Ok(()),
            None => {}
        }
        let mut last = CallFailure::new(OutcomeVerdict::NotRun, "no host");
        for _ in 0..self.plan.hosts.len() {
            let host = &self.plan.hosts[self.host];
            let opened = self.open(host).await;
            self.note(HistoryLine::Opened(SessionOpened {
                at_us: now_us(),
                session: self.session,
                customer: self.customer.name.clone(),
                key: self.customer.key_name.clone(),
                key_valid: true,
                route: self.route.clone(),
                open_route: false,
                host: host.name.clone(),
                with_token: self.token.is_some(),
                accepted: opened.is_ok(),
            }));
            match opened {
                Ok(connection) => {
                    self.connection = Some(connection);
                    return Ok(());
                }
                Err(failure) => last = failure,
            }
            self.host = (self.host + 1) % self.plan.hosts.len();
        }
        Err(last)
    }

    async fn open(&self, host: &HostTarget) -> Result<CallerConnection, CallFailure> {
        let (plan, token) = (&self.plan, self.token.as_deref());
        CallerConnection::open(host, &self.customer, &self.route, plan.deadline_ms, token).await
    }

    /// Moves to another host, with the token or as a new session.
    async fn roam(&mut self) {
        self.disconnect().await;
        self.host = self.choose_host();
        if self.random.random_range(0..100) >= self.plan.token_percent {
            self.token = None;
            self.session += 1;
        }
    }

    /// Closes the connection and keeps its token; a session that got none starts anew.
    async fn disconnect(&mut self) {
        if let Some(connection) = self.connection.take() {
            match connection.close().await {
                Some(token) if !token.is_empty() => self.token = Some(token),
                _ if self.token.is_none() => self.session += 1,
                _ => {}
            }
        }
    }

    fn choose_host(&mut self) -> usize {
        let count = self.plan.hosts.len();
        match self.plan.skewed_hosts {
            false => self.random.random_range(0..count),
            true => (0..count - 1).find(|_| self.random.random_bool(0.5)).unwrap_or(count - 1),
        }
    }

    fn choose_items(&mut self, kind: ArrivalKind) -> Vec<String> {
        let count = self.plan.items;
        let name = |index: u32| item_name(&self.customer.name, index);
        let first = self.random.random_range(0..count);
        match kind {
            ArrivalKind::List => (0..count).map(name).collect(),
            ArrivalKind::Transaction => {
                let second = (first + 1 + self.random.random_range(0..count - 1)) % count;
                vec![name(first.min(second)), name(first.max(second))]
            }
            _ => vec![name(first)],
        }
    }

    fn note(&self, line: HistoryLine) {
        // The receiver outlives all callers, so a failure means that the run was given up.
        let _ = self.history.send(line);
    }
}

/// Name of an item of a customer; names sort by number.
pub(super) fn item_name(customer: &str, index: u32) -> String {
    format!("{customer}:{index:04}")
}

/// A UUIDv7 of a time in milliseconds.
fn uuid_v7(milliseconds: u64, high: u64, low: u64) -> Uuid {
    let mut random = [0; 10];
    random[..8].copy_from_slice(&high.to_be_bytes());
    random[8..].copy_from_slice(&low.to_be_bytes()[..2]);
    uuid::Builder::from_unix_timestamp_millis(milliseconds, &random).into_uuid()
}

/// Sends one attempt.
async fn send(
    connection: &CallerConnection,
    kind: ArrivalKind,
    items: &[String],
    tag: &str,
    request_id: Option<&str>,
    extended: bool,
) -> Result<TextRows, CallFailure> {
    let item = &items[0];
    let update = |item: &str| {
        format!("UPDATE items SET amount = amount + 1, writer = '{tag}' WHERE item = '{item}'")
    };
    match kind {
        ArrivalKind::Read | ArrivalKind::AgedRead => {
            let select = format!("SELECT item, amount, '{tag}' FROM items WHERE item = ");
            match extended {
                true => connection.extended(&format!("{select}$1"), item).await,
                false => connection.simple(&format!("{select}'{item}'")).await,
            }
        }
        ArrivalKind::List => {
            let last = &items[items.len() - 1];
            let range = format!("item >= '{item}' AND item <= '{last}' ORDER BY item");
            connection
                .simple(&format!("SELECT item, amount, '{tag}' FROM items WHERE {range}"))
                .await
        }
        ArrivalKind::Write => {
            let text = format!("{} RETURNING item, amount, writer", update(item));
            connection.simple(&text).await
        }
        ArrivalKind::IdempotentWrite => {
            run_with_id(connection, request_id.unwrap_or_default(), &update(item)).await
        }
        ArrivalKind::Transaction => {
            let updates = items.iter().map(|item| update(item));
            let texts = ["BEGIN".to_owned()].into_iter().chain(updates);
            run_block(connection, texts.chain(["COMMIT".to_owned()])).await
        }
    }
}

/// Runs a write under a request id.
async fn run_with_id(
    connection: &CallerConnection,
    request_id: &str,
    text: &str,
) -> Result<TextRows, CallFailure> {
    connection.simple(&format!("SET tanagerdeal.request_id = '{request_id}'")).await?;
    let result = connection.simple(text).await;
    if result.is_err() {
        // The id must not stay set for the next write; a lost connection has lost it.
        let _ = connection.simple("SET tanagerdeal.request_id = ''").await;
    }
    result
}

/// Runs the statements of a transaction block; after a failure the block is rolled back. A refused
/// BEGIN opens no block, so clients send no ROLLBACK after it.
async fn run_block(
    connection: &CallerConnection,
    texts: impl Iterator<Item = String>,
) -> Result<TextRows, CallFailure> {
    for (index, text) in texts.enumerate() {
        if let Err(mut failure) = connection.simple(&text).await {
            if index > 0 {
                // The connection may be lost; the first failure counts.
                let _ = connection.simple("ROLLBACK").await;
            }
            failure.message += &format!(" (statement {} of a transaction)", index + 1);
            return Err(failure);
        }
    }
    Ok(Vec::new())
}

impl ArrivalKind {
    fn request_kind(self) -> RequestKind {
        match self {
            Self::Read | Self::AgedRead => RequestKind::Read,
            Self::List => RequestKind::List,
            Self::Write | Self::IdempotentWrite => RequestKind::Write,
            Self::Transaction => RequestKind::Transaction,
        }
    }
}
