//! Time stamps that the processes of one machine can compare.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds since the Unix epoch, rising monotonically within a process.
///
/// The system clock is read once per process; later steps of it have no effect.
///
/// ```
/// use tanagerdeal_testbed::clock::now_us;
///
/// let first = now_us();
/// assert!(now_us() >= first);
/// ```
pub fn now_us() -> u64 {
    static START: OnceLock<(Instant, u64)> = OnceLock::new();
    let (instant, epoch_us) = START.get_or_init(|| {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (Instant::now(), elapsed.as_micros() as u64)
    });
    epoch_us + instant.elapsed().as_micros() as u64
}
