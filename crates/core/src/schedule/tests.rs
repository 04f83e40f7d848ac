//! Tests of the order of service.
