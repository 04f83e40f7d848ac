//! Stand-in of a service of database members, each with a log of its own.
//!
//! Follows the pages on members: commits get the next number, replicas receive them over the
//! network, a commit of a service with `syncReplicas` is acknowledged once a replica has received
//! it, and a promotion makes a member lead the next term with what it had received.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::routing::post;
use axum::{Json, Router};
use serde_json::{Value, json};
use tanagerdeal_standin::StandinStore;
use tokio::io::{AsyncBufReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::record::Record;

/// Interval between heartbeats, and silence after which the platform drops an entry.
const HEARTBEAT: Duration = Duration::from_millis(400);
const MISSING_AFTER: Duration = Duration::from_millis(1_200);
/// Time for which a former primary goes on once it can reach its successor.
const FORMER_TIME: Duration = Duration::from_millis(1_000);
/// Interval at which a commit looks whether a replica has received it.
const SYNC_CHECK: Duration = Duration::from_millis(5);

/// One commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Commit {
    pub term: u64,
    pub number: u64,
    /// Id of the statement that committed.
    pub id: String,
    pub writes: Vec<(String, String)>,
}

pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub domain: String,
    pub slots: u32,
    pub is_draining: bool,
    /// Whether it receives commits.
    pub receives: bool,
    /// Time of the work of a read.
    pub read_time: Duration,
    pub leads: bool,
    /// Term that it leads or follows.
    pub term: u64,
    pub log: Vec<Commit>,
    alive: watch::Sender<bool>,
}

pub struct Service {
    pub name: String,
    pub sync_replicas: usize,
    pub promote_time: Duration,
    pub members: Vec<Member>,
    /// Ids of acknowledged commits that wrote.
    pub acknowledged: Vec<String>,
    /// Acknowledged commits that a promoted member lacked: member, position, ids.
    pub lost: Vec<(String, String, Vec<String>)>,
    /// Statements that ran: member, id, text.
    pub runs: Vec<(String, String, String)>,
    /// Reads: id, member, ids of the commits in its log.
    pub reads: Vec<(String, String, Vec<String>)>,
    pub promotions: Vec<String>,
    pub record: Record,
}

/// A service whose members listen on loopback.
#[derive(Clone)]
pub struct Database {
    state: Arc<Mutex<Service>>,
    store: StandinStore,
    /// Address of the platform's duty calls.
    pub control: SocketAddr,
}

impl Member {
    pub fn is_alive(&self) -> bool {
        *self.alive.borrow()
    }

    pub fn position(&self) -> String {
        self.log.last().map_or("0.0".to_owned(), |last| format!("{}.{}", last.term, last.number))
    }

    fn holds(&self, term: u64, number: u64) -> bool {
        self.log.last().is_some_and(|last| (last.term, last.number) >= (term, number))
    }
}

impl Service {
    /// Lets replicas receive what the primary has.
    fn replicate(&mut self) {
        let leader = self.members.iter().filter(|member| member.leads && member.is_alive());
        let Some(leader) = leader.max_by_key(|member| member.term) else { return };
        let (term, log) = (leader.term, leader.log.clone());
        for member in &mut self.members {
            let follows = member.is_alive() && member.receives && !member.leads;
            if follows && member.term <= term {
                (member.term, member.log) = (term, log.clone());
            }
        }
    }

    /// Number of replicas that have received a commit.
    fn received(&self, number: u64) -> usize {
        let has = |member: &&Member| {
            !member.leads && member.is_alive() && member.log.iter().any(|it| it.number == number)
        };
        self.members.iter().filter(has).count()
    }

    fn promote(&mut self, id: &str) {
        let Some(index) = self.members.iter().position(|it| it.id == id && it.is_alive()) else {
            return;
        };
        let term = self.members.iter().map(|member| member.term).max().unwrap_or(0) + 1;
        let member = &mut self.members[index];
        (member.leads, member.term) = (true, term);
        let known: Vec<&String> = member.log.iter().map(|commit| &commit.id).collect();
        let lost = self.acknowledged.iter().filter(|id| !known.contains(id)).cloned();
        let lost: Vec<String> = lost.collect();
        let position = member.position();
        self.record.note(&format!(
            "promoted {id} to term {term} with its log up to {position}; acknowledged commits \
             that it lacks: {}",
            lost.len()
        ));
        for member in &self.members {
            self.record.note(&format!(
                "  {} alive={} draining={} log up to {}",
                member.id,
                member.is_alive(),
                member.is_draining,
                member.position()
            ));
        }
        self.lost.push((id.to_owned(), position, lost));
        self.promotions.push(id.to_owned());
        // Replicas that were ahead are rolled back.
        self.replicate();
    }
}

