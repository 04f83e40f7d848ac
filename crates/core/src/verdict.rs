//! Verdicts: whether a request that failed may have run.

use std::fmt;
use std::time::Instant;

use tanagerdeal_wire::{scalar_type, value_type};

scalar_type! {
    /// Whether a request has run.
    pub enum RunVerdict {
        /// No byte of the request could have been executed.
        NotRun,
        /// The request was sent and its outcome is unknown.
        MayHaveRun,
        /// The request ran; only the response to it failed.
        Ran,
    }

    /// Reason of a refusal; each has one SQLSTATE.
    pub enum RefusalCode {
        /// Unknown customer, route or key, or a revoked key.
        InvalidKey,
        /// The customer is over its rate and burst.
        RateExceeded,
        /// The request cannot be on time.
        Overloaded,
        /// The host is shutting down.
        ShuttingDown,
        /// No usable endpoint, or no recent catalog confirmation.
        Unavailable,
        /// The outcome of a write is unknown.
        OutcomeUnknown,
        /// A write of the session was lost in a failover.
        WriteLost,
        /// The statement or setting is not supported.
        Unsupported,
        /// A limit on size, sessions or memory was exceeded.
        LimitExceeded,
        /// The statement or setting value is invalid.
        InvalidValue,
    }
}

value_type! {
    /// A final negative response to a request.
    pub struct RequestRefusal {
        /// Whether the request may have run.
        pub verdict: RunVerdict,
        /// Reason.
        pub code: RefusalCode,
        /// What was wrong, without the verdict.
        pub message: String,
        /// When the client should come back, where that is known.
        pub retry_at: Option<Instant>,
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotRun => "not run",
            Self::MayHaveRun => "may have run",
            Self::Ran => "ran",
        })
    }
}

impl RefusalCode {
    /// The SQLSTATE of the reason.
    ///
    /// ```
    /// use tanagerdeal_core::verdict::RefusalCode;
    ///
    /// assert_eq!(RefusalCode::RateExceeded.sqlstate(), "53400");
    /// ```
    pub fn sqlstate(self) -> &'static str {
        match self {
            Self::InvalidKey => "28P01",
            Self::RateExceeded => "53400",
            Self::Overloaded => "53300",
            Self::ShuttingDown => "57P01",
            Self::Unavailable => "57P03",
            Self::OutcomeUnknown => "08007",
            Self::WriteLost => "40003",
            Self::Unsupported => "0A000",
            Self::LimitExceeded => "54000",
            Self::InvalidValue => "22023",
        }
    }
}

impl RequestRefusal {
    /// A refusal of a request of which nothing was sent.
    ///
    /// ```
    /// use tanagerdeal_core::verdict::{RefusalCode, RequestRefusal};
    ///
    /// let refusal = RequestRefusal::not_run(RefusalCode::Overloaded, "queue is full");
    /// assert_eq!(refusal.to_string(), "not run: queue is full");
    /// ```
    pub fn not_run(code: RefusalCode, message: &str) -> Self {
        let message = message.to_owned();
        Self { verdict: RunVerdict::NotRun, code, message, retry_at: None }
    }

    /// A refusal of a request whose outcome is unknown.
    ///
    /// ```
    /// use tanagerdeal_core::verdict::RequestRefusal;
    ///
    /// let refusal = RequestRefusal::may_have_run("connection lost");
    /// assert_eq!(refusal.to_string(), "may have run: connection lost");
    /// ```
    pub fn may_have_run(message: &str) -> Self {
        let (verdict, code) = (RunVerdict::MayHaveRun, RefusalCode::OutcomeUnknown);
        Self { verdict, code, message: message.to_owned(), retry_at: None }
    }

    /// Sets when the client should come back.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use tanagerdeal_core::verdict::{RefusalCode, RequestRefusal};
    ///
    /// let now = Instant::now();
    /// let refusal = RequestRefusal::not_run(RefusalCode::Overloaded, "full").retry_at(now);
    /// assert_eq!(refusal.retry_at, Some(now));
    /// ```
    pub fn retry_at(mut self, instant: Instant) -> Self {
        self.retry_at = Some(instant);
        self
    }
}

impl fmt::Display for RequestRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.verdict, self.message)
    }
}
