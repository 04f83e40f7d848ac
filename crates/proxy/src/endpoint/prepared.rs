//! Prepared statements of a session, and which of them a connection holds.

use std::collections::{HashSet, VecDeque};

use sha2::{Digest as _, Sha256};
use tanagerdeal_wire::value_type;

/// Statements that a connection holds before the oldest is closed.
const MAX_PREPARED: usize = 200;
/// Bytes of the digest in a statement name; 128 bits make equal names of different texts
/// impossible in practice.
const NAME_BYTES: usize = 16;

value_type! {
    /// A statement that a client has prepared.
    pub struct PreparedStatement {
        /// Its text.
        pub text: String,
        /// Types of its parameters, as given by the client.
        pub types: Vec<u32>,
        /// Its name on endpoint connections.
        pub name: String,
    }
}

/// Names of the statements that a connection holds, oldest first.
#[derive(Default)]
pub struct PreparedTable {
    names: HashSet<String>,
    order: VecDeque<String>,
}

impl PreparedStatement {
    /// Derives the name from text and types, so that sessions share statements on a connection.
    ///
    /// ```
    /// use tanagerdeal::endpoint::PreparedStatement;
    ///
    /// let first = PreparedStatement::new("SELECT $1", &[23]);
    /// assert_eq!(first.name, PreparedStatement::new("SELECT $1", &[23]).name);
    /// assert_ne!(first.name, PreparedStatement::new("SELECT $1", &[25]).name);
    /// ```
    pub fn new(text: &str, types: &[u32]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((types.len() as u64).to_be_bytes());
        types.iter().for_each(|oid| hasher.update(oid.to_be_bytes()));
        hasher.update(text.as_bytes());
        let digest = hasher.finalize();
        let hex: String = digest[..NAME_BYTES].iter().map(|byte| format!("{byte:02x}")).collect();
        Self { text: text.to_owned(), types: types.to_vec(), name: format!("td_{hex}") }
    }
}

impl PreparedTable {
    /// Whether the connection holds a statement.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Notes a statement that the endpoint has prepared.
    pub fn insert(&mut self, name: &str) {
        if self.names.insert(name.to_owned()) {
            self.order.push_back(name.to_owned());
        }
    }

    /// Takes the oldest statements above the limit, which must then be closed.
    ///
    /// ```
    /// use tanagerdeal::endpoint::PreparedTable;
    ///
    /// let mut table = PreparedTable::default();
    /// table.insert("a");
    /// assert!(table.contains("a"));
    /// assert!(table.take_excess().is_empty());
    /// ```
    pub fn take_excess(&mut self) -> Vec<String> {
        let count = self.order.len().saturating_sub(MAX_PREPARED);
        let excess: Vec<String> = self.order.drain(..count).collect();
        excess.iter().for_each(|name| {
            self.names.remove(name);
        });
        excess
    }
}
