//! Agreement among failure domains that a primary has failed.

use std::collections::{BTreeMap, BTreeSet};

use tanagerdeal_wire::{DomainName, HostName, value_type};

value_type! {
    /// Other live hosts, and those that suspect one group's primary.
    #[derive(Default)]
    pub(crate) struct PeerView {
        /// Hosts that were heard of recently and are not leaving.
        pub(crate) hosts: Vec<(HostName, DomainName)>,
        /// The hosts among them that suspect the group's primary in its current term.
        pub(crate) suspects: Vec<(HostName, DomainName)>,
    }
}

/// Whether enough failure domains agree with this host's suspicion of a primary: a majority of the
/// members' failure domains, or all that have live hosts, if these are a majority of all known.
///
/// A failure domain agrees when at least half of its live hosts suspect the primary, so that one
/// host with a faulty network link does not decide for its failure domain.
pub(crate) fn is_agreed(
    home: &DomainName,
    view: &PeerView,
    member_domains: &BTreeSet<&DomainName>,
) -> bool {
    let mut hosts: BTreeMap<&DomainName, (usize, usize)> = BTreeMap::from([(home, (1, 1))]);
    for (_, domain) in &view.hosts {
        hosts.entry(domain).or_default().0 += 1;
    }
    for (_, domain) in &view.suspects {
        hosts.entry(domain).or_default().1 += 1;
    }
    let agrees = |domain: &DomainName| {
        hosts.get(domain).is_some_and(|(heard, suspecting)| suspecting * 2 >= *heard)
    };
    let agreeing = member_domains.iter().filter(|domain| agrees(domain)).count();
    let domains = hosts.keys().chain(member_domains).collect::<BTreeSet<_>>().len();
    let is_unanimous = hosts.keys().all(|domain| agrees(domain)) && hosts.len() * 2 > domains;
    agreeing * 2 > member_domains.len() || is_unanimous
}
