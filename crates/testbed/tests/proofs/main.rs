//! Proofs of the guarantees: real processes, injected failures, and a history that the checker
//! judges alone. `docs/PROOFS.md` has a row for each.

mod answers;
mod chaos;
mod configuration;
mod keys;
mod leaving;
mod limits;
mod once;
mod sessions;
mod shutdown;
mod support;
mod terms;
