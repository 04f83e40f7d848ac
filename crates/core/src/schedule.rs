//! Queues of requests that wait for an endpoint.

/// Queues by endpoint and customer.
#[derive(Default)]
pub struct QueueTable {}