impl Database {
    /// Starts the members, one in each of the zones; the first one leads.
    pub async fn start(
        store: &StandinStore,
        name: &str,
        zones: &[&str],
        sync_replicas: usize,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = Arc::new(Mutex::new(Service {
            name: name.to_owned(),
            sync_replicas,
            promote_time: Duration::from_millis(300),
            members: Vec::new(),
            acknowledged: Vec::new(),
            lost: Vec::new(),
            runs: Vec::new(),
            reads: Vec::new(),
            promotions: Vec::new(),
            record: record.clone(),
        }));
        let database = Self { state, store: store.clone(), control: listener.local_addr()? };
        let first = Commit { term: 1, number: 1, id: "initial".to_owned(), writes: Vec::new() };
        for (index, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let (alive, _) = watch::channel(true);
            let address = listener.local_addr()?;
            database.lock().members.push(Member {
                id: format!("{name}-m{index}"),
                address,
                domain: (*zone).to_owned(),
                slots: 3,
                is_draining: false,
                receives: true,
                read_time: Duration::ZERO,
                leads: index == 0,
                term: 1,
                log: vec![first.clone()],
                alive,
            });
            tokio::spawn(accept(database.clone(), index, listener));
            tokio::spawn(heartbeat(database.clone(), index));
        }
        let router =
            Router::new().route("/promotion", post(promotion)).with_state(database.clone());
        tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        Ok(database)
    }

    pub fn lock(&self) -> MutexGuard<'_, Service> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A member crashes: its connections end, and it says nothing more.
    pub fn crash(&self, index: usize) {
        let service = self.lock();
        service.record.note(&format!("{} crashes", service.members[index].id));
        service.members[index].alive.send_replace(false);
    }

    /// A member that crashed comes back with its log, as a replica if another one was promoted.
    pub async fn come_back(&self, index: usize) -> std::io::Result<()> {
        let address = self.lock().members[index].address;
        let listener = TcpListener::bind(address).await?;
        {
            let mut service = self.lock();
            let newest = service.members.iter().map(|member| member.term).max().unwrap_or(0);
            let member = &mut service.members[index];
            member.leads &= member.term == newest;
            member.alive.send_replace(true);
            let text = format!("{} is back with its log up to {}", member.id, member.position());
            service.record.note(&text);
            service.replicate();
        }
        tokio::spawn(accept(self.clone(), index, listener));
        tokio::spawn(heartbeat(self.clone(), index));
        Ok(())
    }

    /// A replica receives nothing, or receives again.
    pub fn set_receiving(&self, index: usize, receives: bool) {
        let mut service = self.lock();
        service.members[index].receives = receives;
        let member = &service.members[index];
        let word = if receives { "receives again" } else { "receives nothing" };
        service.record.note(&format!("{} {word}, log up to {}", member.id, member.position()));
        service.replicate();
    }

    /// A member reports that it is draining.
    pub fn drain(&self, index: usize) {
        let mut service = self.lock();
        service.members[index].is_draining = true;
        service.record.note(&format!("{} reports draining", service.members[index].id));
        drop(service);
        self.register(index, u64::MAX / 2);
    }

    fn register(&self, index: usize, sequence: u64) {
        let service = self.lock();
        let member = &service.members[index];
        let row = json!({ "service": service.name, "address": member.address.to_string(),
            "zone": member.domain, "version": "v1", "slots": member.slots,
            "state": if member.is_draining { "draining" } else { "ready" },
            "coldRemainingMs": 0, "sequence": sequence, "born": 1,
            "databaseRole": if member.leads { "primary" } else { "replica" } });
        self.store.put("servers", &member.id, &row);
    }
}

async fn heartbeat(database: Database, index: usize) {
    let mut sequence = 0;
    loop {
        if !database.lock().members[index].is_alive() {
            sleep(MISSING_AFTER).await;
            let service = database.lock();
            if !service.members[index].is_alive() {
                database.store.remove("servers", &service.members[index].id);
            }
            return;
        }
        sequence += 1;
        database.register(index, sequence);
        sleep(HEARTBEAT).await;
    }
}

