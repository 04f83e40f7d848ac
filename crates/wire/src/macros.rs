//! Macros that give the project's types one common set of derives.

/// Derives `Clone`, `Debug`, `Eq` and `PartialEq` on the given items.
///
/// ```
/// tanagerdeal_wire::value_type! {
///     /// A point in a log.
///     pub struct LogPoint {
///         /// Offset in records.
///         pub offset: u64,
///     }
/// }
/// assert_eq!(LogPoint { offset: 1 }, LogPoint { offset: 1 }.clone());
/// ```
#[macro_export]
macro_rules! value_type {
    ($($item:item)+) => {
        $(#[derive(Clone, Debug, Eq, PartialEq)] $item)+
    };
}

/// Derives `Copy`, `Hash`, `Ord` and `PartialOrd` in addition to the set of [`value_type!`].
///
/// ```
/// tanagerdeal_wire::scalar_type! {
///     /// A revision.
///     pub struct Revision(pub u64);
/// }
/// assert!(Revision(1) < Revision(2));
/// ```
#[macro_export]
macro_rules! scalar_type {
    ($($item:item)+) => {
        $(#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)] $item)+
    };
}

/// Derives the set of [`value_type!`] and serde's `Serialize` and `Deserialize`.
///
/// The calling crate needs `serde` among its dependencies.
///
/// ```
/// tanagerdeal_wire::wire_type! {
///     /// A greeting.
///     pub struct Greeting {
///         /// The text.
///         pub text: String,
///     }
/// }
/// let greeting: Greeting = serde_json::from_str(r#"{"text":"hi"}"#).unwrap();
/// assert_eq!(greeting.text, "hi");
/// ```
#[macro_export]
macro_rules! wire_type {
    ($($item:item)+) => {
        $(#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)] $item)+
    };
}
