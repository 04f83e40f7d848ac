//! Files that record a run: what callers did, what operators did, what members and hosts showed.
//!
//! Each file has one JSON value per line. All times are microseconds of [`crate::clock::now_us`].

use std::fs::{self, File};
use std::io::{self, BufWriter, Write as _};
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tanagerdeal_wire::member::MemberStatus;
use tanagerdeal_wire::{scalar_type, wire_type};

scalar_type! {
    /// What a request does.
    #[derive(serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "snake_case")]
    pub enum RequestKind {
        /// Reads one item.
        Read,
        /// Reads all items of a customer.
        List,
        /// Adds one to an item in a statement of its own.
        Write,
        /// Adds one to each of two items in a transaction.
        Transaction,
    }

    /// How a request ended for its caller.
    #[derive(serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "snake_case")]
    pub enum OutcomeVerdict {
        /// Answered.
        Done,
        /// Refused with "not run".
        NotRun,
        /// Refused with "may have run".
        MayHaveRun,
        /// Refused with "ran".
        Ran,
        /// The database refused it; nothing was changed.
        Failed,
        /// The connection broke without an answer.
        Lost,
        /// No answer came until well after the deadline.
        TimedOut,
    }

    /// What operators, or a test in their place, did.
    #[derive(serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "snake_case")]
    pub enum OperatorAction {
        /// A key was withdrawn.
        WithdrawKey,
        /// A failure domain was taken out of service.
        DomainOut,
        /// A failure domain was returned.
        DomainIn,
        /// An endpoint was marked as leaving.
        EndpointLeaving,
        /// An endpoint was returned.
        EndpointServing,
        /// A configuration was accepted.
        Configure,
        /// A host was asked to shut down.
        ShutDownHost,
    }
}

wire_type! {
    /// A session was opened, or refused.
    pub struct SessionOpened {
        /// When it was opened.
        pub at_us: u64,
        /// The session; it keeps its number when it roams with its token.
        pub session: u64,
        /// The customer.
        pub customer: String,
        /// Name of the key that was presented, empty for none.
        pub key: String,
        /// Whether the key was valid for the customer at the start of the run.
        pub key_valid: bool,
        /// The route.
        pub route: String,
        /// Whether the route is open to all.
        pub open_route: bool,
        /// The host.
        pub host: String,
        /// Whether a session token was presented.
        pub with_token: bool,
        /// Whether the session was accepted.
        pub accepted: bool,
    }

    /// A request was sent.
    pub struct Invocation {
        /// Number of the logical request, the same for its repetitions.
        pub request: u64,
        /// Number of the attempt, from 1.
        pub attempt: u32,
        /// Task of the load generator that sent it.
        pub process: u64,
        /// The session.
        pub session: u64,
        /// The customer.
        pub customer: String,
        /// Name of the key of the session.
        pub key_name: String,
        /// The host.
        pub host: String,
        /// What it does.
        pub kind: RequestKind,
        /// The items; the answer to a list has them all.
        pub items: Vec<String>,
        /// Request id under which it is idempotent.
        pub request_id: Option<String>,
        /// Greatest age in milliseconds that a read accepts, 0 for current.
        pub max_age_ms: u32,
        /// Deadline in milliseconds.
        pub deadline_ms: u32,
        /// When it should have been sent.
        pub due_us: u64,
        /// When it was sent.
        pub start_us: u64,
    }

    /// A request ended.
    pub struct Outcome {
        /// Number of the logical request.
        pub request: u64,
        /// Number of the attempt.
        pub attempt: u32,
        /// When it ended.
        pub end_us: u64,
        /// How it ended.
        pub verdict: OutcomeVerdict,
        /// SQLSTATE of a refusal.
        pub sqlstate: String,
        /// Message of a refusal.
        pub message: String,
        /// Milliseconds after which the refusal asks to come back.
        pub retry_after_ms: Option<u64>,
        /// Rows of the answer.
        pub rows: Vec<Vec<Option<String>>>,
    }

    /// One line of the load generator's history.
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum HistoryLine {
        /// A session was opened.
        Opened(SessionOpened),
        /// A request was sent.
        Invoked(Invocation),
        /// A request ended.
        Ended(Outcome),
    }

    /// A line of the operators' file: a change that was reported as accepted.
    pub struct OperatorEvent {
        /// When it was reported as accepted; for a shutdown, when it was asked for.
        pub at_us: u64,
        /// What was done.
        pub action: OperatorAction,
        /// Name of the key, domain, endpoint, record or host.
        pub name: String,
        /// Revision of the change, 0 when it has none.
        #[serde(default)]
        pub revision: u64,
    }

    /// A line of the observations' file.
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum Observation {
        /// A host showed its status.
        Host(HostSample),
        /// A member became the primary of a term.
        Promoted(TermSample),
        /// Final status of the primary of a group.
        FinalPrimary(MemberStatus),
        /// The bytes that a member received were searched for the keys' secrets.
        Searched(SearchSample),
        /// Limits of a customer that held for the whole run.
        Limit(LimitSample),
    }

    /// Status of a host at a time.
    pub struct HostSample {
        /// When it was asked for.
        pub at_us: u64,
        /// The host.
        pub host: String,
        /// Number of the host's life, which a restart changes.
        pub life: u64,
        /// Revision in effect.
        pub revision: u64,
        /// Whether it served keyed requests.
        pub serving_keyed: bool,
    }

    /// A term was seen to have a primary.
    pub struct TermSample {
        /// When it was seen.
        pub at_us: u64,
        /// The group.
        pub group: String,
        /// The term.
        pub term: u64,
    }

    /// Result of a search for secrets.
    pub struct SearchSample {
        /// The member.
        pub member: String,
        /// Occurrences of any secret.
        pub found: u64,
        /// Occurrences of a text that was certainly sent.
        pub control_found: u64,
        /// Whether all bytes received were searched.
        pub complete: bool,
    }

    /// Limits of a customer.
    pub struct LimitSample {
        /// The customer.
        pub customer: String,
        /// Requests a second.
        pub rate_per_s: u32,
        /// Requests that may come at once.
        pub burst: u32,
    }
}

