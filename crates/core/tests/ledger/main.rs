//! Decisions of a host whose fleet coordinates through a table service alone.

mod book;
mod choice;
mod connections;
mod consent;
mod fleet;
mod floors;
mod isolation;
mod mirror;
mod renewal;
mod sessions;
mod shares;
mod support;
mod takeover;
