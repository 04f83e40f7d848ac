//! Operators' records and their schema versions.

use serde_json::Value;

use crate::{CustomerName, DomainName, EndpointName, GroupName, ServiceName};

/// Prefix of all record keys in the table service.
pub const RECORD_PREFIX: &str = "records/";

scalar_type! {
    /// Kind of a record.
    #[derive(serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "lowercase")]
    pub enum RecordKind {
        /// A customer with its rate, burst and weight.
        Customer,
        /// A caller's key.
        Key,
        /// A route from a database name to a service.
        Route,
        /// A service: groups and their members.
        Service,
        /// Settings of the whole fleet.
        Configuration,
        /// State of a failure domain.
        Domain,
        /// State of an endpoint.
        Endpoint,
    }
}

/// All kinds, in the order in which tools list them.
pub const RECORD_KINDS: [RecordKind; 7] = [
    RecordKind::Customer,
    RecordKind::Key,
    RecordKind::Route,
    RecordKind::Service,
    RecordKind::Configuration,
    RecordKind::Domain,
    RecordKind::Endpoint,
];

impl RecordKind {
    /// The kind's word in keys and on the command line.
    ///
    /// ```
    /// use tanagerdeal_wire::record::RecordKind;
    ///
    /// assert_eq!(RecordKind::parse(RecordKind::Route.as_str()), Some(RecordKind::Route));
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::Key => "key",
            Self::Route => "route",
            Self::Service => "service",
            Self::Configuration => "configuration",
            Self::Domain => "domain",
            Self::Endpoint => "endpoint",
        }
    }

    /// The kind of a word.
    pub fn parse(word: &str) -> Option<Self> {
        RECORD_KINDS.into_iter().find(|kind| kind.as_str() == word)
    }
}

/// Key of a record in the table service.
///
/// ```
/// use tanagerdeal_wire::record::{RecordKind, record_key, split_record_key};
///
/// let key = record_key(RecordKind::Customer, "quarry");
/// assert_eq!(key, "records/customer/quarry");
/// assert_eq!(split_record_key(&key), Some((RecordKind::Customer, "quarry")));
/// ```
pub fn record_key(kind: RecordKind, name: &str) -> String {
    format!("{RECORD_PREFIX}{}/{name}", kind.as_str())
}

/// Kind and name of a key in the table service, or nothing when it is no record.
pub fn split_record_key(key: &str) -> Option<(RecordKind, &str)> {
    let (kind, name) = key.strip_prefix(RECORD_PREFIX)?.split_once('/')?;
    RecordKind::parse(kind).map(|kind| (kind, name))
}

wire_type! {
    /// A customer. Schema 1 has `rate_per_s` and `burst`; schema 2 adds the rest.
    pub struct CustomerRecord {
        /// Requests a second, counted over all hosts.
        pub rate_per_s: u32,
        /// Requests that may come at once.
        pub burst: u32,
        /// Weight in fair queueing.
        #[serde(default = "one")]
        pub weight: u32,
        /// Worth of a request answered in time.
        #[serde(default = "one")]
        pub worth: u32,
        /// Sessions open at once on one host.
        #[serde(default = "default_sessions")]
        pub max_sessions: u32,
    }

    /// A key: salt and digest of its secret. Schema 2 adds `note`.
    pub struct KeyRecord {
        /// Customer the key belongs to.
        pub customer: CustomerName,
        /// Random salt.
        pub salt: String,
        /// Digest as of [`crate::key::digest_secret`].
        pub digest: String,
        /// Free text for operators.
        #[serde(default)]
        pub note: String,
    }

    /// When a write is acknowledged.
    #[derive(Copy, Default)]
    #[serde(rename_all = "lowercase")]
    pub enum WriteDurability {
        /// A majority has confirmed the term; the replicated position is waited for, but not needed.
        #[default]
        Term,
        /// A second member must have received the write.
        Replicated,
    }

    /// A route. Schema 1 has `service`, `open` and `customers`; schema 2 adds the rest.
    pub struct RouteRecord {
        /// Service that the route leads to.
        pub service: ServiceName,
        /// Whether callers need no key.
        #[serde(default)]
        pub open: bool,
        /// Customers allowed; empty allows all.
        #[serde(default)]
        pub customers: Vec<CustomerName>,
        /// When a write is acknowledged.
        #[serde(default)]
        pub durability: WriteDurability,
        /// Greatest age of a read in milliseconds when the caller states none; 0 means current.
        #[serde(default)]
        pub max_read_age_ms: u32,
        /// Deadline of a request in milliseconds when the caller states none.
        #[serde(default = "default_deadline")]
        pub deadline_ms: u32,
    }

    /// One member of a group.
    pub struct MemberRecord {
        /// Its name.
        pub endpoint: EndpointName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Address of the PostgreSQL listener, `ip:port`.
        pub sql_address: String,
        /// Address of the member API, `ip:port`.
        pub api_address: String,
        /// Connections that all hosts together may open.
        pub connections: u32,
        /// Statements that run at once.
        pub slots: u32,
    }

    /// A group of members that replicate one database.
    pub struct GroupRecord {
        /// Its name.
        pub group: GroupName,
        /// Its members.
        pub members: Vec<MemberRecord>,
    }

    /// A service: its groups in placement order.
    pub struct ServiceRecord {
        /// The groups.
        pub groups: Vec<GroupRecord>,
    }

    /// Settings of the whole fleet, record name `fleet`.
    pub struct ConfigurationRecord {
        /// Longest wait for a second member to receive a write, in milliseconds.
        #[serde(default = "default_replication_wait")]
        pub replication_wait_ms: u32,
        /// Share of requests that may be retries, in percent.
        #[serde(default = "default_retry_percent")]
        pub retry_percent: u32,
    }

    /// Whether a failure domain gets new work.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum DomainPhase {
        /// In service.
        In,
        /// Taken out.
        Out,
    }

    /// A failure domain.
    pub struct DomainRecord {
        /// Its state.
        pub state: DomainPhase,
    }

    /// Whether an endpoint gets new work.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum EndpointPhase {
        /// In service.
        Serving,
        /// Leaving: no new work.
        Leaving,
    }

    /// State of an endpoint.
    pub struct EndpointRecord {
        /// Its state.
        pub state: EndpointPhase,
    }
}

