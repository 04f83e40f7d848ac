//! Applies services, failure domain phases and endpoint phases from the catalog.

use std::collections::BTreeSet;
use std::time::Instant;

use tanagerdeal_wire::record::{
    DomainPhase, EndpointPhase, GroupRecord, MemberRecord, ServiceRecord,
};
use tanagerdeal_wire::{DomainName, EndpointName, ServiceName};

use super::{DomainState, EndpointTable, GroupState, MemberState, RouteSettings};
use crate::message::{EndpointKey, GroupKey};

impl EndpointTable {
    /// Replaces the settings of the host.
    pub(crate) fn adopt_settings(&mut self, settings: RouteSettings) {
        self.settings = settings;
    }

    /// Replaces all services. Groups and endpoints whose names remain keep their keys and state, so
    /// that requests in flight are not interrupted.
    pub(crate) fn adopt_services<'a>(
        &mut self,
        services: impl Iterator<Item = (&'a ServiceName, &'a ServiceRecord)>,
    ) {
        self.services.clear();
        let (mut groups, mut members) = (BTreeSet::new(), BTreeSet::new());
        for (name, record) in services {
            let keys: Vec<_> =
                record.groups.iter().map(|record| self.upsert_group(record)).collect();
            groups.extend(keys.iter().copied());
            self.services.insert(name.clone(), keys);
        }
        self.groups.retain(|key, _| groups.contains(&key));
        self.group_names.retain(|_, key| groups.contains(key));
        members.extend(self.groups.values().flat_map(|group| group.members.iter().copied()));
        self.members.retain(|key, _| members.contains(&key));
        self.member_names.retain(|_, key| members.contains(key));
    }

    fn upsert_group(&mut self, record: &GroupRecord) -> GroupKey {
        let key = match self.group(&record.group) {
            Some(key) => key,
            None => {
                let key = self.groups.insert(GroupState::new(record.group.clone()));
                self.group_names.insert(record.group.clone(), key);
                key
            }
        };
        let members: Vec<_> =
            record.members.iter().map(|record| self.upsert_member(key, record)).collect();
        let group = &mut self.groups[key];
        group.primary = group.primary.filter(|primary| members.contains(primary));
        group.members = members;
        key
    }

    fn upsert_member(&mut self, group: GroupKey, record: &MemberRecord) -> EndpointKey {
        match self.member_named(&record.endpoint) {
            Some(key) => {
                self.members[key].update(group, record);
                key
            }
            None => {
                let key = self.members.insert(MemberState::new(group, record));
                self.member_names.insert(record.endpoint.clone(), key);
                key
            }
        }
    }

    /// Applies the phases of failure domains and endpoints.
    pub(crate) fn adopt_phases(
        &mut self,
        now: Instant,
        domain_phase: impl Fn(&DomainName) -> DomainPhase,
        endpoint_phase: impl Fn(&EndpointName) -> EndpointPhase,
    ) {
        for member in self.members.values_mut() {
            member.is_leaving = endpoint_phase(&member.address.name) == EndpointPhase::Leaving;
        }
        let names: BTreeSet<_> = self.members.values().map(|member| &member.domain).collect();
        for name in names {
            let is_out = domain_phase(name) == DomainPhase::Out;
            if !is_out && !self.domains.contains_key(name) {
                continue;
            }
            let domain: &mut DomainState = self.domains.entry(name.clone()).or_default();
            if domain.is_out != is_out {
                domain.returned_at = (!is_out).then_some(now);
                domain.is_out = is_out;
            }
        }
    }

    /// Looks up an endpoint by name.
    pub(crate) fn member_named(&self, name: &EndpointName) -> Option<EndpointKey> {
        self.member_names.get(name).copied()
    }
}
