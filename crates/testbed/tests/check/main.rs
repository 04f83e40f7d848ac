//! The checker: a good run has no violations, and each rule finds a run that is bad in its way.

mod bad;
mod good;
mod program;
