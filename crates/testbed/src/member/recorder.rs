//! Record of every byte received on the SQL port.

use std::sync::{Arc, Mutex, PoisonError};

use tanagerdeal_wire::wire_type;

/// Most bytes kept in total; beyond it the record is marked as incomplete.
const MAX_BYTES: usize = 256 * 1024 * 1024;

wire_type! {
    /// Body of `POST /control/search`.
    pub struct SearchRequest {
        /// Texts to look for.
        pub needles: Vec<String>,
    }

    /// Answer to `POST /control/search`.
    pub struct SearchReply {
        /// Occurrences of each needle.
        pub counts: Vec<u64>,
        /// Bytes searched.
        pub bytes: u64,
        /// Whether all bytes received were kept.
        pub complete: bool,
    }
}

/// Bytes received, by connection, so that a needle is found across reads.
#[derive(Clone, Default)]
pub(super) struct ByteRecorder(Arc<Mutex<RecordedBytes>>);

#[derive(Default)]
struct RecordedBytes {
    connections: Vec<Vec<u8>>,
    total: usize,
    overflowed: bool,
}

/// The record of one connection.
pub(super) struct ByteRecord {
    recorder: ByteRecorder,
    index: usize,
}

impl ByteRecorder {
    pub(super) fn open(&self) -> ByteRecord {
        let mut recorded = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        recorded.connections.push(Vec::new());
        ByteRecord { recorder: self.clone(), index: recorded.connections.len() - 1 }
    }

    pub(super) fn search(&self, request: &SearchRequest) -> SearchReply {
        let recorded = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = request.needles.iter().map(|needle| {
            let found = recorded.connections.iter().map(|bytes| count(bytes, needle.as_bytes()));
            found.sum()
        });
        SearchReply {
            counts: counts.collect(),
            bytes: recorded.total as u64,
            complete: !recorded.overflowed,
        }
    }
}

impl ByteRecord {
    pub(super) fn append(&self, bytes: &[u8]) {
        let mut recorded = self.recorder.0.lock().unwrap_or_else(PoisonError::into_inner);
        match recorded.total + bytes.len() <= MAX_BYTES {
            true => {
                recorded.total += bytes.len();
                recorded.connections[self.index].extend_from_slice(bytes);
            }
            false => recorded.overflowed = true,
        }
    }
}

fn count(bytes: &[u8], needle: &[u8]) -> u64 {
    if needle.is_empty() {
        return 0;
    }
    bytes.windows(needle.len()).filter(|window| *window == needle).count() as u64
}
