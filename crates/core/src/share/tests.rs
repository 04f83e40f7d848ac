//! Tests of base shares and loans.

mod fleet;

use std::time::{Duration, Instant};

use googletest::prelude::*;
use proptest::prelude::*;
use tanagerdeal_wire::peer::{BorrowRequest, ShareLoan, ShareResource};
use tanagerdeal_wire::{CustomerName, EndpointName, HostName};

use super::{BaseShare, LoanKind, ShareTable};
use crate::limit::CustomerRate;
use fleet::{FleetModel, FleetStep};

const RATE: CustomerRate = CustomerRate { rate_per_s: 100, burst: 50 };

fn lender_name() -> HostName {
    HostName::new("h1").unwrap()
}

fn customer() -> CustomerName {
    CustomerName::new("quarry").unwrap()
}

fn rate() -> ShareResource {
    ShareResource::CustomerRate(customer())
}

fn base(now: Instant, denominator: u64, rank: u64) -> BaseShare {
    BaseShare { numerator: 1, denominator, rank, valid_until: now + Duration::from_secs(90) }
}

fn table(now: Instant, denominator: u64, rank: u64) -> ShareTable {
    let mut shares = ShareTable::default();
    shares.set_rate(now, &customer(), RATE);
    shares.set_base(now, base(now, denominator, rank));
    shares
}

fn request(resource: ShareResource, units: u64) -> BorrowRequest {
    BorrowRequest {
        resource,
        units,
        valid_ms: 10_000,
        borrower: HostName::new("h2").unwrap(),
        incarnation: 1,
    }
}

fn take_all(shares: &mut ShareTable, now: Instant) -> usize {
    std::iter::from_fn(|| shares.take_token(now, &customer(), 0).ok()).count()
}

fn after(now: Instant, millis: u64) -> Instant {
    now + Duration::from_millis(millis)
}

/// Guards against a burst that can be used again after a restart or after a change of the base
/// share.
#[gtest]
fn new_and_raised_shares_have_no_tokens() {
    let now = Instant::now();
    let mut shares = table(now, 2, 0);
    expect_that!(take_all(&mut shares, now), eq(0));
    let full = after(now, 10_000);
    shares.set_base(full, base(full, 1, 0));
    expect_that!(take_all(&mut shares, full), eq(25));
}

/// Guards against a lender that goes on using what it lent, and against a borrower that uses a loan
/// after it expired.
#[gtest]
fn a_loan_moves_units_and_tokens_and_ends() {
    let start = Instant::now();
    let (mut lender, mut borrower) = (table(start, 2, 0), table(start, 2, 1));
    let sent = after(start, 10_000);
    let loan = lender.lend(sent, &request(rate(), 200_000));
    expect_that!((loan.units, loan.millitokens), eq((200_000, 10_000)));
    borrower.accept(after(sent, 5), &lender_name(), &loan, after(sent, 10_000));
    expect_that!(lender.held(sent, &rate()), eq(300_000));
    expect_that!(borrower.held(after(sent, 5), &rate()), eq(700_000));
    expect_that!(take_all(&mut lender, sent) + take_all(&mut borrower, sent), le(50));
    expect_that!(borrower.held(after(sent, 9_900), &rate()), eq(500_000));
    expect_that!(lender.held(after(sent, 9_999), &rate()), eq(300_000));
    expect_that!(lender.held(after(sent, 10_000), &rate()), eq(500_000));
}

/// Guards against a loan that cannot be renewed because its lender has nothing else to give, and
/// against a renewal that moves units or tokens twice.
#[gtest]
fn loans_of_one_lender_do_not_add_up() {
    let start = Instant::now();
    let (mut lender, mut borrower) = (table(start, 2, 0), table(start, 2, 1));
    let now = after(start, 10_000);
    let first = lender.lend(now, &request(rate(), 400_000));
    borrower.accept(now, &lender_name(), &first, after(now, 10_000));
    let later = after(now, 7_000);
    let second = lender.lend(later, &request(rate(), 400_000));
    expect_that!((second.units, second.millitokens), eq((400_000, 0)));
    borrower.accept(later, &lender_name(), &second, after(later, 10_000));
    expect_that!(borrower.held(later, &rate()), eq(900_000));
    expect_that!(lender.held(later, &rate()), eq(100_000));
    expect_that!(borrower.held(after(now, 12_000), &rate()), eq(900_000));
    expect_that!(lender.held(after(now, 16_999), &rate()), eq(100_000));
}