/// Text by which the members' records name an attempt of a request.
///
/// ```
/// use tanagerdeal_testbed::history::{find_tag, request_tag};
///
/// let text = format!("SELECT '{}'", request_tag(17, 2));
/// assert_eq!(find_tag(&text), Some((17, 2)));
/// assert_eq!(find_tag("SELECT 1"), None);
/// ```
pub fn request_tag(request: u64, attempt: u32) -> String {
    format!("op#{request}.{attempt}#")
}

/// Request and attempt of the first tag in a text.
///
/// ```
/// use tanagerdeal_testbed::history::find_tag;
///
/// assert_eq!(find_tag("UPDATE t SET writer = 'op#3.1#'"), Some((3, 1)));
/// ```
pub fn find_tag(text: &str) -> Option<(u64, u32)> {
    let (_, rest) = text.split_once("op#")?;
    let (tag, _) = rest.split_once('#')?;
    let (request, attempt) = tag.split_once('.')?;
    Some((request.parse().ok()?, attempt.parse().ok()?))
}

/// A file that is written line by line.
pub struct LineWriter {
    file: BufWriter<File>,
}

impl LineWriter {
    /// Creates or empties a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be created.
    ///
    /// ```
    /// use tanagerdeal_testbed::history::{LineWriter, read_lines};
    ///
    /// let directory = tempfile::tempdir().unwrap();
    /// let path = directory.path().join("numbers.jsonl");
    /// let mut writer = LineWriter::create(&path).unwrap();
    /// writer.append(&1).unwrap();
    /// writer.append(&2).unwrap();
    /// writer.finish().unwrap();
    /// assert_eq!(read_lines::<u32>(&path).unwrap(), [1, 2]);
    /// ```
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: BufWriter::new(File::create(path)?) })
    }

    /// Appends a value as one line.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    ///
    /// ```
    /// use tanagerdeal_testbed::history::LineWriter;
    ///
    /// let file = tempfile::NamedTempFile::new().unwrap();
    /// let mut writer = LineWriter::create(file.path()).unwrap();
    /// writer.append(&"line").unwrap();
    /// ```
    pub fn append(&mut self, value: &impl Serialize) -> io::Result<()> {
        serde_json::to_writer(&mut self.file, value)?;
        self.file.write_all(b"\n")
    }

    /// Writes what is still buffered.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    ///
    /// ```
    /// use tanagerdeal_testbed::history::LineWriter;
    ///
    /// let file = tempfile::NamedTempFile::new().unwrap();
    /// LineWriter::create(file.path()).unwrap().finish().unwrap();
    /// ```
    pub fn finish(mut self) -> io::Result<()> {
        self.file.flush()
    }
}

/// Reads all lines of a file. A last line without its end is skipped, because its writer was still
/// writing it or was killed in the middle.
///
/// # Errors
///
/// Fails when the file cannot be read or a line is not of the expected form.
///
/// ```
/// use tanagerdeal_testbed::history::read_lines;
///
/// let file = tempfile::NamedTempFile::new().unwrap();
/// std::fs::write(file.path(), "1\n2\n3").unwrap();
/// assert_eq!(read_lines::<u32>(file.path()).unwrap(), [1, 2]);
/// ```
pub fn read_lines<T: DeserializeOwned>(path: &Path) -> io::Result<Vec<T>> {
    let mut values = Vec::new();
    for (index, line) in fs::read(path)?.split_inclusive(|byte| *byte == b'\n').enumerate() {
        let invalid = |error: serde_json::Error| {
            let text = format!("{} line {}: {error}", path.display(), index + 1);
            io::Error::new(io::ErrorKind::InvalidData, text)
        };
        if line.ends_with(b"\n") {
            values.push(serde_json::from_slice(line).map_err(invalid)?);
        }
    }
    Ok(values)
}
