//! Stand-in for a database member: PostgreSQL protocol, replicated log and member API.

mod api;
mod datum;
mod describe;
mod error;
mod execute;
mod expr;
mod log;
mod plan;
mod recorder;
mod replicate;
mod select;
mod session;
mod state;
mod table;
mod transaction;

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tanagerdeal_wire::value_type;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};

pub use datum::{ColumnType, Datum};
pub use error::SqlError;
pub use log::{LogEntry, LogPage};
pub use recorder::{SearchReply, SearchRequest};
pub use state::{Execution, MemberFaults, MemberIdentity, MemberState};
pub use table::{Change, Column, REQUEST_TABLE, Row, RowKey, TableShape};

use recorder::ByteRecorder;
use state::MemberData;

/// Secrets and notifications by which cancel requests reach running statements.
type CancelTable = HashMap<i32, (i32, Arc<Notify>)>;

value_type! {
    /// Settings of a member.
    pub struct MemberOptions {
        /// Name and place.
        pub identity: MemberIdentity,
        /// Password that clients of the SQL port must give.
        pub password: String,
        /// Statements that run at once.
        pub slots: usize,
        /// Connections that may be open at once.
        pub connections: u32,
        /// Time that opening a connection takes.
        pub connect_time: Duration,
        /// Time that a statement takes.
        pub service_time: Duration,
        /// Term whose first primary this member is from the start.
        pub primary_of_term: Option<u64>,
        /// File that gets each execution as a line of JSON, which survives a kill of the process.
        pub execution_file: Option<PathBuf>,
    }

    /// Addresses on which a member listens.
    #[derive(Copy)]
    pub struct MemberAddresses {
        /// PostgreSQL protocol.
        pub sql: SocketAddr,
        /// Member API and control API.
        pub api: SocketAddr,
    }
}

/// What the tasks of a member share.
struct Member {
    options: MemberOptions,
    data: Mutex<MemberData>,
    slots: Semaphore,
    lock_released: Notify,
    log_extended: Notify,
    connections_dropped: Notify,
    recorder: ByteRecorder,
    execution_file: Option<Mutex<File>>,
    cancels: Mutex<CancelTable>,
}

impl Member {
    fn new(options: MemberOptions) -> io::Result<Self> {
        let execution_file = options.execution_file.as_ref().map(File::create).transpose()?;
        let mut data = MemberData::new(options.identity.clone());
        if let Some(term) = options.primary_of_term {
            data.begin_term(term);
        }
        Ok(Self {
            slots: Semaphore::new(options.slots),
            options,
            data: Mutex::new(data),
            lock_released: Notify::new(),
            log_extended: Notify::new(),
            connections_dropped: Notify::new(),
            recorder: ByteRecorder::default(),
            execution_file: execution_file.map(Mutex::new),
            cancels: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, MemberData> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cancels(&self) -> MutexGuard<'_, CancelTable> {
        self.cancels.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps executions in memory and in the file.
    fn record(&self, data: &mut MemberData, mut executions: Vec<Execution>) {
        if let Some(file) = &self.execution_file {
            let mut text = Vec::new();
            for execution in &executions {
                if serde_json::to_writer(&mut text, execution).is_ok() {
                    text.push(b'\n');
                }
            }
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            if let Err(error) = file.write_all(&text) {
                ::log::error!("member: executions not written: {error}");
            }
        }
        data.executions.append(&mut executions);
    }

    /// Wakes statements that wait for a row and requests that wait for a log entry.
    fn announce_commit(&self) {
        self.lock_released.notify_waiters();
        self.log_extended.notify_waiters();
    }

    /// Counts a new connection unless too many are open.
    fn take_connection(&self) -> bool {
        let mut data = self.lock();
        if data.connections >= self.options.connections {
            data.refused_connections += 1;
            return false;
        }
        data.connections += 1;
        data.peak_connections = data.peak_connections.max(data.connections);
        true
    }
}

/// Binds a member's ports and serves them in tasks of the current runtime.
///
/// # Errors
///
/// Fails when an address cannot be bound or the execution file not be created.
///
/// ```
/// use std::time::Duration;
///
/// use tanagerdeal_testbed::member::{MemberIdentity, MemberOptions, start};
/// use tanagerdeal_wire::{DomainName, EndpointName, GroupName};
///
/// # #[tokio::main(flavor = "current_thread")] async fn main() {
/// let identity = MemberIdentity {
///     group: GroupName::new("orders-1").unwrap(),
///     name: EndpointName::new("orders-1-a").unwrap(),
///     domain: DomainName::new("akl-a").unwrap(),
/// };
/// let options = MemberOptions {
///     identity,
///     password: "secret".to_owned(),
///     slots: 3,
///     connections: 20,
///     connect_time: Duration::from_millis(10),
///     service_time: Duration::from_millis(2),
///     primary_of_term: Some(1),
///     execution_file: None,
/// };
/// let addresses = start(options, "127.0.0.1:0", "127.0.0.1:0").await.unwrap();
/// assert_ne!(addresses.sql.port(), addresses.api.port());
/// # }
/// ```
pub async fn start(options: MemberOptions, sql: &str, api: &str) -> io::Result<MemberAddresses> {
    let sql = TcpListener::bind(sql).await?;
    let api = TcpListener::bind(api).await?;
    let addresses = MemberAddresses { sql: sql.local_addr()?, api: api.local_addr()? };
    let member = Arc::new(Member::new(options)?);
    let router = api::router(member.clone());
    tokio::spawn(async move {
        if let Err(error) = axum::serve(api, router).await {
            ::log::error!("member: the API listener failed: {error}");
        }
    });
    tokio::spawn(replicate::fetch_log(member.clone(), addresses.api.ip()));
    tokio::spawn(replicate::apply_log(member.clone()));
    tokio::spawn(accept_connections(member, sql));
    Ok(addresses)
}

async fn accept_connections(member: Arc<Member>, listener: TcpListener) {
    let mut last_id = 0;
    loop {
        match listener.accept().await {
            Ok(_) if member.lock().faults.refuse_sql => {}
            Ok((stream, _)) => {
                last_id += 1;
                if let Err(error) = stream.set_nodelay(true) {
                    ::log::warn!("member: connection {last_id} without TCP_NODELAY: {error}");
                }
                tokio::spawn(session::serve_connection(member.clone(), stream, last_id));
            }
            Err(error) => {
                // Too many open files, for example; accepting again at once would spin.
                ::log::warn!("member: accept failed: {error}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}
