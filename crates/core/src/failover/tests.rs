//! Tests of agreement, suspicion, fencing and the choice of watchers.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use tanagerdeal_wire::member::{LogPosition, MemberRole, MemberStatus, TermReply, TermRequest};
use tanagerdeal_wire::{DomainName, EndpointName, GroupName, HostName};

use super::watchers::choose_watchers;
use super::{GroupWatch, PeerView, PhaseOutcome, Promotion, PromotionPhase, is_agreed};
use crate::message::EndpointKey;

fn domain(name: &str) -> DomainName {
    DomainName::new(name).unwrap()
}

/// Hosts named `<domain><number>`. Those with a capital letter suspect the primary.
fn view(hosts: &[&str]) -> PeerView {
    let entry = |host: &str| {
        let name = host.to_lowercase();
        (HostName::new(&name).unwrap(), domain(&name[..1]))
    };
    let suspects = hosts.iter().filter(|host| host.starts_with(char::is_uppercase));
    PeerView {
        hosts: hosts.iter().map(|host| entry(host)).collect(),
        suspects: suspects.map(|host| entry(host)).collect(),
    }
}

fn agreed(member_domains: &[&str], hosts: &[&str]) -> bool {
    let domains: Vec<_> = member_domains.iter().map(|name| domain(name)).collect();
    let domains: BTreeSet<_> = domains.iter().collect();
    is_agreed(&domain("a"), &view(hosts), &domains)
}

/// Guards against a failover that only one failure domain agrees to, and against one that needs the
/// agreement of hosts in the failure domain that failed together with the primary.
#[gtest]
fn majority_of_the_members_domains_must_agree() {
    let members = ["a", "b", "c"];
    assert_that!(agreed(&members, &["B1", "c1"]), eq(true));
    assert_that!(agreed(&members, &["b1", "c1"]), eq(false));
    assert_that!(agreed(&members, &["A2", "A3", "b1", "c1"]), eq(false));
    assert_that!(agreed(&members, &["B1"]), eq(true), "failure domain c is not heard from");
    assert_that!(agreed(&members, &[]), eq(false), "alone in one of three failure domains");
}

/// Guards against a single host with a faulty network link that decides for its failure domain.
#[gtest]
fn failure_domain_agrees_when_half_of_its_hosts_do() {
    let members = ["a", "b", "c"];
    assert_that!(agreed(&members, &["B1", "b2", "b3", "c1", "c2"]), eq(false));
    assert_that!(agreed(&members, &["B1", "B2", "b3", "c1", "c2"]), eq(true));
    assert_that!(agreed(&members, &["a2", "a3", "B1", "B2", "c1"]), eq(false), "a: one of three");
}

/// Guards against a group that cannot fail over because its members' failure domains have no hosts.
#[gtest]
fn all_domains_heard_from_may_agree_instead() {
    assert_that!(agreed(&["x", "y", "z"], &["B1", "C1", "D1"]), eq(true));
    assert_that!(agreed(&["x", "y", "z"], &["B1", "C1"]), eq(false), "3 of 6 failure domains");
}

/// Guards against a suspicion that flaps when every second packet is lost.
#[gtest]
fn suspicion_is_cleared_by_three_probes_only() {
    let start = Instant::now();
    let interval = Duration::from_millis(250);
    let at = |step: u32| start + interval * step;
    let mut watch = GroupWatch::default();
    watch.update_suspicion(start, 1, true, None, interval);
    for (step, is_failed, holds) in [
        (1, false, true),
        (2, false, true),
        (3, true, true),
        (4, false, true),
        (5, false, true),
        (6, false, false),
    ] {
        watch.update_suspicion(at(step), 1, is_failed, Some(at(step)), interval);
        assert_that!(watch.suspicion.is_some(), eq(holds), "step {step}");
    }
}

/// Guards against a suspicion that outlasts the term of the suspected primary.
#[gtest]
fn suspicion_ends_with_its_term() {
    let now = Instant::now();
    let mut watch = GroupWatch::default();
    watch.update_suspicion(now, 1, true, None, Duration::ZERO);
    watch.update_suspicion(now, 2, false, None, Duration::ZERO);
    assert_that!(watch.suspicion.is_some(), eq(false));
}

