//! Metrics of a host.

mod endpoints;

use std::time::Duration;

use prometheus::proto::MetricType;
use prometheus::{
    Encoder as _, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use tanagerdeal_core::ledger::admission::RefusalReason;

pub(super) use endpoints::EndpointGauges;

/// Bucket bounds of the latency histograms, in seconds. They enclose the latency objectives of the
/// users' routes, which lie between 0.12 and 0.6 s.
const LATENCY_BOUNDS_S: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 6.0];

/// Outcomes of usage reports.
const USAGE_OUTCOMES: [&str; 5] = ["sent", "incomplete", "late", "refused", "dropped"];

/// Reasons for which a pool host refuses statements.
const ADMISSION_REASONS: [RefusalReason; 3] =
    [RefusalReason::Backlog, RefusalReason::Expired, RefusalReason::QueueFull];

/// Metrics of the process.
pub(super) struct HostMetrics {
    registry: Registry,
    /// Statements by read consistency of the route and outcome.
    pub(super) statements: IntCounterVec,
    /// Refusals by reason.
    pub(super) refusals: IntCounterVec,
    /// Calls to the platform by call and outcome.
    pub(super) platform_calls: IntCounterVec,
    /// Attempts to open connections to endpoints by outcome.
    pub(super) connections: IntCounterVec,
    /// Statements for pooled endpoints by where they ran.
    pub(super) forwarded: IntCounterVec,
    /// Statements that this host refused as a pool host, by priority and reason.
    pub(super) admission_refusals: IntCounterVec,
    /// Time that statements waited at this host as a pool host, by priority.
    pub(super) queue_time: HistogramVec,
    /// Endpoints whose pool host this host is.
    pub(super) endpoints: EndpointGauges,
    /// Failovers and planned changes of primary by outcome.
    pub(super) changes: IntCounterVec,
    /// Usage reports by outcome.
    pub(super) usage_reports: IntCounterVec,
    /// Latency of statements by read consistency of the route.
    pub(super) latency: HistogramVec,
    /// Time that statements waited for a connection to an endpoint.
    pub(super) connection_wait: Histogram,
    /// Open client sessions.
    pub(super) sessions: IntGauge,
    /// Version of the configuration in effect.
    pub(super) catalog: IntGauge,
    /// 1 while the configuration is confirmed to be the newest one, 0 otherwise.
    pub(super) catalog_fresh: IntGauge,
    /// 1 while the lease of this host is valid, 0 otherwise.
    pub(super) lease: IntGauge,
}

impl HostMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have the same name.
    pub(super) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let options = |name: &str, help: &str| {
            HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS_S.to_vec())
        };
        let latency = HistogramVec::new(
            options("tanagerdeal_statement_seconds", "Time from a statement to its answer"),
            &["kind"],
        )?;
        registry.register(Box::new(latency.clone()))?;
        let connection_wait = Histogram::with_opts(options(
            "tanagerdeal_connection_wait_seconds",
            "Time that statements waited for a connection to an endpoint",
        ))?;
        registry.register(Box::new(connection_wait.clone()))?;
        let queue_time = HistogramVec::new(
            options("tanagerdeal_queue_seconds", "Time that statements waited at a pool host"),
            &["priority"],
        )?;
        registry.register(Box::new(queue_time.clone()))?;
        let usage_reports =
            counter("tanagerdeal_usage_reports_total", "Usage reports by outcome", &["outcome"])?;
        // A report that is not sent is rare, so the counters exist before the first one.
        for outcome in USAGE_OUTCOMES {
            usage_reports.with_label_values(&[outcome]).reset();
        }
        let admission_refusals = counter(
            "tanagerdeal_admission_refusals_total",
            "Statements that a pool host refused, by priority and reason",
            &["priority", "reason"],
        )?;
        // Refusals of the most urgent statements are rare, so they are counted from 0.
        for reason in ADMISSION_REASONS {
            let labels = ["0".to_owned(), format!("{reason:?}")];
            admission_refusals.with_label_values(&labels).reset();
        }
        Ok(Self {
            statements: counter(
                "tanagerdeal_statements_total",
                "Statements by kind of route and outcome",
                &["kind", "outcome"],
            )?,
            refusals: counter("tanagerdeal_refusals_total", "Refusals by reason", &["reason"])?,
            platform_calls: counter(
                "tanagerdeal_platform_calls_total",
                "Calls of the platform by call and outcome",
                &["call", "outcome"],
            )?,
            connections: counter(
                "tanagerdeal_connections_total",
                "Connections to endpoints by outcome",
                &["outcome"],
            )?,
            admission_refusals,
            queue_time,
            endpoints: EndpointGauges::new(&registry)?,
            forwarded: counter(
                "tanagerdeal_forwarded_total",
                "Statements for pooled endpoints by where they ran",
                &["outcome"],
            )?,
            changes: counter(
                "tanagerdeal_primary_changes_total",
                "Changes of primary by outcome",
                &["outcome"],
            )?,
            usage_reports,
            sessions: gauge("tanagerdeal_sessions", "Open sessions")?,
            catalog: gauge("tanagerdeal_catalog_version", "Configuration in effect")?,
            catalog_fresh: gauge(
                "tanagerdeal_catalog_fresh",
                "Whether the configuration was confirmed to be the newest one in time",
            )?,
            lease: gauge("tanagerdeal_lease_valid", "Whether the lease of this host holds")?,
            registry,
            latency,
            connection_wait,
        })
    }

    /// Counts a call to the platform.
    pub(super) fn count_call(&self, call: &str, outcome: &str) {
        self.platform_calls.with_label_values(&[call, outcome]).inc();
    }

    /// Records the outcome and latency of a statement.
    pub(super) fn count_statement(&self, kind: &str, outcome: &str, elapsed: Duration) {
        self.statements.with_label_values(&[kind, outcome]).inc();
        self.latency.with_label_values(&[kind]).observe(elapsed.as_secs_f64());
    }

    /// Returns the values of all counters by name and label values, for the periodic log line.
    pub(super) fn counts(&self) -> serde_json::Map<String, serde_json::Value> {
        let mut counts = serde_json::Map::new();
        for family in self.registry.gather() {
            let name = family.name().trim_start_matches("tanagerdeal_").to_owned();
            if family.get_field_type() != MetricType::COUNTER {
                continue;
            }
            for metric in family.get_metric() {
                let labels: Vec<&str> =
                    metric.get_label().iter().map(|label| label.value()).collect();
                let value = metric.get_counter().get_value() as u64;
                counts.insert(format!("{name}.{}", labels.join(".")), value.into());
            }
        }
        counts
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails when a metric cannot be encoded.
    pub(super) fn export(&self) -> prometheus::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
