//! Rules of the check and their severity.

use std::fmt;

use tanagerdeal_wire::wire_type;

wire_type! {
    /// Kind of an entry.
    #[derive(Copy, Ord, PartialOrd)]
    #[serde(rename_all = "kebab-case")]
    pub enum EntryKind {
        /// The configuration as a whole.
        Configuration,
        /// A route.
        Route,
        /// A customer.
        Customer,
        /// A group.
        Group,
        /// Limits of all sessions.
        Limits,
    }

    /// Severity of a finding.
    #[derive(Copy, Ord, PartialOrd)]
    #[serde(rename_all = "kebab-case")]
    pub enum FindingSeverity {
        /// Hosts would refuse, drop or misuse the entry.
        Error,
        /// The entry has no effect, or contradicts another one.
        Warning,
        /// The entry differs from the version in force.
        Difference,
    }

    /// Rules whose findings are errors.
    #[derive(Copy, Ord, PartialOrd)]
    #[serde(rename_all = "kebab-case")]
    pub enum ErrorRule {
        /// An entry cannot be read.
        Unreadable,
        /// The version is not above the one in force.
        VersionNotAbove,
        /// There is no route.
        NoRoutes,
        /// Two routes have one database name.
        DuplicateRoute,
        /// Two customers have one name.
        DuplicateCustomer,
        /// Two groups have one name.
        DuplicateGroup,
        /// A name is empty.
        EmptyName,
        /// A key is empty.
        EmptyKey,
        /// Two customers hold one key.
        SharedKey,
        /// A route leads to a group that is not in the configuration.
        UnknownGroup,
        /// A customer has a rate of 0.
        ZeroRate,
        /// A customer has a burst of 0.
        ZeroBurst,
        /// A route has a statement limit of 0.
        ZeroStatementLimit,
        /// Endpoints of a group accept no connections.
        NoConnections,
        /// Transactions may not be idle at all.
        ZeroIdleTime,
        /// Clients have no time to name their database.
        ZeroStartupLimit,
    }

    /// Rules whose findings are warnings.
    #[derive(Copy, Ord, PartialOrd)]
    #[serde(rename_all = "kebab-case")]
    pub enum WarningRule {
        /// A field is not known.
        UnknownField,
        /// A route has an age bound that its consistency ignores.
        UnusedAge,
        /// A name or a key has a blank or a control character.
        BlankInName,
        /// A customer has no keys.
        NoKeys,
        /// A customer holds a key twice.
        RepeatedKey,
        /// No route leads to a group.
        UnusedGroup,
        /// All routes are open, so no client needs a key.
        KeysNotNeeded,
        /// The objective exceeds the statement limit.
        ObjectiveAboveLimit,
        /// The objective is 0.
        ZeroObjective,
        /// The age bound is 0.
        ZeroAge,
        /// The age bound exceeds what hosts remember.
        AgeAboveReach,
        /// The burst is smaller than what the rate gives in the time for which hosts borrow ahead.
        BurstBelowRate,
        /// The idle time of transactions is shorter than a statement limit.
        IdleBelowStatement,
    }

    /// Rules whose findings are differences.
    #[derive(Copy, Ord, PartialOrd)]
    #[serde(rename_all = "kebab-case")]
    pub enum DifferenceRule {
        /// The version.
        Version,
        /// A route is new.
        RouteAdded,
        /// A route is dropped.
        RouteRemoved,
        /// Group of a route.
        RouteGroup,
        /// Consistency of a route.
        RouteConsistency,
        /// Statement limit of a route.
        StatementLimit,
        /// Objective of a route.
        Objective,
        /// Priority of a route.
        Priority,
        /// A route is opened to clients without a key.
        RouteOpened,
        /// A route is closed to clients without a key.
        RouteClosed,
        /// A customer is new.
        CustomerAdded,
        /// A customer is removed.
        CustomerRemoved,
        /// Rate of a customer.
        Rate,
        /// Burst of a customer.
        Burst,
        /// Keys of a customer are new.
        KeysAdded,
        /// Keys of a customer are withdrawn.
        KeysWithdrawn,
        /// Keys of a customer went to another one.
        KeysMoved,
        /// A group is new.
        GroupAdded,
        /// A group is removed.
        GroupRemoved,
        /// Connections of a group's endpoints.
        Connections,
        /// Synchronous replicas of a group.
        SyncReplicas,
        /// Idle time of transactions.
        IdleTime,
        /// Time to name a database.
        StartupLimit,
    }

    /// Rule of a finding.
    #[derive(Copy, Ord, PartialOrd)]
    #[serde(untagged)]
    pub enum CheckRule {
        /// An error.
        Error(ErrorRule),
        /// A warning.
        Warning(WarningRule),
        /// A difference.
        Difference(DifferenceRule),
    }
}

impl From<ErrorRule> for CheckRule {
    fn from(rule: ErrorRule) -> Self {
        Self::Error(rule)
    }
}

impl From<WarningRule> for CheckRule {
    fn from(rule: WarningRule) -> Self {
        Self::Warning(rule)
    }
}

