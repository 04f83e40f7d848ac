//! Session variables and prepared statements on pooled connections.

use googletest::prelude::*;
use tanagerdeal_core::ledger::session::{ConnectionSetup, PreparedShape, SessionSetup, SetupStep};
use tanagerdeal_core::ledger::statement::AccessMode;

fn session(values: &[(&str, &str)]) -> SessionSetup {
    let mut session = SessionSetup::default();
    values.iter().for_each(|(name, value)| session.set_value(name, value));
    session
}

fn set(name: &str, value: &str) -> SetupStep {
    SetupStep::SetValue(name.to_owned(), value.to_owned())
}

/// Guards against variables of one client that another client sees.
#[gtest]
fn values_of_another_session_are_reset() {
    let mut connection = ConnectionSetup::default();
    connection.steps(&session(&[("a", "1"), ("b", "2")]), None).iter().for_each(|step| {
        connection.note(step);
    });
    let steps = connection.steps(&session(&[("a", "1")]), None);
    expect_that!(steps, elements_are![eq(&SetupStep::Reset), eq(&set("a", "1"))]);
}

/// Guards against using a prepared statement that a reset has dropped.
#[gtest]
fn a_reset_drops_prepared_statements() {
    let shape = PreparedShape::new(AccessMode::Read, "q");
    let mut connection = ConnectionSetup::default();
    for step in connection.steps(&session(&[("a", "1")]), Some(&shape)) {
        connection.note(&step);
    }
    expect_that!(connection.steps(&session(&[("a", "1")]), Some(&shape)), is_empty());
    let steps = connection.steps(&SessionSetup::default(), Some(&shape));
    let prepare = SetupStep::Prepare(shape);
    expect_that!(steps, elements_are![eq(&SetupStep::Reset), eq(&prepare)]);
}

/// Guards against names that collide between clients: the name on a connection depends on the
/// shape, so that it never stands for two statements.
#[gtest]
fn equal_names_of_two_clients_do_not_collide() {
    let (mut left, mut right) = (SessionSetup::default(), SessionSetup::default());
    left.prepare("s1", PreparedShape::new(AccessMode::Write, "q1"));
    right.prepare("s1", PreparedShape::new(AccessMode::Write, "q2"));
    let name = |session: &SessionSetup| session.prepared("s1").unwrap().shared_name.clone();
    expect_that!(name(&left), not(eq(&name(&right))));
}

/// Guards against a statement name that outlives its deallocation.
#[gtest]
fn a_deallocated_name_is_unknown() {
    let mut session = SessionSetup::default();
    session.prepare("s1", PreparedShape::new(AccessMode::Read, "q"));
    expect_that!(session.deallocate("s1"), eq(true));
    expect_that!(session.prepared("s1"), none());
    expect_that!(session.deallocate("s1"), eq(false));
}
