//! Helpers of the control APIs.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Replaces the fields of a value that a JSON object names.
pub(crate) fn merge_fields<T>(current: &T, change: Value) -> serde_json::Result<T>
where
    T: Serialize + DeserializeOwned,
{
    let mut merged = serde_json::to_value(current)?;
    if let (Value::Object(fields), Value::Object(change)) = (&mut merged, change) {
        fields.extend(change);
    }
    serde_json::from_value(merged)
}
