//! Client sessions.

use tanagerdeal_wire::CustomerName;

/// Sessions by key.
#[derive(Default)]
pub struct SessionTable {}

impl SessionTable {
    /// Requests and transactions that have not ended, including those that wait for an endpoint.
    pub fn running(&self) -> usize {
        0
    }

    /// Open sessions of a customer.
    pub fn count(&self, _customer: &CustomerName) -> u32 {
        0
    }
}
