//! The stand-in of a database member.

mod common;
mod group;
mod sql;
