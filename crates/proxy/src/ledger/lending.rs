//! Loans of single tokens between hosts.

use std::time::Duration;

use super::context::{HostContext, boot_now};
use super::peers::{PeerMessage, address_of};

/// Time that a lender has to answer; the failure domains of the users are 3 ms apart there and
/// back, and the processor of a host may be busy for some milliseconds.
const LOAN_LIMIT: Duration = Duration::from_millis(40);
/// Time for which a host that did not answer is not asked again. Hosts that are started again answer
/// after 0.4 s, and then are the only ones that lend.
const SILENT_PAUSE: Duration = Duration::from_millis(400);

/// Tokens that another host gets of a customer's rate; they are gone from this one at once.
pub(super) fn lend(host: &HostContext, customer: &str, tokens: u64) -> u64 {
    let now = boot_now();
    let mut book = host.book.borrow_mut();
    match book.lease.is_valid(now) {
        true => book.quota.lend(customer, tokens, now),
        false => 0,
    }
}

/// Takes over tokens that a lender gives. It has given them up, so they count also when they come
/// late.
pub(super) fn take(host: &HostContext, loan: u64, customer: &str, tokens: u64) {
    if tokens > 0 {
        host.book.borrow_mut().quota.receive(customer, tokens, boot_now());
    }
    host.loans.complete(loan, tokens);
}

/// Borrows tokens of a customer's rate for this host. Returns whether it got any.
pub(super) async fn borrow(host: &HostContext, customer: &str) -> bool {
    let plan = {
        let book = host.book.borrow();
        let now = boot_now();
        let is_silent = |name: &str| host.loans.is_silent(name, now);
        book.quota.loan(customer, &book.share_hosts(), &book.domain, &is_silent, now)
    };
    let Some(plan) = plan else { return false };
    for lender in &plan.lenders {
        let tokens = ask(host, lender, customer, plan.tokens).await;
        if tokens > 0 {
            return true;
        }
    }
    host.book.borrow_mut().quota.receive(customer, 0, boot_now());
    false
}

async fn ask(host: &HostContext, lender: &str, customer: &str, tokens: u64) -> u64 {
    let Some(address) = address_of(host, lender) else { return 0 };
    let question = |loan| {
        let customer = customer.to_owned();
        host.peers.send(address, PeerMessage::Ask { loan, customer, tokens })
    };
    match host.loans.ask(LOAN_LIMIT, question).await {
        Some(tokens) => tokens,
        None => {
            host.loans.note_silent(lender, boot_now().after(SILENT_PAUSE));
            0
        }
    }
}
