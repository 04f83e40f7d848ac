//! Tests of a host between an unmodified client and scripted endpoints.

mod access;
mod pool;
mod protocol;
mod records;
mod requests;
mod settings;
mod support;
