//! Order of service between levels of priority.

use std::collections::BTreeMap;

use tanagerdeal_wire::{scalar_type, value_type};

/// Starts in order of priority after which one start goes to a lower level that was passed over as
/// often. At full load, the lower levels together get one start in `FLOOR_STARTS + 1`.
pub(super) const FLOOR_STARTS: u32 = 32;

scalar_type! {
    /// Place of a statement in the order of service; lower ones go first.
    pub(super) struct ServiceLevel {
        /// False for a statement of an open transaction.
        pub(super) is_new: bool,
        /// Priority of the route.
        pub(super) priority: u8,
    }
}

value_type! {
    /// What determines the next level to serve. A copy of it shows the turns to come.
    #[derive(Default)]
    pub(super) struct TurnTable {
        levels: BTreeMap<ServiceLevel, LevelTurn>,
        /// Starts in order of priority since the last one out of order.
        in_order: u32,
    }

    #[derive(Default)]
    struct LevelTurn {
        waiting: usize,
        /// New statements of more urgent levels that were started since this level wanted service.
        passed_over: u32,
        /// Whether a statement was refused since the last start.
        is_refused: bool,
    }
}

impl TurnTable {
    pub(super) fn add(&mut self, level: ServiceLevel) {
        self.levels.entry(level).or_default().waiting += 1;
    }

    pub(super) fn remove(&mut self, level: ServiceLevel) {
        if let Some(turn) = self.levels.get_mut(&level) {
            turn.waiting = turn.waiting.saturating_sub(1);
        }
    }

    /// Records a refusal, so that a level whose statements don't wait for long comes to its turn.
    pub(super) fn note_refused(&mut self, level: ServiceLevel) {
        self.levels.entry(level).or_default().is_refused = true;
    }

    /// Statements that wait, by level.
    pub(super) fn waiting(&self) -> impl DoubleEndedIterator<Item = (ServiceLevel, usize)> + '_ {
        let levels = self.levels.iter().map(|(level, turn)| (*level, turn.waiting));
        levels.filter(|(_, waiting)| *waiting > 0)
    }

    /// Number of starts after which a level is served at the latest.
    pub(super) fn starts_to_floor(&self, level: ServiceLevel) -> u32 {
        let passed_over = self.levels.get(&level).map_or(0, |turn| turn.passed_over);
        FLOOR_STARTS.saturating_sub(passed_over)
    }

    /// Removes one statement from the level whose turn it is.
    pub(super) fn take_next(&mut self) -> Option<ServiceLevel> {
        let (first, _) = self.waiting().next()?;
        let owed = self.owed_level().filter(|_| first.is_new && self.in_order >= FLOOR_STARTS);
        let chosen = owed.unwrap_or(first);
        self.in_order = match chosen == first {
            true => self.in_order.saturating_add(1),
            false => 0,
        };
        for (level, turn) in self.levels.range_mut(chosen..) {
            match *level == chosen {
                true => *turn = LevelTurn { waiting: turn.waiting - 1, ..LevelTurn::default() },
                false if chosen.is_new && (turn.waiting > 0 || turn.is_refused) => {
                    turn.passed_over = turn.passed_over.saturating_add(1);
                }
                false => {}
            }
        }
        Some(chosen)
    }

    /// The waiting level that was passed over most often, and at least [`FLOOR_STARTS`] times.
    fn owed_level(&self) -> Option<ServiceLevel> {
        let owed = self
            .levels
            .iter()
            .filter(|(_, turn)| turn.waiting > 0 && turn.passed_over >= FLOOR_STARTS);
        owed.max_by_key(|(_, turn)| turn.passed_over).map(|(level, _)| *level)
    }
}
