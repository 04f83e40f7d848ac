//! Tests of a host between an unmodified client and scripted endpoints.

mod access;
mod batches;
mod pool;
mod process;
mod protocol;
mod records;
mod requests;
mod sessions;
mod settings;
mod support;
