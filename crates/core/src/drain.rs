//! Phases of a shutdown.

use std::time::Instant;

use crate::message::{DrainPhase, PeerCallKey};

/// Progress of the shutdown.
pub struct DrainState {
    /// Current phase.
    pub phase: DrainPhase,
    /// When the listener closes.
    pub close_at: Option<Instant>,
    /// When running requests are cut off.
    pub finish_by: Option<Instant>,
    /// When the process ends even without an answer to the handover of its shares.
    pub settle_by: Option<Instant>,
    /// Handovers without an answer.
    pub handovers: Vec<PeerCallKey>,
}

impl Default for DrainState {
    fn default() -> Self {
        Self {
            phase: DrainPhase::Serving,
            close_at: None,
            finish_by: None,
            settle_by: None,
            handovers: Vec::new(),
        }
    }
}
