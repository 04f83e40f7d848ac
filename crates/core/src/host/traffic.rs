//! Handling of client sessions and their requests.

mod admit;
mod connections;
mod dispatch;
mod finish;
mod loans;
mod open;
mod place;
mod rights;
mod settings;
#[cfg(test)]
mod tests;

use std::time::Instant;

use super::HostState;
use crate::message::caller::{CallerAnswer, CallerCall};
use crate::message::{CallTag, HostOutput};
use crate::verdict::RequestRefusal;

pub(super) fn handle_call(
    state: &mut HostState,
    now: Instant,
    tag: CallTag,
    call: CallerCall,
    outputs: &mut Vec<HostOutput>,
) {
    match call {
        CallerCall::AskRoute { database } => {
            let open = rights::is_open_route(state, &database);
            outputs.push(HostOutput::AnswerCaller(tag, CallerAnswer::RouteFound { open }));
        }
        CallerCall::OpenSession(opening) => {
            let answer = open::open_session(state, now, opening);
            outputs.push(HostOutput::AnswerCaller(tag, answer));
        }
        CallerCall::ChangeSetting { session, name, value } => {
            let answer = settings::change_setting(state, session, &name, &value);
            outputs.push(HostOutput::AnswerCaller(tag, answer));
        }
        CallerCall::ShowSetting { session, name } => {
            let answer = settings::show_setting(state, session, &name);
            outputs.push(HostOutput::AnswerCaller(tag, answer));
        }
        CallerCall::PlaceRequest { session, class, is_retry } => {
            place::place_request(state, now, tag, session, (class, is_retry), outputs);
        }
        CallerCall::AbandonRequest { session } => place::abandon_request(state, session),
        CallerCall::CheckRead { dispatch, position } => {
            let answer = finish::check_read(state, dispatch, position);
            outputs.push(HostOutput::AnswerCaller(tag, answer));
        }
        CallerCall::ConfirmCommit { dispatch, position } => {
            finish::confirm_commit(state, now, tag, dispatch, position, outputs);
        }
        CallerCall::EndRequest { dispatch, ending, seen, in_transaction } => {
            finish::end_request(state, now, dispatch, (ending, seen, in_transaction), outputs);
        }
        CallerCall::CloseSession { session } => finish::close_session(state, now, session),
    }
}

/// Closes sessions that are no longer authorized and refuses waiting requests that cannot be served
/// in time.
pub(super) fn run_systems(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    rights::close_sessions(state, now, outputs);
    admit::refuse_late_token_waits(state, now, outputs);
    admit::shed_late_requests(state, now, outputs);
}

/// Applies changed shares and connection limits, answers confirmed commits, and places waiting
/// requests that can run now.
pub(super) fn wake_waiters(state: &mut HostState, now: Instant, outputs: &mut Vec<HostOutput>) {
    if state.shares.take_due(now) {
        admit::update_customer_rates(state, now);
        connections::update_limits(state, now, outputs);
        loans::borrow(state, now, outputs);
    }
    finish::process_confirmations(state, now, outputs);
    admit::grant_tokens(state, now, outputs);
    dispatch::place_waiting(state, now, outputs);
}

/// Answers a call with a refusal.
fn refuse(outputs: &mut Vec<HostOutput>, tag: CallTag, refusal: RequestRefusal) {
    outputs.push(HostOutput::AnswerCaller(tag, CallerAnswer::Refused(refusal)));
}
