//! Session values and prepared statements over shared connections.

use std::collections::{BTreeMap, HashMap, HashSet};

use tanagerdeal_wire::value_type;

use super::statement::AccessMode;
use crate::hash::hash_bytes;

value_type! {
    /// A prepared statement of a session.
    pub struct PreparedShape {
        /// What it does.
        pub mode: AccessMode,
        /// Its shape.
        pub shape: String,
        /// Name under which it is prepared on connections; equal shapes share it.
        pub shared_name: String,
    }

    /// What a session has set and prepared.
    #[derive(Default)]
    pub struct SessionImage {
        values: BTreeMap<String, String>,
        prepared: HashMap<String, PreparedShape>,
    }

    /// What a connection to an endpoint has set and prepared.
    #[derive(Default)]
    pub struct ConnectionImage {
        values: BTreeMap<String, String>,
        prepared: HashSet<String>,
    }

    /// A step that brings a connection to the image of a session.
    pub enum SetupStep {
        /// Forget all values and prepared statements.
        Reset,
        /// Set a value.
        SetValue(String, String),
        /// Prepare a statement.
        Prepare(PreparedShape),
    }
}

impl PreparedShape {
    /// A prepared statement; its shared name depends on mode and shape only.
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

impl SessionImage {
    /// Sets a value.
    pub fn set_value(&mut self, name: &str, value: &str) {
        self.values.insert(name.to_owned(), value.to_owned());
    }

    /// Adds a prepared statement; one of the same name is replaced.
    pub fn prepare(&mut self, name: &str, shape: PreparedShape) {
        self.prepared.insert(name.to_owned(), shape);
    }

    /// Forgets a prepared statement; returns whether it was there.
    pub fn deallocate(&mut self, name: &str) -> bool {
        self.prepared.remove(name).is_some()
    }

    /// The prepared statement of a name.
    pub fn prepared(&self, name: &str) -> Option<&PreparedShape> {
        self.prepared.get(name)
    }
}

impl ConnectionImage {
    /// Steps that give the connection the session's values and one prepared statement.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::session::{ConnectionImage, SessionImage, SetupStep};
    ///
    /// let mut session = SessionImage::default();
    /// session.set_value("zone", "a");
    /// let mut connection = ConnectionImage::default();
    /// let steps = connection.steps(&session, None);
    /// assert_eq!(steps, [SetupStep::SetValue("zone".into(), "a".into())]);
    /// steps.iter().for_each(|step| connection.note(step));
    /// assert!(connection.steps(&session, None).is_empty());
    /// assert_eq!(connection.steps(&SessionImage::default(), None), [SetupStep::Reset]);
    /// ```
    pub fn steps(
        &self,
        session: &SessionImage,
        statement: Option<&PreparedShape>,
    ) -> Vec<SetupStep> {
        let is_reset = self.values.keys().any(|name| !session.values.contains_key(name));
        let set = session
            .values
            .iter()
            .filter(|(name, value)| is_reset || self.values.get(*name) != Some(value))
            .map(|(name, value)| SetupStep::SetValue(name.clone(), value.clone()));
        let prepare = statement
            .filter(|shape| is_reset || !self.prepared.contains(&shape.shared_name))
            .map(|shape| SetupStep::Prepare(shape.clone()));
        is_reset.then_some(SetupStep::Reset).into_iter().chain(set).chain(prepare).collect()
    }

    /// Notes that a step has succeeded.
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