async fn promotion(
    State(database): State<Database>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> StatusCode {
    let text = |name: &str| body.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
    let header = |name: &str| {
        headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
    };
    let id = text("id");
    let (is_alive, is_leader, promote_time) = {
        let service = database.lock();
        service.record.note(&format!(
            "platform: POST /promotion {} {id} by {} with token {}",
            text("service"),
            header("duty-holder"),
            header("fencing-token")
        ));
        let member = service.members.iter().find(|member| member.id == id);
        let newest = service.members.iter().map(|member| member.term).max().unwrap_or(0);
        let is_leader = member.is_some_and(|member| member.leads && member.term == newest);
        (member.is_some_and(Member::is_alive), is_leader, service.promote_time)
    };
    match (is_alive, is_leader) {
        (false, _) => return StatusCode::CONFLICT,
        (true, true) => return StatusCode::OK,
        _ => (),
    }
    tokio::spawn(async move {
        sleep(promote_time).await;
        database.lock().promote(&id);
        sleep(FORMER_TIME).await;
        let mut service = database.lock();
        let newest = service.members.iter().map(|member| member.term).max().unwrap_or(0);
        for member in &mut service.members {
            member.leads &= member.term == newest || !member.is_alive();
        }
        service.replicate();
    });
    StatusCode::OK
}

async fn accept(database: Database, index: usize, listener: TcpListener) {
    let mut alive = database.lock().members[index].alive.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
                tokio::spawn(serve(database.clone(), index, stream));
            }
            _ = alive.wait_for(|is_alive| !is_alive) => return,
        }
    }
}

#[derive(Default)]
struct Session {
    prepared: BTreeMap<String, bool>,
    values: BTreeMap<String, String>,
    /// Writes of the open transaction.
    open: Option<Vec<(String, String)>>,
    is_read_only: bool,
    has_failed: bool,
}

async fn serve(database: Database, index: usize, stream: TcpStream) {
    let mut alive = database.lock().members[index].alive.subscribe();
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    let mut session: Option<Session> = None;
    let talk = async {
        while let Ok(Some(line)) = lines.next_line().await {
            let fields: Vec<&str> = line.splitn(3, ' ').collect();
            let reply = match (fields.as_slice(), session.as_mut()) {
                (["STARTUP", service, rest], None) => {
                    let state = database.lock();
                    let id = rest.split_once(' ').map_or("", |(_, id)| id);
                    if *service != state.name || (!id.is_empty() && id != state.members[index].id) {
                        "ERROR MISROUTED another member\r\n".to_owned()
                    } else {
                        session = Some(Session::default());
                        format!("READY I {}\r\n", state.members[index].position())
                    }
                }
                (["QUERY", id, text], Some(session)) => {
                    let result = session.run(&database, index, id, text).await;
                    let body = match result {
                        Ok(rows) => format!("{rows}COMPLETE m{index}.{id}\r\n"),
                        Err(code) => {
                            session.has_failed = session.open.is_some();
                            format!("ERROR {code} member {index}\r\n")
                        }
                    };
                    let word = match (&session.open, session.has_failed) {
                        (_, true) => 'E',
                        (Some(_), _) => 'T',
                        (None, _) => 'I',
                    };
                    format!("{body}READY {word} {}\r\n", database.lock().members[index].position())
                }
                _ => return,
            };
            let is_over = reply.starts_with("ERROR MISROUTED");
            if writer.write_all(reply.as_bytes()).await.is_err() || is_over {
                return;
            }
        }
    };
    tokio::select! {
        () = talk => (),
        _ = alive.wait_for(|is_alive| !is_alive) => (),
    }
}

