//! Loans of rate-limit tokens between hosts.

use std::time::Duration;

use super::context::{HostContext, boot_now};
use super::peers::{PeerMessage, peer_address};

/// Response timeout of a lender. The round trip between the users' failure domains is 3 ms, and the
/// processor of a host may be busy for some milliseconds.
const LOAN_TIMEOUT: Duration = Duration::from_millis(40);
/// How long a host that did not respond is not asked again. Restarted hosts respond after 0.4 s,
/// and may then be the only ones that can lend.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_millis(400);

/// Lends tokens of a customer's rate to another host, and returns how many. They are deducted at
/// once.
pub(super) fn lend(host: &HostContext, customer: &str, tokens: u64) -> u64 {
    host.state.borrow_mut().lend(customer, tokens, boot_now())
}

/// Adds tokens received from a lender. The lender has deducted them, so they count even if they
/// arrive late.
pub(super) fn receive_tokens(host: &HostContext, loan: u64, customer: &str, tokens: u64) {
    if tokens > 0 {
        host.state.borrow_mut().quota.receive(customer, tokens, boot_now());
    }
    host.loans.complete(loan, tokens);
}

/// Borrows tokens of a customer's rate for this host. Returns whether it got any.
pub(super) async fn borrow(host: &HostContext, customer: &str) -> bool {
    let plan = {
        let state = host.state.borrow();
        let now = boot_now();
        let is_unresponsive = |name: &str| host.loans.is_unresponsive(name, now);
        state.quota.loan(customer, &state.share_hosts(), &state.domain, &is_unresponsive, now)
    };
    let Some(plan) = plan else { return false };
    for lender in &plan.lenders {
        let tokens = request_tokens(host, lender, customer, plan.tokens).await;
        if tokens > 0 {
            return true;
        }
    }
    host.state.borrow_mut().quota.receive(customer, 0, boot_now());
    false
}

async fn request_tokens(host: &HostContext, lender: &str, customer: &str, tokens: u64) -> u64 {
    let Some(address) = peer_address(host, lender) else { return 0 };
    let send = |loan| {
        let customer = customer.to_owned();
        host.peers.send(address, PeerMessage::RequestTokens { loan, customer, tokens })
    };
    match host.loans.request(LOAN_TIMEOUT, send).await {
        Some(tokens) => tokens,
        None => {
            host.loans.mark_unresponsive(lender, boot_now().after(UNRESPONSIVE_PAUSE));
            0
        }
    }
}