impl From<DifferenceRule> for CheckRule {
    fn from(rule: DifferenceRule) -> Self {
        Self::Difference(rule)
    }
}

impl CheckRule {
    /// Severity of the rule's findings.
    pub fn severity(self) -> FindingSeverity {
        match self {
            Self::Error(_) => FindingSeverity::Error,
            Self::Warning(_) => FindingSeverity::Warning,
            Self::Difference(_) => FindingSeverity::Difference,
        }
    }

    /// Whether clients that are served now are refused from this version on.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::catalog::check::{CheckRule, DifferenceRule};
    ///
    /// assert!(CheckRule::from(DifferenceRule::RouteRemoved).stops_clients());
    /// assert!(!CheckRule::from(DifferenceRule::RouteAdded).stops_clients());
    /// ```
    pub fn stops_clients(self) -> bool {
        matches!(
            self,
            Self::Difference(
                DifferenceRule::RouteRemoved
                    | DifferenceRule::RouteClosed
                    | DifferenceRule::CustomerRemoved
                    | DifferenceRule::KeysWithdrawn
            )
        )
    }

    /// What the rule says, in words.
    pub fn text(self) -> &'static str {
        match self {
            Self::Error(rule) => rule.text(),
            Self::Warning(rule) => rule.text(),
            Self::Difference(rule) => rule.text(),
        }
    }
}

impl ErrorRule {
    fn text(self) -> &'static str {
        match self {
            Self::Unreadable => "hosts leave the entry out, as it cannot be read",
            Self::VersionNotAbove => "hosts ignore a version that is not above the one in force",
            Self::NoRoutes => "there is no route, so every client is refused",
            Self::DuplicateRoute => "hides an earlier route of the same database",
            Self::DuplicateCustomer => "hides an earlier customer of the same name",
            Self::DuplicateGroup => "hides an earlier group of the same name",
            Self::EmptyName => "a name is empty",
            Self::EmptyKey => "a key is empty, so clients without a key are taken for the customer",
            Self::SharedKey => "a key is held by another customer too",
            Self::UnknownGroup => "the group is not in the configuration",
            Self::ZeroRate => "the rate admits no operation",
            Self::ZeroBurst => "the burst admits no operation",
            Self::ZeroStatementLimit => "the statement limit leaves no time",
            Self::NoConnections => "endpoints accept no connection",
            Self::ZeroIdleTime => "the idle time ends every transaction",
            Self::ZeroStartupLimit => "clients have no time to name their database",
        }
    }
}

impl WarningRule {
    fn text(self) -> &'static str {
        match self {
            Self::UnknownField => "a field is not known and is ignored",
            Self::UnusedAge => "the consistency of the route ignores the age bound",
            Self::BlankInName => "no client can send a blank or control character",
            Self::NoKeys => "no client can identify itself as the customer",
            Self::RepeatedKey => "a key is listed twice",
            Self::UnusedGroup => "no route leads to the group",
            Self::KeysNotNeeded => "all routes are open, so keys admit no further client",
            Self::ObjectiveAboveLimit => "the latency objective exceeds the statement limit",
            Self::ZeroObjective => "statements never wait for a slot without a latency objective",
            Self::ZeroAge => "the age bound leaves almost no read to replicas",
            Self::AgeAboveReach => "the age bound exceeds what hosts remember under load",
            Self::BurstBelowRate => "the burst is less than the tokens that hosts borrow ahead",
            Self::IdleBelowStatement => "the idle time is shorter than a statement limit",
        }
    }
}

impl DifferenceRule {
    fn text(self) -> &'static str {
        match self {
            Self::Version => "version",
            Self::RouteAdded => "added",
            Self::RouteRemoved => "dropped, its clients are refused",
            Self::RouteGroup => "group",
            Self::RouteConsistency => "consistency",
            Self::StatementLimit => "statement limit",
            Self::Objective => "latency objective",
            Self::Priority => "priority",
            Self::RouteOpened => "opened to clients without a key",
            Self::RouteClosed => "closed, clients without a key are refused",
            Self::CustomerAdded => "added",
            Self::CustomerRemoved => "removed, its keys are refused",
            Self::Rate => "rate",
            Self::Burst => "burst",
            Self::KeysAdded => "keys added",
            Self::KeysWithdrawn => "keys withdrawn, clients that use them are refused",
            Self::KeysMoved => "keys moved to another customer",
            Self::GroupAdded => "added",
            Self::GroupRemoved => "removed",
            Self::Connections => "connections of each endpoint",
            Self::SyncReplicas => "synchronous replicas",
            Self::IdleTime => "idle time of transactions",
            Self::StartupLimit => "time to name a database",
        }
    }
}

impl fmt::Display for EntryKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Configuration => "configuration",
            Self::Route => "route",
            Self::Customer => "customer",
            Self::Group => "group",
            Self::Limits => "limits",
        })
    }
}

impl fmt::Display for FindingSeverity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
            Self::Difference => "difference",
        })
    }
}