/// Guards against a lender that forgets a long loan when it grants a larger, short one, whose reply
/// the borrower may never receive.
#[gtest]
fn a_brief_loan_does_not_end_a_longer_one() {
    let now = Instant::now();
    let mut lender = table(now, 2, 0);
    lender.lend(now, &request(rate(), 100_000));
    let brief = BorrowRequest { valid_ms: 500, ..request(rate(), 300_000) };
    expect_that!(lender.lend(now, &brief).units, eq(300_000));
    expect_that!(lender.held(after(now, 499), &rate()), eq(200_000));
    expect_that!(lender.held(after(now, 500), &rate()), eq(400_000));
    let mut other = BorrowRequest { incarnation: 2, ..request(rate(), 150_000) };
    expect_that!(lender.lend(after(now, 500), &other).units, eq(150_000));
    expect_that!(lender.held(after(now, 500), &rate()), eq(250_000));
    other.borrower = HostName::new("h3").unwrap();
    lender.lend(after(now, 500), &other);
    expect_that!(lender.held(after(now, 500), &rate()), eq(100_000));
}

/// Guards against a lender that fills its bucket, after a loan has expired, for the time in which
/// the borrower filled its own.
#[gtest]
fn units_lent_fill_no_bucket_of_the_lender() {
    let start = Instant::now();
    let mut shares = table(start, 1, 0);
    shares.set_rate(start, &customer(), CustomerRate { rate_per_s: 100, burst: 5_000 });
    let loan = shares.lend(start, &request(rate(), 800_000));
    expect_that!(loan.units, eq(800_000));
    expect_that!(take_all(&mut shares, after(start, 11_000)), eq(220));
    expect_that!(take_all(&mut shares, after(start, 12_000)), eq(100));
}

/// Guards against a host that was paused until its loan and its lease had expired, and then goes on
/// with the tokens and the rate of both.
#[gtest]
fn a_paused_holder_has_neither_tokens_nor_fill_of_an_ended_share() {
    let start = Instant::now();
    let mut shares = table(start, 2, 1);
    let loan =
        ShareLoan { resource: rate(), units: 300_000, millitokens: 15_000, valid_ms: 10_000 };
    shares.accept(start, &lender_name(), &loan, after(start, 10_000));
    expect_that!(take_all(&mut shares, after(start, 20_000)), eq(25));
    expect_that!(take_all(&mut shares, after(start, 90_000)), eq(0));
    let renewed = after(start, 95_000);
    shares.set_base(renewed, base(renewed, 2, 1));
    expect_that!(take_all(&mut shares, renewed), eq(0));
}

/// Guards against the use of a loan that arrives after it expired, when the lender uses the units
/// itself.
#[gtest]
fn a_late_loan_is_not_used() {
    let start = Instant::now();
    let mut shares = table(start, 2, 1);
    let loan =
        ShareLoan { resource: rate(), units: 300_000, millitokens: 15_000, valid_ms: 10_000 };
    shares.accept(after(start, 9_950), &lender_name(), &loan, after(start, 10_000));
    expect_that!(shares.held(after(start, 9_950), &rate()), eq(500_000));
}

/// Guards against a lender that refuses its own customers because it has lent all units.
#[gtest]
fn a_lender_keeps_what_its_own_demand_needs() {
    let start = Instant::now();
    let mut shares = table(start, 2, 0);
    for millis in (0..3_000).step_by(33) {
        shares.note_demand(after(start, millis), &customer());
    }
    let now = after(start, 3_000);
    let loan = shares.lend(now, &request(rate(), 1_000_000));
    // 30 requests per second need 300,000 units, and half as much again is kept.
    expect_that!(loan.units, all!(ge(20_000), le(90_000)));
    let mut idle = table(start, 2, 0);
    let loan = idle.lend(now, &request(rate(), 1_000_000));
    expect_that!(loan.units, eq(500_000 - 500_000 / 8));
}

/// Guards against a share that stays too small for one request because a host with little traffic
/// has too little demand to borrow, and against long loans that withhold the units from the hosts
/// at which the next requests arrive.
#[gtest]
fn little_traffic_borrows_for_a_moment() {
    let now = Instant::now();
    let mut shares = ShareTable::default();
    shares.set_rate(now, &customer(), CustomerRate { rate_per_s: 10, burst: 4 });
    shares.set_base(now, base(now, 9, 0));
    shares.note_demand(now, &customer());
    let need = shares.rate_shortage(now, Duration::from_secs(3), &customer()).unwrap();
    let enough = 312_500 - 111_111;
    expect_that!((need.units, need.kind), eq((enough, LoanKind::Brief)));
    let mut lender = table(now, 9, 1);
    lender.set_rate(now, &customer(), CustomerRate { rate_per_s: 10, burst: 4 });
    let brief = BorrowRequest { valid_ms: 500, ..request(rate(), enough) };
    let loan = lender.lend(now, &brief);
    expect_that!((loan.units, loan.valid_ms), eq((111_111, 500)));
    expect_that!(lender.held(after(now, 500), &rate()), eq(111_111));
}

