//! Counters and latencies of the proxy, exported in the Prometheus text format.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use prometheus::{Encoder as _, IntCounter, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder};
use tanagerdeal_core::counter::HostCounters;
use tanagerdeal_core::statement::StatementClass;

/// Quantiles of latencies that are exported.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];
/// Greatest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of a latency.
const LATENCY_DIGITS: u8 = 2;
/// Classes of requests for which latencies are kept.
const CLASSES: [&str; 3] = ["read", "write", "transaction"];

/// Metrics of one process.
pub struct ProxyMetrics {
    registry: Registry,
    refused_startups: IntCounter,
    invalid_messages: IntCounter,
    lost_requests: IntCounter,
    latencies: Mutex<HashMap<&'static str, Histogram<u64>>>,
    quantiles: IntGaugeVec,
    counts: IntGaugeVec,
    open: IntGauge,
    idle: IntGauge,
    core: HashMap<&'static str, IntCounter>,
}

impl ProxyMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have one name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| register(&registry, IntCounter::new(name, help)?);
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help)?);
        let table = |name: &str, help: &str, labels: &[&str]| {
            register(&registry, IntGaugeVec::new(Opts::new(name, help), labels)?)
        };
        let names = HostCounters::default().entries();
        let core = names
            .into_iter()
            .map(|(name, _)| {
                let metric = format!("tanagerdeal_{name}_total");
                Ok((name, counter(&metric, "Counter of the decision core.")?))
            })
            .collect::<prometheus::Result<_>>()?;
        Ok(Self {
            refused_startups: counter(
                "tanagerdeal_refused_startups_total",
                "Client connections that ended without a session.",
            )?,
            invalid_messages: counter(
                "tanagerdeal_invalid_messages_total",
                "Sessions closed for a malformed or oversized message.",
            )?,
            lost_requests: counter(
                "tanagerdeal_lost_requests_total",
                "Requests whose endpoint connection failed or whose deadline passed.",
            )?,
            latencies: Mutex::new(empty_latencies()),
            quantiles: table(
                "tanagerdeal_latency_us",
                "Latency of requests in microseconds.",
                &["class", "quantile"],
            )?,
            counts: table("tanagerdeal_requests", "Requests answered.", &["class"])?,
            open: gauge("tanagerdeal_endpoint_connections", "Connections to endpoints.")?,
            idle: gauge("tanagerdeal_idle_connections", "Idle connections to endpoints.")?,
            core,
            registry,
        })
    }

    /// Counts a client connection that ended without a session.
    pub fn count_refused_startup(&self) {
        self.refused_startups.inc();
    }

    /// Counts a session closed for an invalid message.
    pub fn count_invalid(&self) {
        self.invalid_messages.inc();
    }

    /// Counts a request whose endpoint connection failed.
    pub fn count_lost(&self) {
        self.lost_requests.inc();
    }

    /// Notes the latency of a request.
    pub fn observe(&self, class: &StatementClass, latency: Duration) {
        let label = match class {
            StatementClass::Read => CLASSES[0],
            StatementClass::Write => CLASSES[1],
            _ => CLASSES[2],
        };
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        let mut latencies = self.latencies.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(histogram) = latencies.get_mut(label) {
            histogram.saturating_record(micros);
        }
    }

    /// All metrics as text. `connections` are the open and the idle endpoint connections.
    ///
    /// # Errors
    ///
    /// Fails when a metric cannot be encoded.
    pub fn export(
        &self,
        counters: Option<&HostCounters>,
        connections: (usize, usize),
    ) -> prometheus::Result<String> {
        let entries = counters.map(HostCounters::entries).unwrap_or_default();
        for (name, value) in entries {
            if let Some(counter) = self.core.get(name) {
                counter.inc_by(value.saturating_sub(counter.get()));
            }
        }
        self.open.set(i64::try_from(connections.0).unwrap_or(i64::MAX));
        self.idle.set(i64::try_from(connections.1).unwrap_or(i64::MAX));
        self.update_latencies();
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    fn update_latencies(&self) {
        let latencies = self.latencies.lock().unwrap_or_else(PoisonError::into_inner);
        let clamp = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        for (class, histogram) in latencies.iter() {
            self.counts.with_label_values(&[*class]).set(clamp(histogram.len()));
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let labels = [*class, &quantile.to_string()];
                self.quantiles.with_label_values(&labels).set(clamp(value));
            }
        }
    }
}

fn register<M>(registry: &Registry, metric: M) -> prometheus::Result<M>
where
    M: prometheus::core::Collector + Clone + 'static,
{
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn empty_latencies() -> HashMap<&'static str, Histogram<u64>> {
    CLASSES
        .into_iter()
        .filter_map(|class| {
            let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
            histogram.ok().map(|histogram| (class, histogram))
        })
        .collect()
}
