//! Session variables and prepared statements on pooled connections.

use std::collections::{BTreeMap, HashMap, HashSet};

use tanagerdeal_wire::value_type;

use super::statement::AccessMode;
use crate::hash::hash_bytes;

value_type! {
    /// A prepared statement of a session.
    pub struct PreparedShape {
        /// Whether it changes data.
        pub mode: AccessMode,
        /// Statement shape in the protocol of the endpoints.
        pub shape: String,
        /// Name under which it is prepared on connections. Equal statements share it.
        pub shared_name: String,
    }

    /// Variables and prepared statements of a session.
    #[derive(Default)]
    pub struct SessionSetup {
        values: BTreeMap<String, String>,
        prepared: HashMap<String, PreparedShape>,
    }

    /// Variables and prepared statements that are set up on a connection to an endpoint.
    #[derive(Default)]
    pub struct ConnectionSetup {
        values: BTreeMap<String, String>,
        prepared: HashSet<String>,
    }

    /// A step that brings a connection to the state of a session.
    pub enum SetupStep {
        /// Reset all variables and prepared statements.
        Reset,
        /// Set a variable.
        SetValue(String, String),
        /// Prepare a statement.
        Prepare(PreparedShape),
    }
}

impl PreparedShape {
    /// A prepared statement. Its shared name depends only on `mode` and `shape`.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::session::PreparedShape;
    /// use tanagerdeal_core::ledger::statement::AccessMode;
    ///
    /// let (read, write) = (
    ///     PreparedShape::new(AccessMode::Read, "q2c"),
    ///     PreparedShape::new(AccessMode::Write, "q2c"),
    /// );
    /// assert_ne!(read.shared_name, write.shared_name);
    /// ```
    pub fn new(mode: AccessMode, shape: &str) -> Self {
        let prefix = match mode {
            AccessMode::Read => 'r',
            AccessMode::Write => 'w',
        };
        let shared_name = format!("{prefix}{:016x}", hash_bytes(shape.bytes()));
        Self { mode, shape: shape.to_owned(), shared_name }
    }
}

impl SessionSetup {
    /// Sets a variable.
    pub fn set_value(&mut self, name: &str, value: &str) {
        self.values.insert(name.to_owned(), value.to_owned());
    }

    /// Adds a prepared statement, replacing one of the same name.
    pub fn prepare(&mut self, name: &str, shape: PreparedShape) {
        self.prepared.insert(name.to_owned(), shape);
    }

    /// Drops a prepared statement. Returns whether it existed.
    pub fn deallocate(&mut self, name: &str) -> bool {
        self.prepared.remove(name).is_some()
    }

    /// Names and values of the variables.
    pub fn values(&self) -> impl Iterator<Item = (&String, &String)> {
        self.values.iter()
    }

    /// The prepared statement with a name.
    pub fn prepared(&self, name: &str) -> Option<&PreparedShape> {
        self.prepared.get(name)
    }
}

impl ConnectionSetup {
    /// Steps that give the connection the session's variables and one prepared statement.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::session::{ConnectionSetup, SessionSetup, SetupStep};
    ///
    /// let mut session = SessionSetup::default();
    /// session.set_value("zone", "a");
    /// let mut connection = ConnectionSetup::default();
    /// let steps = connection.steps(&session, None);
    /// assert_eq!(steps, [SetupStep::SetValue("zone".into(), "a".into())]);
    /// steps.iter().for_each(|step| connection.note(step));
    /// assert!(connection.steps(&session, None).is_empty());
    /// assert_eq!(connection.steps(&SessionSetup::default(), None), [SetupStep::Reset]);
    /// ```
    pub fn steps(
        &self,
        session: &SessionSetup,
        statement: Option<&PreparedShape>,
    ) -> Vec<SetupStep> {
        let needs_reset = self.values.keys().any(|name| !session.values.contains_key(name));
        let set = session
            .values
            .iter()
            .filter(|(name, value)| needs_reset || self.values.get(*name) != Some(value))
            .map(|(name, value)| SetupStep::SetValue(name.clone(), value.clone()));
        let prepare = statement
            .filter(|shape| needs_reset || !self.prepared.contains(&shape.shared_name))
            .map(|shape| SetupStep::Prepare(shape.clone()));
        needs_reset.then_some(SetupStep::Reset).into_iter().chain(set).chain(prepare).collect()
    }

    /// Records that a step has succeeded.
    pub fn note(&mut self, step: &SetupStep) {
        match step {
            SetupStep::Reset => *self = Self::default(),
            SetupStep::SetValue(name, value) => {
                self.values.insert(name.clone(), value.clone());
            }
            SetupStep::Prepare(shape) => {
                self.prepared.insert(shape.shared_name.clone());
            }
        }
    }
}