/// Guards against demand that is noticed only after the share is used up.
#[gtest]
fn demand_near_the_share_is_borrowed_for_long() {
    let now = Instant::now();
    let mut shares = table(now, 9, 0);
    expect_that!(shares.shortages(now, Duration::from_secs(3)), is_empty());
    for millis in (0..2_000).step_by(80) {
        shares.note_demand(after(now, millis), &customer());
    }
    let needs = shares.shortages(after(now, 2_000), Duration::from_secs(3));
    expect_that!(needs.len(), eq(1));
    expect_that!(needs[0].kind, eq(LoanKind::Lasting));
    expect_that!(needs[0].units, all!(ge(10_000), le(100_000)));
}

/// Guards against a host that adopts a new share view although units it has lent, or connections in
/// use, do not fit.
#[gtest]
fn loans_and_connections_in_use_must_fit_a_new_view() {
    let now = Instant::now();
    let mut shares = table(now, 2, 0);
    let endpoint = EndpointName::new("e1").unwrap();
    shares.note_connections(now, &endpoint, 20, (0, 0));
    expect_true!(shares.loans_fit(now, &base(now, 4, 0)));
    shares.note_connections(now, &endpoint, 20, (9, 9));
    expect_false!(shares.loans_fit(now, &base(now, 4, 0)));
    shares.note_connections(now, &endpoint, 20, (1, 1));
    let loan = shares.lend(now, &request(rate(), 300_000));
    expect_that!(loan.units, eq(300_000));
    expect_false!(shares.loans_fit(now, &base(now, 4, 0)));
    expect_true!(shares.loans_fit(after(now, 10_000), &base(now, 4, 0)));
    shares.set_lending(false);
    expect_that!(shares.lend(now, &request(rate(), 1)).units, eq(0));
}

/// Guards against connections that are assigned twice when the views of failure domains differ in
/// size.
#[gtest]
fn connections_dealt_out_sum_up_to_the_total() {
    let now = Instant::now();
    let sizes = [[3, 3, 3], [3, 1, 2], [1, 5, 4]];
    for (total, hosts) in (1..40).flat_map(|total| sizes.map(|hosts| (total, hosts))) {
        let endpoint = EndpointName::new(&format!("e{total}")).unwrap();
        let mut assigned = 0;
        for (domain, hosts) in (0..3).zip(hosts) {
            for rank in domain * hosts..(domain + 1) * hosts {
                let rank_in_fleet = domain + 3 * (rank - domain * hosts);
                assigned += base(now, 3 * hosts, rank_in_fleet).connections(&endpoint, total);
            }
        }
        expect_that!(assigned, eq(u64::from(total)), "{total} connections, hosts {hosts:?}");
    }
}

/// Guards against a larger base share that adds tokens for the time before it took effect.
#[gtest]
fn a_raised_share_fills_from_then_on() {
    let start = Instant::now();
    let mut shares = table(start, 4, 0);
    let later = after(start, 1_000);
    shares.set_base(later, base(later, 1, 0));
    // A second at a quarter of 100 requests per second, of which the capacity of 12.5 is kept.
    expect_that!(take_all(&mut shares, later), eq(12));
    let mut renewed = table(start, 4, 0);
    renewed.set_rate(start, &customer(), CustomerRate { rate_per_s: 100, burst: 5_000 });
    renewed.set_base(later, base(later, 1, 0));
    expect_that!(take_all(&mut renewed, later), eq(25));
}

/// Guards against a share that is used both by the host that left and by the one that took it over.
#[gtest]
fn a_handed_over_share_is_gone() {
    let now = Instant::now();
    let mut shares = table(now, 2, 0);
    let later = after(now, 10_000);
    let lent = shares.lend(later, &request(rate(), 100_000));
    let loans = shares.hand_over(later);
    expect_that!(loans.iter().map(|loan| loan.units).sum::<u64>() + lent.units, eq(500_000));
    expect_that!(shares.held(later, &rate()), eq(0));
    expect_that!(take_all(&mut shares, later), eq(0));
    expect_that!(shares.lend(later, &request(rate(), 1)).units, eq(0));
}

