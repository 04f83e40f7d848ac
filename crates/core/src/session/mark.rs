//! Watermarks of a session.

use tanagerdeal_wire::member::LogPosition;
use tanagerdeal_wire::value_type;

/// Groups that fit into a session token with the longest names.
pub(crate) const MAX_MARKS: usize = 64;

value_type! {
    /// Least position that the session's reads of a group must contain.
    #[derive(Copy, Default)]
    pub(crate) struct GroupMark {
        pub(crate) position: LogPosition,
        /// Whether the position covers everything the client may have written before; a position
        /// that was only read at an age does not.
        pub(crate) is_adopted: bool,
        /// Whether a lost write has not been reported to the client yet.
        pub(crate) is_lost: bool,
    }
}

impl GroupMark {
    /// Raises the mark to a position that is known to contain it.
    pub(crate) fn raise(&mut self, position: LogPosition) {
        self.position = self.position.max(position);
    }

    /// Raises the mark to a position of a token, a confirmed commit, or a confirmed primary.
    pub(crate) fn adopt(&mut self, position: LogPosition) {
        self.raise(position);
        self.is_adopted = true;
    }
}