impl Session {
    async fn run(
        &mut self,
        database: &Database,
        index: usize,
        id: &str,
        text: &str,
    ) -> Result<String, &'static str> {
        let text = match text.strip_prefix("AFTER ") {
            None => text,
            Some(rest) => {
                let (position, text) = rest.split_once(' ').ok_or("MALFORMED")?;
                let (term, _) = position.split_once('.').ok_or("MALFORMED")?;
                let number = |text: &str| text.parse::<u64>().map_err(|_| "MALFORMED");
                if !database.lock().members[index]
                    .holds(number(term)?, number(position_number(position))?)
                {
                    return Err("LAGGING");
                }
                text
            }
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let leads = || database.lock().members[index].leads;
        match word {
            "STATUS" => {
                let service = database.lock();
                let member = &service.members[index];
                let role = if member.leads { "primary" } else { "replica" };
                return Ok(format!(
                    "DATAROW {role} {} {} 0 0 0 1\r\n",
                    member.term,
                    member.position()
                ));
            }
            "DEMOTE" => {
                let mut service = database.lock();
                let term = rest.parse::<u64>().unwrap_or(0);
                let member = &mut service.members[index];
                member.leads &= member.term >= term;
                service.replicate();
            }
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                self.values.insert(name.to_owned(), value.to_owned());
            }
            "RESET" => (self.values, self.prepared) = Default::default(),
            "PREPARE" => {
                let mut fields = rest.split(' ');
                let name = fields.next().unwrap_or_default().to_owned();
                self.prepared.insert(name, fields.next() == Some("WRITE"));
            }
            "BEGIN" => {
                if rest != "READ" && !leads() {
                    return Err("READONLY");
                }
                (self.open, self.is_read_only) = (Some(Vec::new()), rest == "READ");
            }
            "ROLLBACK" => {
                (self.open, self.has_failed) = (None, false);
                self.is_read_only = false;
            }
            "COMMIT" => {
                let writes = self.open.take().unwrap_or_default();
                (self.has_failed, self.is_read_only) = (false, false);
                if !writes.is_empty() {
                    commit(database, index, id, writes).await?;
                }
                note_run(database, index, id, text);
            }
            "READ" => return read(database, index, id, text, rest, self).await,
            "WRITE" => return self.write(database, index, id, text, rest).await,
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                return match self.prepared.get(name) {
                    Some(true) => self.write(database, index, id, text, arguments).await,
                    Some(false) => read(database, index, id, text, arguments, self).await,
                    None => Err("NOSTMT"),
                };
            }
            _ => return Err("MALFORMED"),
        }
        Ok(String::new())
    }

    async fn write(
        &mut self,
        database: &Database,
        index: usize,
        id: &str,
        text: &str,
        rest: &str,
    ) -> Result<String, &'static str> {
        if self.is_read_only || !database.lock().members[index].leads {
            return Err("READONLY");
        }
        let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
        let entry = (item.to_owned(), data.to_owned());
        match self.open.as_mut() {
            Some(open) => open.push(entry),
            None => commit(database, index, id, vec![entry]).await?,
        }
        note_run(database, index, id, text);
        Ok(String::new())
    }
}

fn position_number(position: &str) -> &str {
    position.split_once('.').map_or(position, |(_, number)| number)
}

fn note_run(database: &Database, index: usize, id: &str, text: &str) {
    let mut service = database.lock();
    let member = service.members[index].id.clone();
    service.runs.push((member, id.to_owned(), text.to_owned()));
}

async fn read(
    database: &Database,
    index: usize,
    id: &str,
    text: &str,
    item: &str,
    session: &Session,
) -> Result<String, &'static str> {
    note_run(database, index, id, text);
    let time = database.lock().members[index].read_time;
    if !time.is_zero() {
        sleep(time).await;
    }
    let own = session.open.iter().flatten().rev().find(|(name, _)| name == item).cloned();
    let mut service = database.lock();
    let member = &service.members[index];
    let log = member.log.iter().map(|commit| commit.id.clone()).collect();
    let entry = (id.to_owned(), member.id.clone(), log);
    service.reads.push(entry);
    let log = service.members[index].log.iter().rev().flat_map(|commit| commit.writes.iter().rev());
    let known = log.into_iter().find(|(name, _)| name == item).cloned();
    let data = own.or(known).map_or("none".to_owned(), |(_, data)| data);
    Ok(format!("DATAROW {data}\r\n"))
}

/// Commits at a primary, and waits until as many replicas as the service wants have received it.
async fn commit(
    database: &Database,
    index: usize,
    id: &str,
    writes: Vec<(String, String)>,
) -> Result<(), &'static str> {
    let number = {
        let mut service = database.lock();
        let member = &mut service.members[index];
        if !member.leads {
            return Err("READONLY");
        }
        let number = member.log.last().map_or(0, |last| last.number) + 1;
        let term = member.term;
        member.log.push(Commit { term, number, id: id.to_owned(), writes });
        service.replicate();
        number
    };
    loop {
        {
            let mut service = database.lock();
            if service.received(number) >= service.sync_replicas {
                if service.members[index].is_alive() {
                    service.acknowledged.push(id.to_owned());
                }
                return Ok(());
            }
        }
        sleep(SYNC_CHECK).await;
    }
}