/// Guards against a host that goes on using a rate after it was lowered, and against a raised rate
/// that gives a burst.
#[gtest]
fn a_changed_rate_is_in_effect_at_once() {
    let now = Instant::now();
    let mut shares = table(now, 1, 0);
    let full = after(now, 10_000);
    shares.set_rate(full, &customer(), CustomerRate { rate_per_s: 1, burst: 2 });
    expect_that!(take_all(&mut shares, full), eq(2));
    shares.set_rate(full, &customer(), RATE);
    expect_that!(take_all(&mut shares, full), eq(0));
    expect_that!(take_all(&mut shares, after(full, 100)), eq(10));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(20), ..ProptestConfig::default() })]

    /// Guards against hosts that together exceed a rate, a burst or a connection limit, for any
    /// sequence of loans, of lost, late or duplicate messages, and of pauses, restarts and view
    /// changes.
    #[test]
    fn hosts_together_never_exceed_rate_burst_and_connections(
        burst in prop_oneof![Just(40), Just(400)],
        steps in prop::collection::vec(fleet::any_step(), 1..250),
    ) {
        // A burst of 20 s of the rate is never full, so that any surplus token shows.
        let mut fleet = FleetModel::new(4, CustomerRate { rate_per_s: 20, burst });
        for step in steps {
            fleet.run(&step);
            fleet.check()?;
        }
    }

    /// The same property for tokens lent for a single request, with a bucket that fills so fast
    /// that each token counted twice shows.
    #[test]
    fn hosts_together_never_exceed_a_burst_that_fills_at_once(
        steps in prop::collection::vec(fleet::any_step(), 1..250),
    ) {
        let mut fleet = FleetModel::new(4, CustomerRate { rate_per_s: 400, burst: 40 });
        for step in steps {
            fleet.run(&step);
            fleet.check()?;
        }
    }
}

/// Guards against a lender that collects tokens again while the borrower can still use those lent,
/// against a lender that loses rate by lending tokens, and against borrowed tokens that can be used
/// after the loan expired.
#[gtest]
fn tokens_lent_leave_their_capacity_until_they_end() {
    let start = Instant::now();
    let (mut lender, mut borrower) = (table(start, 2, 0), table(start, 2, 1));
    let now = after(start, 10_000);
    expect_that!(take_all(&mut lender, after(now, 0)), eq(25));
    let now = after(now, 10_000);
    let brief = BorrowRequest { valid_ms: 300, ..request(rate(), 200_000) };
    let loan = lender.lend(now, &brief);
    expect_that!((loan.units, loan.millitokens), eq((0, 10_000)));
    expect_that!(lender.held(now, &rate()), eq(500_000));
    // The share of 50 tokens per second is full after 15 of 25 tokens.
    expect_that!(take_all(&mut lender, after(now, 299)), eq(15));
    expect_that!(take_all(&mut lender, after(now, 399)), eq(5));
    take_all(&mut borrower, now);
    borrower.accept(now, &lender_name(), &loan, after(now, 300));
    expect_that!(take_all(&mut borrower, now), eq(10));
    expect_that!(take_all(&mut borrower, after(now, 10_000)), eq(25));
    let loan = ShareLoan { millitokens: 9_000, ..loan };
    borrower.accept(after(now, 20_000), &lender_name(), &loan, after(now, 20_300));
    expect_that!(take_all(&mut borrower, after(now, 20_270)), eq(25));
}

/// Guards against hosts that get no tokens while a view changes, and against lent tokens that do
/// not fit the next view, which other hosts may already use.
#[gtest]
fn tokens_are_lent_while_a_view_changes() {
    let start = Instant::now();
    let mut shares = table(start, 2, 0);
    let now = after(start, 10_000);
    let loan = ShareLoan { resource: rate(), units: 400_000, millitokens: 0, valid_ms: 10_000 };
    shares.accept(now, &lender_name(), &loan, after(now, 10_000));
    let now = after(now, 5_000);
    shares.set_lending(false);
    shares.set_base(now, base(now, 4, 0));
    let brief = BorrowRequest { valid_ms: 300, ..request(rate(), 1_000_000) };
    let lent = shares.lend(now, &brief);
    expect_that!((lent.units, lent.millitokens), eq((0, 12_500)));
    expect_true!(shares.loans_fit(now, &base(now, 4, 0)));
    expect_false!(shares.loans_fit(now, &base(now, 5, 0)));
    expect_true!(shares.loans_fit(after(now, 300), &base(now, 5, 0)));
}

/// Guards against a model that never lends or serves anything, for which the properties above would
/// hold with any code.
#[gtest]
fn the_model_lends_and_serves() {
    let mut fleet = FleetModel::new(4, CustomerRate { rate_per_s: 20, burst: 40 });
    fleet.run(&FleetStep::Advance(10_000));
    fleet.run(&FleetStep::Ask { from: 1, to: 0, units: 200_000, valid_ms: 10_000, is_rate: true });
    fleet.run(&FleetStep::Deliver(0));
    fleet.run(&FleetStep::Deliver(0));
    fleet.run(&FleetStep::Take { host: 1, requests: 100 });
    // Its own 10 tokens, and as many as 200,000 units of the burst can hold.
    expect_that!(fleet.served(), eq(18));
    expect_that!(fleet.check(), ok(anything()));
}
