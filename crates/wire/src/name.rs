//! Validated names of hosts, failure domains, customers, endpoints and records.

use std::fmt;
use std::sync::Arc;

/// Longest name accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A name that is empty, too long or holds a character that is not allowed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("name {name:?} must have 1 to 64 characters of a-z, A-Z, 0-9, '.', '_' and '-'")]
pub struct NameError {
    /// The rejected text, cut to the longest accepted length.
    pub name: String,
}

fn check_name(text: &str) -> Result<(), NameError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match text.len() {
        1..=MAX_NAME_BYTES if text.chars().all(allowed) => Ok(()),
        _ => Err(NameError { name: text.chars().take(MAX_NAME_BYTES).collect() }),
    }
}

macro_rules! name_type {
    ($($(#[$doc:meta])* $name:ident;)+) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
        )]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            #[doc = concat!("Checks and wraps a name.\n\n```\nuse tanagerdeal_wire::", stringify!($name),
                ";\n\nassert_eq!(", stringify!($name), "::new(\"a-1\").unwrap().as_str(), \"a-1\");\n",
                "assert!(", stringify!($name), "::new(\"a b\").is_err());\n```")]
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text).map(|()| Self(Arc::from(text)))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }
    )+};
}

name_type! {
    /// Name of a host: a machine that runs one proxy process.
    HostName;
    /// Name of a failure domain.
    DomainName;
    /// Name of a customer.
    CustomerName;
    /// Name of an endpoint: one database server, a member of a group.
    EndpointName;
    /// Name of a group of endpoints that replicate one database.
    GroupName;
    /// Name of a service: an ordered list of groups.
    ServiceName;
    /// Name of a route, which a caller gives as the database.
    RouteName;
    /// Public part of a caller's key.
    KeyName;
}
