//! Tests of routing.

mod choice;
mod history;

use std::time::{Duration, Instant};

use tanagerdeal_wire::member::{LogPosition, MemberRole, MemberStatus, TermStart};
use tanagerdeal_wire::record::{
    DomainPhase, EndpointPhase, GroupRecord, MemberRecord, ServiceRecord,
};
use tanagerdeal_wire::{DomainName, EndpointName, GroupName, ServiceName};

use super::{EndpointTable, RouteChoice, RouteQuery, RouteSettings};
use crate::message::{EndpointKey, GroupKey};

/// A table with one group of three members, `m0` to `m2` in failure domains `d0` to `d2`. The host
/// is in `d1`.
struct Fixture {
    now: Instant,
    endpoints: EndpointTable,
}

fn position(term: u64, offset: u64) -> LogPosition {
    LogPosition { term, offset }
}

fn service(address: &str) -> (ServiceName, ServiceRecord) {
    let members = (0..3).map(|index| MemberRecord {
        endpoint: EndpointName::new(&format!("m{index}")).unwrap(),
        domain: DomainName::new(&format!("d{index}")).unwrap(),
        sql_address: address.to_owned(),
        api_address: format!("api{index}"),
        connections: 20,
        slots: 2,
    });
    let group = GroupRecord { group: GroupName::new("g").unwrap(), members: members.collect() };
    (ServiceName::new("s").unwrap(), ServiceRecord { groups: vec![group] })
}

impl Fixture {
    /// All members have applied ten entries of term 1, whose primary is `m0`.
    fn new() -> Self {
        let mut table = Self { now: Instant::now(), endpoints: EndpointTable::default() };
        let own_domain = Some(DomainName::new("d1").unwrap());
        table.endpoints.adopt_settings(RouteSettings { own_domain, ..RouteSettings::default() });
        table.load_service("sql");
        table.report_all(10);
        table
    }

    fn load_service(&mut self, address: &str) {
        let (name, record) = service(address);
        self.endpoints.adopt_services([(&name, &record)].into_iter());
    }

    fn key(&self, index: usize) -> EndpointKey {
        let name = EndpointName::new(&format!("m{index}")).unwrap();
        self.endpoints.member_named(&name).unwrap()
    }

    fn group(&self) -> GroupKey {
        self.endpoints.group(&GroupName::new("g").unwrap()).unwrap()
    }

    fn status(index: usize, term: u64, applied: u64) -> MemberStatus {
        MemberStatus {
            group: GroupName::new("g").unwrap(),
            member: EndpointName::new(&format!("m{index}")).unwrap(),
            role: if index == 0 { MemberRole::Primary } else { MemberRole::Replica },
            promised_term: term,
            received: position(term, applied),
            applied: position(term, applied),
            term_history: vec![TermStart { term, offset: 0 }],
            connections: 0,
            running: 0,
        }
    }

    fn report_status(&mut self, index: usize, status: MemberStatus) {
        let (now, key) = (self.now, self.key(index));
        let probe = &mut self.endpoints.members[key].probe;
        probe.begin(now);
        probe.succeed(now);
        self.endpoints.observe(now, key, now, status);
    }

    fn report(&mut self, index: usize, applied: u64) {
        self.report_status(index, Self::status(index, 1, applied));
    }

    fn report_all(&mut self, applied: u64) {
        (0..3).for_each(|index| self.report(index, applied));
    }

    fn advance(&mut self, milliseconds: u64) {
        self.now += Duration::from_millis(milliseconds);
    }

    fn query(&self) -> RouteQuery {
        RouteQuery {
            group: self.group(),
            is_write: false,
            watermark: LogPosition::default(),
            max_age: Duration::ZERO,
            excluded: Vec::new(),
            deadline: self.now + Duration::from_secs(1),
        }
    }

    fn read_at(&self, watermark: LogPosition) -> RouteChoice {
        self.endpoints.choose(self.now, &RouteQuery { watermark, ..self.query() })
    }

    fn read_aged(&self, milliseconds: u64) -> RouteChoice {
        let max_age = Duration::from_millis(milliseconds);
        self.endpoints.choose(self.now, &RouteQuery { max_age, ..self.query() })
    }

    fn write(&self) -> RouteChoice {
        self.endpoints.choose(self.now, &RouteQuery { is_write: true, ..self.query() })
    }

    /// Index of the chosen member.
    fn chosen_member(&self, choice: RouteChoice) -> Option<usize> {
        match choice {
            RouteChoice::Endpoint { endpoint, .. } => (0..3).find(|i| self.key(*i) == endpoint),
            _ => None,
        }
    }

    fn set_phases(&mut self, out: Option<usize>, leaving: Option<usize>) {
        let is = |index: Option<usize>, text: &str| {
            index.is_some_and(|index| text.ends_with(&index.to_string()))
        };
        let domain = |name: &DomainName| match is(out, name.as_str()) {
            true => DomainPhase::Out,
            false => DomainPhase::In,
        };
        let endpoint = |name: &EndpointName| match is(leaving, name.as_str()) {
            true => EndpointPhase::Leaving,
            false => EndpointPhase::Serving,
        };
        self.endpoints.adopt_phases(self.now, domain, endpoint);
    }
}