/// A promotion of a group of three members after these replies to its fence, one per member.
fn fencing(now: Instant, answers: &[bool]) -> Promotion {
    let request = TermRequest { term: 2, promoter: "h".to_owned() };
    let mut promotion = Promotion::new(now, request, PromotionPhase::Fencing);
    for (number, granted) in (1..).zip(answers) {
        let status = MemberStatus {
            group: GroupName::new("g").unwrap(),
            member: EndpointName::new(&format!("m{number}")).unwrap(),
            role: MemberRole::Fenced,
            promised_term: 2,
            received: LogPosition::default(),
            applied: LogPosition::default(),
            term_history: Vec::new(),
            connections: 0,
            running: 0,
        };
        let endpoint = EndpointKey::from(slotmap::KeyData::from_ffi((1 << 32) | number));
        promotion.record_fence_reply(now, endpoint, TermReply { granted: *granted, status });
    }
    promotion
}

/// Guards against a promoter that gives up although its grant keeps others from winning the term,
/// and against one that supersedes a promoter which may have won.
#[gtest]
fn only_a_promoter_that_holds_a_grant_tries_another_term() {
    let now = Instant::now();
    let outcome = |answers: &[bool], reachable| fencing(now, answers).outcome(now, 2, reachable);
    assert_that!(outcome(&[true, false], 2), eq(PhaseOutcome::Split));
    assert_that!(outcome(&[true, false], 3), eq(PhaseOutcome::Pending), "the third may grant");
    assert_that!(outcome(&[true, false, false], 3), eq(PhaseOutcome::Split));
    assert_that!(outcome(&[false, false], 2), eq(PhaseOutcome::Failed));
    assert_that!(outcome(&[true, true], 3), eq(PhaseOutcome::Pending));
    assert_that!(fencing(now, &[true, false]).other_may_hold_majority(2), eq(false));
    assert_that!(fencing(now, &[true, false, false]).other_may_hold_majority(2), eq(true));
}

/// Guards against a promoter that gives up because the reply that reports its grant was lost, and
/// against one that waits for that reply without limit.
#[gtest]
fn refused_promoter_asks_the_rest_again_before_it_gives_up() {
    let now = Instant::now();
    let promotion = fencing(now, &[false]);
    assert_that!(
        promotion.outcome(now + Duration::from_millis(150), 2, 2),
        eq(PhaseOutcome::Pending)
    );
    let late = now + Duration::from_millis(250);
    assert_that!(promotion.outcome(late, 2, 2), eq(PhaseOutcome::Failed));
}

/// Guards against watchers outside the failure domains that have to agree, and against replacing
/// all watchers when one of them dies.
#[gtest]
fn watchers_are_in_the_members_domains_and_seldom_change() {
    let host = |number: usize| {
        (HostName::new(&format!("h{number}")).unwrap(), domain(&format!("d{}", number % 11)))
    };
    let hosts: Vec<_> = (0..110).map(host).collect();
    let domains = [domain("d1"), domain("d4"), domain("d7")];
    let domains: BTreeSet<_> = domains.iter().collect();
    for number in 0..50 {
        let group = GroupName::new(&format!("g{number}")).unwrap();
        let watchers = choose_watchers(&group, &hosts, &domains);
        assert_that!(watchers.len(), eq(5));
        for domain in &domains {
            let inside =
                hosts.iter().filter(|(name, home)| home == *domain && watchers.contains(name));
            assert_that!(inside.count(), ge(1));
        }
        let lost = watchers.first().unwrap().clone();
        let rest: Vec<_> = hosts.iter().filter(|(name, _)| *name != lost).cloned().collect();
        let after = choose_watchers(&group, &rest, &domains);
        assert_that!(watchers.intersection(&after).count(), ge(3));
        let far: Vec<_> =
            hosts.iter().filter(|(_, home)| !domains.contains(home)).cloned().collect();
        assert_that!(choose_watchers(&group, &far, &domains).len(), eq(5));
    }
}