value_type! {
    /// A decoded record.
    pub enum Record {
        /// A customer.
        Customer(CustomerRecord),
        /// A key.
        Key(KeyRecord),
        /// A route.
        Route(RouteRecord),
        /// A service.
        Service(ServiceRecord),
        /// Settings of the fleet.
        Configuration(ConfigurationRecord),
        /// A failure domain.
        Domain(DomainRecord),
        /// An endpoint.
        Endpoint(EndpointRecord),
    }
}

/// Why a stored value is not a record that this version understands.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// No `schema` field, or not a number.
    #[error("field \"schema\" is missing or not a number")]
    NoSchema,
    /// The schema version is newer than this program.
    #[error("schema version {0} is unknown")]
    UnknownSchema(u64),
    /// A field is missing or has the wrong type.
    #[error("{0}")]
    InvalidField(String),
}

impl Record {
    /// Decodes a stored value; fields that this version does not know are ignored.
    ///
    /// ```
    /// use serde_json::json;
    /// use tanagerdeal_wire::record::{Record, RecordError, RecordKind};
    ///
    /// let value = json!({"schema": 1, "rate_per_s": 10, "burst": 20});
    /// assert!(Record::decode(RecordKind::Customer, &value).is_ok());
    /// let value = json!({"schema": 9, "rate": 10});
    /// let error = Record::decode(RecordKind::Customer, &value).unwrap_err();
    /// assert_eq!(error, RecordError::UnknownSchema(9));
    /// ```
    pub fn decode(kind: RecordKind, value: &Value) -> Result<Self, RecordError> {
        match value.get("schema").and_then(Value::as_u64) {
            None => Err(RecordError::NoSchema),
            Some(schema) if !(1..=newest_schema(kind)).contains(&schema) => {
                Err(RecordError::UnknownSchema(schema))
            }
            Some(_) => decode_fields(kind, value)
                .map_err(|error| RecordError::InvalidField(error.to_string())),
        }
    }
}

fn decode_fields(kind: RecordKind, value: &Value) -> serde_json::Result<Record> {
    let value = value.clone();
    match kind {
        RecordKind::Customer => serde_json::from_value(value).map(Record::Customer),
        RecordKind::Key => serde_json::from_value(value).map(Record::Key),
        RecordKind::Route => serde_json::from_value(value).map(Record::Route),
        RecordKind::Service => serde_json::from_value(value).map(Record::Service),
        RecordKind::Configuration => serde_json::from_value(value).map(Record::Configuration),
        RecordKind::Domain => serde_json::from_value(value).map(Record::Domain),
        RecordKind::Endpoint => serde_json::from_value(value).map(Record::Endpoint),
    }
}

/// Newest schema version of a kind that this program understands.
///
/// ```
/// use tanagerdeal_wire::record::{RecordKind, newest_schema};
///
/// assert_eq!(newest_schema(RecordKind::Customer), 2);
/// ```
pub fn newest_schema(kind: RecordKind) -> u64 {
    match kind {
        RecordKind::Customer | RecordKind::Key | RecordKind::Route => 2,
        _ => 1,
    }
}

fn one() -> u32 {
    1
}

fn default_sessions() -> u32 {
    10_000
}

fn default_deadline() -> u32 {
    5_000
}

fn default_replication_wait() -> u32 {
    400
}

fn default_retry_percent() -> u32 {
    10
}
