//! Stand-in of a service: a primary and its replicas, which apply commits after a lag.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time from the call for a promotion until it takes effect (`promote_ms`).
const PROMOTE_TIME: Duration = Duration::from_millis(300);

/// A statement that a member ran.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub member: usize,
    pub tenant: String,
    pub id: String,
    pub text: String,
}

pub struct Commit {
    pub at: Instant,
    pub term: u64,
    pub writes: Vec<(String, String)>,
    pub id: String,
    pub member: usize,
}

pub struct State {
    pub term: u64,
    pub primary: usize,
    pub log: Vec<Commit>,
    pub runs: Vec<Run>,
    /// Time that a read or write takes.
    pub work: Duration,
    /// Time from a commit to its application at the replicas.
    pub lag: Duration,
    /// Members that have crashed.
    pub dead: Vec<usize>,
    /// A member that has gone dark: it takes connections and bytes, and answers nothing.
    pub dark: Option<usize>,
    /// A member that is cut off from the others, and the length of its log then.
    pub isolated: Option<(usize, usize)>,
    /// A primary that has been replaced and does not know it.
    pub former: Option<usize>,
    /// What it commits meanwhile. It is rolled back once it learns of the new term.
    pub late: Vec<Commit>,
    streams: Vec<(usize, TcpStream)>,
    signatures: u64,
}

pub struct Group {
    pub name: String,
    pub zones: Vec<String>,
    pub addresses: Vec<SocketAddr>,
    pub state: Mutex<State>,
}

impl Group {
    pub fn start(store: &Arc<Store>, name: &str, zones: &[&str], work: Duration) -> Arc<Self> {
        let listeners: Vec<TcpListener> =
            zones.iter().map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        let group = Arc::new(Self {
            name: name.to_owned(),
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            addresses: listeners.iter().map(|it| it.local_addr().unwrap()).collect(),
            state: Mutex::new(State {
                term: 1,
                primary: 0,
                log: Vec::new(),
                runs: Vec::new(),
                work,
                lag: Duration::from_millis(8),
                dead: Vec::new(),
                dark: None,
                isolated: None,
                former: None,
                late: Vec::new(),
                streams: Vec::new(),
                signatures: 0,
            }),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let member = group.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    {
                        let mut state = member.state.lock().unwrap();
                        if state.dead.contains(&index) {
                            continue;
                        }
                        state.streams.push((index, stream.try_clone().unwrap()));
                    }
                    let member = member.clone();
                    std::thread::spawn(move || serve(&member, index, stream));
                }
            });
            let (member, store) = (group.clone(), store.clone());
            std::thread::spawn(move || {
                for sequence in 1u64.. {
                    while member.is_silent(index) {
                        std::thread::sleep(Duration::from_millis(20));
                    }
                    store.put("servers", &member.id(index), &member.entry(index, sequence));
                    std::thread::sleep(HEARTBEAT);
                }
            });
        }
        group
    }

    pub fn id(&self, index: usize) -> String {
        format!("i-{}-{index}", self.name)
    }

    fn entry(&self, index: usize, sequence: u64) -> String {
        let role = match self.state.lock().unwrap().leads(index) {
            true => "primary",
            false => "replica",
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\
             \"born\":1700000000000,\"databaseRole\":\"{role}\"}}",
            self.name, self.addresses[index], self.zones[index]
        )
    }

    fn is_silent(&self, index: usize) -> bool {
        let state = self.state.lock().unwrap();
        state.dead.contains(&index) || state.dark == Some(index)
    }

    /// A member goes dark, or is back.
    pub fn darken(&self, member: Option<usize>) {
        self.state.lock().unwrap().dark = member;
    }

    /// A member crashes: its connections end, and it neither answers nor registers.
    pub fn crash(&self, index: usize) {
        let mut state = self.state.lock().unwrap();
        state.dead.push(index);
        for (_, stream) in state.streams.iter().filter(|(member, _)| *member == index) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        state.streams.retain(|(member, _)| *member != index);
    }

    /// A member is cut off from the others, which go on without it.
    pub fn isolate(&self, index: usize) {
        let mut state = self.state.lock().unwrap();
        state.isolated = Some((index, state.log.len()));
    }

    /// The cut has healed. A primary that was replaced goes on for a second.
    pub fn rejoin(self: &Arc<Self>) {
        let group = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(1));
            let mut state = group.state.lock().unwrap();
            (state.isolated, state.former) = (None, None);
        });
    }

    /// A member comes back with its log.
    pub fn revive(&self, index: usize) {
        self.state.lock().unwrap().dead.retain(|member| *member != index);
    }

    /// Carries out a call for a promotion.
    pub fn promote(self: &Arc<Self>, id: &str) -> u16 {
        let Some(index) = (0..self.zones.len()).find(|index| self.id(*index) == id) else {
            return 409;
        };
        if self.is_silent(index) {
            return 409;
        }
        let group = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(PROMOTE_TIME);
            let mut state = group.state.lock().unwrap();
            if state.primary != index {
                let former = state.primary;
                state.former = state.isolated.filter(|(it, _)| *it == former).map(|it| it.0);
                state.term += 1;
                state.primary = index;
            }
        });
        200
    }
}

