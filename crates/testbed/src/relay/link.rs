//! Faults of directed links between failure domains.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng as _;
use rand::rngs::SmallRng;
use tanagerdeal_wire::wire_type;

/// Delay that a lost segment adds to a byte stream: the least retransmission timeout of Linux.
const RETRANSMISSION: Duration = Duration::from_millis(200);

wire_type! {
    /// Faults of one direction of a link.
    #[derive(Copy, Default)]
    #[serde(default)]
    pub struct LinkFaults {
        /// One-way delay in microseconds.
        pub delay_us: u64,
        /// Nothing passes.
        pub cut: bool,
        /// Packets lost, in percent.
        pub loss_percent: u8,
    }

    /// Faults of the link from one failure domain to another.
    pub struct LinkRule {
        /// Domain that sends.
        pub from: String,
        /// Domain that receives.
        pub to: String,
        /// The faults.
        #[serde(flatten)]
        pub faults: LinkFaults,
    }
}

/// What happens to one packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Transit {
    pub(super) delay: Duration,
    pub(super) lost: bool,
}

impl Transit {
    /// Delay of a part of a byte stream, where a loss costs a retransmission.
    pub(super) fn stream_delay(self) -> Duration {
        if self.lost { self.delay + RETRANSMISSION } else { self.delay }
    }
}

/// Faults by sending and receiving domain; links without a rule have none.
#[derive(Default)]
pub(super) struct LinkTable {
    faults: BTreeMap<(String, String), LinkFaults>,
}

impl LinkTable {
    pub(super) fn set(&mut self, rule: LinkRule) {
        self.faults.insert((rule.from, rule.to), rule.faults);
    }

    pub(super) fn faults(&self, from: &str, to: &str) -> LinkFaults {
        let faults = self.faults.get(&(from.to_owned(), to.to_owned()));
        faults.copied().unwrap_or_default()
    }

    pub(super) fn transit(&self, from: &str, to: &str, random: &mut SmallRng) -> Transit {
        let faults = self.faults(from, to);
        let lost = faults.loss_percent > 0 && random.random_range(0..100) < faults.loss_percent;
        Transit { delay: Duration::from_micros(faults.delay_us), lost: lost || faults.cut }
    }

    pub(super) fn rules(&self) -> Vec<LinkRule> {
        let rules = self.faults.iter().map(|((from, to), faults)| LinkRule {
            from: from.clone(),
            to: to.clone(),
            faults: *faults,
        });
        rules.collect()
    }
}
