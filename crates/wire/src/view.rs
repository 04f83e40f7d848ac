//! Records that hosts write themselves: leases and share views.

use serde_json::Value;

use crate::record::RecordError;
use crate::{DomainName, HostName};

/// Prefix of lease keys in the table service, followed by the host's name.
pub const LEASE_PREFIX: &str = "leases/";

/// Prefix of share view keys in the table service, followed by the failure domain's name.
pub const VIEW_PREFIX: &str = "views/";

/// Key of the list of failure domains; the slash keeps it apart from the view of any domain.
pub const FLEET_VIEW_KEY: &str = "views/fleet/domains";

/// Schema version of leases and views.
const VIEW_SCHEMA: u64 = 1;

wire_type! {
    /// A host's lease on its base share.
    pub struct LeaseRecord {
        /// Schema version.
        pub schema: u64,
        /// Failure domain of the host.
        pub domain: DomainName,
        /// Random number drawn at each start.
        pub incarnation: u64,
        /// Counts the leases of this incarnation; rises when a lease ended before its renewal.
        pub generation: u64,
        /// Counts the renewals of this incarnation.
        pub renewal: u64,
        /// Set when the host left: milliseconds after which nothing of its share is in use.
        #[serde(default)]
        pub released_ms: Option<u64>,
    }

    /// A host with a share.
    pub struct ViewMember {
        /// The host.
        pub host: HostName,
        /// Its incarnation.
        pub incarnation: u64,
        /// Generation of its lease.
        pub generation: u64,
    }

    /// Hosts of a failure domain that share the domain's part of every rate.
    pub struct ShareView {
        /// Schema version.
        pub schema: u64,
        /// Rises with each change.
        pub epoch: u64,
        /// The hosts; the order is that in which whole units are dealt out.
        pub hosts: Vec<ViewMember>,
    }

    /// Failure domains that share every rate in equal parts.
    pub struct FleetView {
        /// Schema version.
        pub schema: u64,
        /// Rises with each change.
        pub epoch: u64,
        /// The failure domains; the order is that in which whole units are dealt out.
        pub domains: Vec<DomainName>,
    }
}

macro_rules! decode_from_text {
    ($($name:ident)+) => {$(
        impl $name {
            #[doc = concat!("Decodes a stored value.\n\n```\nuse tanagerdeal_wire::view::",
                stringify!($name), ";\n\nassert!(", stringify!($name),
                "::decode(r#\"{\"schema\": 9}\"#).is_err());\n```")]
            pub fn decode(text: &str) -> Result<Self, RecordError> {
                let invalid = |error: serde_json::Error| RecordError::InvalidField(error.to_string());
                let value: Value = serde_json::from_str(text).map_err(invalid)?;
                match value.get("schema").and_then(Value::as_u64) {
                    None => Err(RecordError::NoSchema),
                    Some(VIEW_SCHEMA) => serde_json::from_value(value).map_err(invalid),
                    Some(schema) => Err(RecordError::UnknownSchema(schema)),
                }
            }

            #[doc = concat!("The value to be stored.\n\n```\nuse tanagerdeal_wire::view::",
                stringify!($name), ";\n\nfn text(value: &", stringify!($name),
                ") -> String {\n    value.encode().to_string()\n}\n```")]
            pub fn encode(&self) -> Value {
                serde_json::to_value(self).unwrap_or(Value::Null)
            }
        }
    )+};
}

decode_from_text!(LeaseRecord ShareView FleetView);

impl ShareView {
    /// A view at an epoch.
    ///
    /// ```
    /// use tanagerdeal_wire::view::ShareView;
    ///
    /// let view = ShareView::new(1, Vec::new());
    /// assert_eq!(ShareView::decode(&view.encode().to_string()), Ok(view));
    /// ```
    pub fn new(epoch: u64, hosts: Vec<ViewMember>) -> Self {
        Self { schema: VIEW_SCHEMA, epoch, hosts }
    }
}

impl FleetView {
    /// A list of failure domains at an epoch.
    ///
    /// ```
    /// use tanagerdeal_wire::view::FleetView;
    ///
    /// let view = FleetView::new(1, Vec::new());
    /// assert_eq!(FleetView::decode(&view.encode().to_string()), Ok(view));
    /// ```
    pub fn new(epoch: u64, domains: Vec<DomainName>) -> Self {
        Self { schema: VIEW_SCHEMA, epoch, domains }
    }
}

impl LeaseRecord {
    /// The first lease of an incarnation.
    ///
    /// ```
    /// use tanagerdeal_wire::DomainName;
    /// use tanagerdeal_wire::view::LeaseRecord;
    ///
    /// let lease = LeaseRecord::new(DomainName::new("d1").unwrap(), 7);
    /// assert_eq!(LeaseRecord::decode(&lease.encode().to_string()), Ok(lease));
    /// ```
    pub fn new(domain: DomainName, incarnation: u64) -> Self {
        let (generation, renewal, released_ms) = (1, 1, None);
        Self { schema: VIEW_SCHEMA, domain, incarnation, generation, renewal, released_ms }
    }
}
