//! How many statements an endpoint takes well, and how fast it is, learned at its pool host.
//!
//! The logarithm of a statement's duration is modelled as the sum of a value for its class of work,
//! a common value for the endpoint's present speed, and noise. So neither a mix of short and long
//! work nor a change of the mix is taken for a change of speed.

mod gradient;
mod health;

use std::collections::HashMap;
use std::time::Duration;

use tanagerdeal_wire::scalar_type;

use self::gradient::GradientWindow;
use self::health::HealthRecord;
use super::clock::BootInstant;

/// Service time assumed before the first reply.
const UNKNOWN_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Shortest duration in the computation, because a logarithm needs one.
const MIN_SERVICE_TIME: Duration = Duration::from_micros(100);
/// Weight of a reply in the endpoint's speed.
const SPEED_GAIN: f64 = 1.0 / 48.0;
/// Weight of a reply in the recent speed, which shows a change after about ten replies.
const RECENT_GAIN: f64 = 1.0 / 8.0;
/// Difference of the two, as a logarithm, that counts as a change: three standard errors of the
/// recent speed at a spread of 0.7.
const SPEED_CHANGE: f64 = 0.55;
/// Weight of a reply in the value of its class once the class has seen many.
const CLASS_GAIN: f64 = 1.0 / 128.0;
/// Weight of a reply in the variance of the noise.
const VARIANCE_GAIN: f64 = 1.0 / 128.0;
/// Variance before the first replies: that of a lognormal distribution with a spread of 0.7.
const INITIAL_VARIANCE: f64 = 0.49;
/// Largest deviation of one reply, as a logarithm, so that a single stall is not taken for a change
/// of speed.
const MAX_DEVIATION: f64 = 1.5;
/// Most classes of work that are kept, which bounds memory use.
const MAX_CLASSES: usize = 256;

scalar_type! {
    /// What a statement does.
    pub enum WorkKind {
        /// Reads data.
        Read,
        /// Changes data.
        Write,
        /// Ends a transaction.
        Commit,
    }

    /// Class of statements that take about as long as each other.
    pub struct WorkClass {
        /// Hash of the name of the database.
        pub route: u64,
        /// What the statement does.
        pub kind: WorkKind,
    }

    /// What may be sent to an endpoint.
    pub enum EndpointHealth {
        /// As many statements as its limit.
        Usable,
        /// Fewer, because a part of its work fails or failed until recently.
        Failing,
        /// One statement at a time, to find out whether it works again.
        Probing,
    }
}

/// Duration of the statements of one class, without the endpoint's present speed.
struct ClassTime {
    log_s: f64,
    replies: u32,
    used_at: BootInstant,
}

/// What was learned about an endpoint. The limit follows its throughput, and failures reduce it.
pub struct EndpointCapacity {
    slots: u32,
    window: GradientWindow,
    health: HealthRecord,
    classes: HashMap<WorkClass, ClassTime>,
    /// Logarithm of the present duration of all work relative to the values of the classes.
    log_speed: f64,
    log_recent: f64,
    variance: f64,
    /// Average value of the classes, for classes that are not known.
    log_typical_s: f64,
}