impl State {
    /// Whether a member sees itself as the primary.
    fn leads(&self, member: usize) -> bool {
        self.primary == member || self.former == Some(member)
    }

    /// Number of commits that a member has applied.
    fn applied(&self, member: usize) -> usize {
        if let Some((_, count)) = self.isolated.filter(|(it, _)| *it == member) {
            return count;
        }
        if member == self.primary {
            return self.log.len();
        }
        let now = Instant::now();
        self.log.iter().rposition(|commit| commit.at + self.lag <= now).map_or(0, |last| last + 1)
    }

    fn position(&self, count: usize) -> String {
        let term = match count {
            0 => 0,
            count => self.log[count - 1].term,
        };
        format!("{term}.{count}")
    }

    fn signature(&mut self, member: usize) -> String {
        self.signatures += 1;
        format!("{member}.{:x}", self.signatures)
    }
}

struct Session {
    tenant: String,
    open: Option<Vec<(String, String)>>,
    prepared: BTreeMap<String, bool>,
}

fn serve(group: &Group, member: usize, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut session: Option<Session> = None;
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { return };
        while group.is_silent(member) {
            std::thread::sleep(Duration::from_millis(5));
        }
        let fields: Vec<&str> = line.trim_end().splitn(3, ' ').collect();
        let reply = match (fields.as_slice(), session.as_mut()) {
            (["STARTUP", service, rest], None) => {
                let (tenant, id) = rest.split_once(' ').unwrap_or((rest, ""));
                if *service != group.name || !id.is_empty() && id != group.id(member) {
                    let _ = writer.write_all(b"ERROR MISROUTED another member\r\n");
                    return;
                }
                let tenant = tenant.to_owned();
                session = Some(Session { tenant, open: None, prepared: BTreeMap::new() });
                let state = group.state.lock().unwrap();
                format!("READY I {}\r\n", state.position(state.applied(member)))
            }
            (["QUERY", id, text], Some(session)) => query(group, member, session, id, text),
            _ => return,
        };
        if writer.write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}

fn query(group: &Group, member: usize, session: &mut Session, id: &str, text: &str) -> String {
    let answer = run(group, member, session, id, text);
    let state = group.state.lock().unwrap();
    let word = if session.open.is_some() { 'T' } else { 'I' };
    let ready = format!("READY {word} {}\r\n", state.position(state.applied(member)));
    match answer {
        Ok(answer) => answer + &ready,
        Err(code) => format!("ERROR {code} {}\r\n{ready}", group.id(member)),
    }
}

