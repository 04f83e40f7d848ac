//! Phases of a shutdown.

use std::time::Instant;

use crate::message::DrainPhase;

/// Progress of the shutdown.
pub struct DrainState {
    /// Current phase.
    pub phase: DrainPhase,
    /// When the listener closes.
    pub close_at: Option<Instant>,
    /// When running requests are cut off.
    pub finish_by: Option<Instant>,
}

impl Default for DrainState {
    fn default() -> Self {
        Self { phase: DrainPhase::Serving, close_at: None, finish_by: None }
    }
}