impl EndpointCapacity {
    /// An endpoint that has not replied yet and runs `slots` statements at once.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::capacity::EndpointCapacity;
    ///
    /// assert_eq!(EndpointCapacity::new(3).limit(), 3);
    /// ```
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            window: GradientWindow::new(slots),
            health: HealthRecord::default(),
            classes: HashMap::new(),
            log_speed: 0.0,
            log_recent: 0.0,
            variance: INITIAL_VARIANCE,
            log_typical_s: UNKNOWN_SERVICE_TIME.as_secs_f64().ln(),
        }
    }

    /// Adopts the registered slots. If they have changed, the limit is learned anew.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::capacity::EndpointCapacity;
    ///
    /// let mut capacity = EndpointCapacity::new(3);
    /// capacity.set_slots(6);
    /// assert_eq!(capacity.limit(), 6);
    /// ```
    pub fn set_slots(&mut self, slots: u32) {
        if slots != self.slots {
            (self.slots, self.window) = (slots, GradientWindow::new(slots));
        }
    }

    /// Statements that may run at once; at least 1.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::capacity::EndpointCapacity;
    ///
    /// assert_eq!(EndpointCapacity::new(0).limit(), 1);
    /// ```
    pub fn limit(&self) -> u32 {
        let ceiling = self.health.ceiling().unwrap_or(u32::MAX);
        self.window.limit().min(ceiling).max(1)
    }

    /// Whether another statement may be sent beside the `running` ones. The last usable endpoint of
    /// its group is probed without pauses.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::capacity::EndpointCapacity;
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let (capacity, now) = (EndpointCapacity::new(3), BootInstant::from_micros(0));
    /// assert!(capacity.has_room(now, 2, false));
    /// assert!(!capacity.has_room(now, 3, false));
    /// ```
    pub fn has_room(&self, now: BootInstant, running: u32, is_last: bool) -> bool {
        running < self.limit() && (is_last || self.health.may_send(now))
    }

    /// Records a reply; `running` includes it.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::capacity::{EndpointCapacity, WorkClass, WorkKind};
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let (mut capacity, now) = (EndpointCapacity::new(3), BootInstant::from_micros(0));
    /// let work = WorkClass { route: 1, kind: WorkKind::Read };
    /// capacity.record(now, work, Duration::from_millis(40), 1);
    /// assert!(capacity.service_time(work) >= Duration::from_millis(40));
    /// ```
    pub fn record(&mut self, now: BootInstant, work: WorkClass, took: Duration, running: u32) {
        let learned = self.window.limit();
        let is_limited = self.health.ceiling().is_some();
        self.health.note_reply(now, learned);
        let log_s = took.max(MIN_SERVICE_TIME).as_secs_f64().ln();
        let relative = self.note_duration(now, work, log_s);
        if !is_limited {
            self.window.record(relative, self.variance, running);
        }
        if (self.log_recent - self.log_speed).abs() > SPEED_CHANGE {
            self.log_speed = self.log_recent;
            self.window.examine();
        }
    }

    /// Learns from a duration, and returns it relative to its class.
    fn note_duration(&mut self, now: BootInstant, work: WorkClass, log_s: f64) -> f64 {
        self.make_space(work);
        let log_speed = self.log_speed;
        let class = self.classes.entry(work).or_insert_with(|| ClassTime {
            log_s: log_s - log_speed,
            replies: 0,
            used_at: now,
        });
        let relative = (log_s - class.log_s)
            .clamp(self.log_speed - MAX_DEVIATION, self.log_speed + MAX_DEVIATION);
        let deviation = relative - self.log_speed;
        class.replies = class.replies.saturating_add(1);
        class.used_at = now;
        class.log_s += deviation * CLASS_GAIN.max(1.0 / f64::from(class.replies));
        self.log_typical_s += SPEED_GAIN * (class.log_s - self.log_typical_s);
        self.log_speed += SPEED_GAIN * deviation;
        self.log_recent += RECENT_GAIN * (relative - self.log_recent);
        self.variance += VARIANCE_GAIN * (deviation * deviation - self.variance);
        relative
    }

    /// Drops the class that was not used for longest, if another one would be too many.
    fn make_space(&mut self, work: WorkClass) {
        if self.classes.len() < MAX_CLASSES || self.classes.contains_key(&work) {
            return;
        }
        let oldest = self.classes.iter().min_by_key(|(_, class)| class.used_at);
        if let Some(oldest) = oldest.map(|(work, _)| *work) {
            self.classes.remove(&oldest);
        }
    }

    /// Records that the endpoint refused a statement because it is full: others use its slots.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::capacity::{EndpointCapacity, EndpointHealth};
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let (mut capacity, now) = (EndpointCapacity::new(3), BootInstant::from_micros(0));
    /// capacity.record_full(now);
    /// assert_eq!(capacity.limit(), 2);
    /// assert_eq!(capacity.state(now), EndpointHealth::Usable);
    /// ```
    pub fn record_full(&mut self, now: BootInstant) {
        self.health.note_full(now, self.limit());
    }

    /// Records that a statement got no reply, or an error of the endpoint itself.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::capacity::{EndpointCapacity, EndpointHealth};
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let mut capacity = EndpointCapacity::new(3);
    /// for millis in 0..1_000 {
    ///     capacity.record_failure(BootInstant::from_micros(millis * 1_000));
    /// }
    /// assert_eq!(capacity.state(BootInstant::from_micros(1_000_000)), EndpointHealth::Probing);
    /// ```
    pub fn record_failure(&mut self, now: BootInstant) {
        self.health.note_failure(now, self.limit());
    }

    /// Expected duration of a statement at the present speed and load.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::capacity::{EndpointCapacity, WorkClass, WorkKind};
    ///
    /// let work = WorkClass { route: 1, kind: WorkKind::Read };
    /// assert!(EndpointCapacity::new(3).service_time(work) > Duration::ZERO);
    /// ```
    pub fn service_time(&self, work: WorkClass) -> Duration {
        let log_s = self.classes.get(&work).map_or(self.log_typical_s, |class| class.log_s);
        // The mean of a lognormal distribution is above its median by half of the variance.
        Duration::from_secs_f64((log_s + self.log_speed + self.variance / 2.0).exp().min(60.0))
    }

    /// What may be sent to the endpoint. A slow one is usable: its limit and its service time show
    /// that.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::capacity::{EndpointCapacity, EndpointHealth};
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let now = BootInstant::from_micros(0);
    /// assert_eq!(EndpointCapacity::new(3).state(now), EndpointHealth::Usable);
    /// ```
    pub fn state(&self, _now: BootInstant) -> EndpointHealth {
        self.health.state()
    }
}