fn run(
    group: &Group,
    member: usize,
    session: &mut Session,
    id: &str,
    text: &str,
) -> Result<String, &'static str> {
    let own = "COMPLETE -\r\n".to_owned();
    let mut text = text;
    if let Some(rest) = text.strip_prefix("AFTER ") {
        let (position, rest) = rest.split_once(' ').ok_or("MALFORMED")?;
        let count: usize =
            position.split_once('.').and_then(|(_, number)| number.parse().ok()).unwrap_or(0);
        let state = group.state.lock().unwrap();
        if state.applied(member) < count {
            return Err("LAGGING");
        }
        text = rest;
    }
    let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
    let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
    match word {
        "SET" | "DEALLOCATE" | "PAUSE" | "RESUME" => Ok(own),
        "DEMOTE" => {
            let mut state = group.state.lock().unwrap();
            state.former = state.former.filter(|former| *former != member);
            Ok(own)
        }
        "RESET" => {
            session.prepared.clear();
            Ok(own)
        }
        "PREPARE" => {
            session.prepared.insert(name.to_owned(), arguments.starts_with("WRITE"));
            Ok(own)
        }
        "STATUS" => {
            let state = group.state.lock().unwrap();
            let role = if state.leads(member) { "primary" } else { "replica" };
            let position = state.position(state.applied(member));
            let term = match state.isolated {
                Some((isolated, _)) if isolated == member => state.term - 1,
                _ => state.term,
            };
            Ok(format!("DATAROW {role} {term} {position} {term} 0 0 1\r\n{own}"))
        }
        "BEGIN" => {
            if rest != "READ" && !group.state.lock().unwrap().leads(member) {
                return Err("READONLY");
            }
            session.open = Some(Vec::new());
            Ok(own)
        }
        "ROLLBACK" => {
            session.open = None;
            Ok(own)
        }
        "READ" => read(group, member, session, id, text, rest),
        "WRITE" => write(group, member, session, id, text, rest),
        "EXECUTE" => match session.prepared.get(name) {
            Some(true) => write(group, member, session, id, text, arguments),
            Some(false) => read(group, member, session, id, text, arguments),
            None => Err("NOSTMT"),
        },
        "COMMIT" => {
            let writes = session.open.take().unwrap_or_default();
            let mut state = group.state.lock().unwrap();
            if !writes.is_empty() {
                if !state.leads(member) {
                    return Err("READONLY");
                }
                commit(&mut state, member, id, writes);
            }
            Ok(format!("COMPLETE {}\r\n", state.signature(member)))
        }
        _ => Err("MALFORMED"),
    }
}

fn note(group: &Group, member: usize, session: &Session, id: &str, text: &str) {
    let mut state = group.state.lock().unwrap();
    state.runs.push(Run {
        at: Instant::now(),
        member,
        tenant: session.tenant.clone(),
        id: id.to_owned(),
        text: text.to_owned(),
    });
    let work = state.work;
    drop(state);
    std::thread::sleep(work);
}

fn commit(state: &mut State, member: usize, id: &str, writes: Vec<(String, String)>) {
    let (at, term, id) = (Instant::now(), state.term, id.to_owned());
    match state.former == Some(member) {
        true => state.late.push(Commit { at, term: term - 1, writes, id, member }),
        false => state.log.push(Commit { at, term, writes, id, member }),
    }
}

fn read(
    group: &Group,
    member: usize,
    session: &Session,
    id: &str,
    text: &str,
    item: &str,
) -> Result<String, &'static str> {
    note(group, member, session, id, text);
    let mut state = group.state.lock().unwrap();
    let applied = state.applied(member);
    let known = state.log[..applied].iter().rev().flat_map(|commit| commit.writes.iter().rev());
    let own = session.open.iter().flatten().rev();
    let data = own.chain(known).find(|(name, _)| name == item).map_or("none", |(_, data)| data);
    let row = format!("DATAROW {data}\r\n");
    Ok(format!("{row}COMPLETE {}\r\n", state.signature(member)))
}

fn write(
    group: &Group,
    member: usize,
    session: &mut Session,
    id: &str,
    text: &str,
    rest: &str,
) -> Result<String, &'static str> {
    if !group.state.lock().unwrap().leads(member) {
        return Err("READONLY");
    }
    note(group, member, session, id, text);
    let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
    let entry = (item.to_owned(), data.to_owned());
    let mut state = group.state.lock().unwrap();
    match session.open.as_mut() {
        Some(open) => open.push(entry),
        None => commit(&mut state, member, id, vec![entry]),
    }
    Ok(format!("COMPLETE {}\r\n", state.signature(member)))
}
