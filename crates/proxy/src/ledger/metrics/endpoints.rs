//! Gauges of the endpoints whose pool host this host is.

use prometheus::core::Collector;
use prometheus::{GaugeVec, IntGaugeVec, Opts, Registry};

/// What a pool host has learned about its endpoints, and the statements at them. All are labelled
/// with the endpoint and its group.
pub(in crate::ledger) struct EndpointGauges {
    /// 1 while this host is the pool host.
    pub(in crate::ledger) pool_host: IntGaugeVec,
    /// Statements that may run at once.
    pub(in crate::ledger) limit: IntGaugeVec,
    /// Statements that run.
    pub(in crate::ledger) running: IntGaugeVec,
    /// Statements that wait, by priority.
    pub(in crate::ledger) waiting: IntGaugeVec,
    /// Expected duration of a statement, in seconds.
    pub(in crate::ledger) service_time: GaugeVec,
    /// 1 for the present state of health, 0 for the others.
    pub(in crate::ledger) health: IntGaugeVec,
}

impl EndpointGauges {
    /// Creates and registers the gauges.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have the same name.
    pub(super) fn new(registry: &Registry) -> prometheus::Result<Self> {
        let of_endpoint = ["endpoint", "group"];
        let counts = |name: &str, help: &str, labels: &[&str]| {
            registered(registry, IntGaugeVec::new(Opts::new(name, help), labels)?)
        };
        let service_time = Opts::new(
            "tanagerdeal_endpoint_service_seconds",
            "Expected duration of a statement at an endpoint",
        );
        Ok(Self {
            pool_host: counts(
                "tanagerdeal_pool_host",
                "Endpoints whose pool host this host is",
                &of_endpoint,
            )?,
            limit: counts(
                "tanagerdeal_endpoint_limit",
                "Statements that may run at an endpoint at once",
                &of_endpoint,
            )?,
            running: counts(
                "tanagerdeal_endpoint_running",
                "Statements that run at an endpoint",
                &of_endpoint,
            )?,
            waiting: counts(
                "tanagerdeal_endpoint_waiting",
                "Statements that wait for an endpoint, by priority",
                &["endpoint", "group", "priority"],
            )?,
            service_time: registered(registry, GaugeVec::new(service_time, &of_endpoint)?)?,
            health: counts(
                "tanagerdeal_endpoint_health",
                "1 for the present state of health of an endpoint",
                &["endpoint", "group", "state"],
            )?,
        })
    }

    /// Removes all values.
    pub(in crate::ledger) fn reset(&self) {
        for gauge in [&self.pool_host, &self.limit, &self.running, &self.waiting, &self.health] {
            gauge.reset();
        }
        self.service_time.reset();
    }
}

fn registered<T: Collector + Clone + 'static>(
    registry: &Registry,
    gauge: T,
) -> prometheus::Result<T> {
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}
