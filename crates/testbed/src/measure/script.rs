//! Faults and changes of the scenarios, each noted with its time.

use std::error::Error;
use std::time::Duration;

use serde_json::json;
use tanagerdeal_testbed::clock::now_us;
use tanagerdeal_testbed::deployment::{Deployment, PLATFORM_DOMAIN};
use tanagerdeal_wire::wire_type;
use tokio::time::sleep;

use crate::options::{MeasureOptions, Scenario};

/// Time before the first fault, over which normal service is measured.
const NORMAL_PHASE: Duration = Duration::from_secs(5);

/// Time that a group gets for a failover before it is repaired.
const FAILOVER_PHASE: Duration = Duration::from_secs(9);

/// Time between a repair and the next fault.
const REPAIR_PHASE: Duration = Duration::from_secs(4);

/// Name of this program in the audit trail.
const ACTOR: &str = "measure";

type ScriptResult = Result<(), Box<dyn Error + Send + Sync>>;

wire_type! {
    /// A fault or change.
    pub struct RunEvent {
        /// What was done.
        pub text: String,
        /// When.
        pub at_us: u64,
        /// When the time in which its effect is measured ended.
        pub until_us: u64,
        /// Groups that lost their primary.
        pub groups: Vec<String>,
    }
}

/// Plays the faults of a scenario while the load runs.
pub struct ScenarioScript<'a> {
    pub options: &'a MeasureOptions,
    pub deployment: &'a mut Deployment,
    pub events: Vec<RunEvent>,
}

impl ScenarioScript<'_> {
    /// Prepares what is in effect before the load starts.
    pub async fn prepare(&mut self) -> ScriptResult {
        match self.options.scenario {
            Scenario::Lag => {
                for member in self.deployment.members() {
                    member.control.post("/control/faults", &json!({"lag_ms": 2_000})).await?;
                }
            }
            Scenario::Loss => self.lose_packets(5).await?,
            Scenario::SlowStore => {
                let faults = json!({"delay_ms": 2_000});
                self.deployment.platform().post("/control/faults", &faults).await?;
            }
            Scenario::SurgeDomain => self.remove_domain(2).await?,
            _ => {}
        }
        Ok(())
    }

    /// Plays the faults; returns when the last one has been measured.
    pub async fn play(&mut self, until_us: u64) -> ScriptResult {
        sleep(NORMAL_PHASE).await;
        match self.options.scenario {
            Scenario::Kill | Scenario::Freeze => self.lose_primaries(until_us).await?,
            Scenario::Minority => self.partition(until_us).await?,
            Scenario::HostDeath => self.kill_hosts().await?,
            Scenario::StoreOutage => self.stop_store().await?,
            Scenario::DomainLeave => self.leave_and_return().await?,
            Scenario::Surge | Scenario::SurgeDomain => {
                let third = self.options.duration_ms / 3;
                sleep(Duration::from_millis(third).saturating_sub(NORMAL_PHASE)).await;
                self.note("surge", Vec::new());
            }
            _ => {}
        }
        sleep(Duration::from_micros(until_us.saturating_sub(now_us()))).await;
        if let Some(last) = self.events.last_mut().filter(|last| last.until_us == 0) {
            last.until_us = until_us;
        }
        Ok(())
    }

    fn note(&mut self, text: &str, groups: Vec<String>) {
        let at_us = now_us();
        if let Some(last) = self.events.last_mut().filter(|last| last.until_us == 0) {
            last.until_us = at_us;
        }
        self.events.push(RunEvent { text: text.to_owned(), at_us, until_us: 0, groups });
    }

    /// Kills or freezes the primary of one group after the other.
    async fn lose_primaries(&mut self, until_us: u64) -> ScriptResult {
        let frozen = self.options.scenario == Scenario::Freeze;
        for group in self.deployment.plan().group_names() {
            if now_us() + FAILOVER_PHASE.as_micros() as u64 > until_us {
                break;
            }
            let primary = self.deployment.primary_of(&group).await.ok_or("no primary")?;
            self.note(&format!("{primary} is lost"), vec![group]);
            match frozen {
                true => self.deployment.pause(&primary)?,
                false => self.deployment.kill(&primary).await?,
            }
            sleep(FAILOVER_PHASE).await;
            if frozen {
                self.deployment.resume(&primary)?;
            }
            self.note("repaired", Vec::new());
            sleep(Duration::from_secs(1)).await;
        }
        Ok(())
    }

    /// Cuts off the failure domain of the first group's primary, again after each repair.
    async fn partition(&mut self, until_us: u64) -> ScriptResult {
        let names = self.deployment.plan().group_names();
        while now_us() + FAILOVER_PHASE.as_micros() as u64 <= until_us {
            let mut places = Vec::new();
            for group in &names {
                let primary = self.deployment.primary_of(group).await.ok_or("no primary")?;
                places.push((self.deployment.member(&primary)?.domain.clone(), group.clone()));
            }
            let domain = places[0].0.clone();
            let there = places.into_iter().filter(|(place, _)| *place == domain);
            let groups = there.map(|(_, group)| group).collect();
            self.note(&format!("{domain} is cut off"), groups);
            self.isolate(&domain, true).await?;
            sleep(FAILOVER_PHASE).await;
            self.isolate(&domain, false).await?;
            self.note("repaired", Vec::new());
            sleep(REPAIR_PHASE).await;
        }
        Ok(())
    }

    async fn isolate(&self, domain: &str, cut: bool) -> ScriptResult {
        let others = self.deployment.plan().domains.iter().map(|other| other.name.as_str());
        for other in others.filter(|other| *other != domain) {
            self.deployment.cut(domain, other, cut).await?;
        }
        Ok(self.deployment.cut(domain, PLATFORM_DOMAIN, cut).await?)
    }

    async fn lose_packets(&self, percent: u8) -> ScriptResult {
        let plan = self.deployment.plan();
        let names: Vec<&str> = plan.domains.iter().map(|domain| domain.name.as_str()).collect();
        let pairs = names.iter().flat_map(|from| names.iter().map(move |to| (from, to)));
        let rule = |(from, to): (&&str, &&str)| {
            json!({"from": from, "to": to, "delay_us": plan.domain_delay_us,
                "loss_percent": percent})
        };
        let rules: Vec<_> = pairs.filter(|(from, to)| from != to).map(rule).collect();
        self.deployment.relay().post("/control/links", &rules).await?;
        Ok(())
    }

    /// Kills two hosts of different failure domains and starts the first again.
    async fn kill_hosts(&mut self) -> ScriptResult {
        let hosts = self.deployment.plan().host_names();
        let (first, second) = (hosts[0].clone(), hosts[4].clone());
        self.note(&format!("{} is killed", first.0), Vec::new());
        self.deployment.kill(&first.0).await?;
        sleep(Duration::from_secs(7)).await;
        self.note(&format!("{} is killed", second.0), Vec::new());
        self.deployment.kill(&second.0).await?;
        sleep(Duration::from_secs(5)).await;
        Ok(())
    }

    async fn stop_store(&mut self) -> ScriptResult {
        let platform = self.deployment.platform().clone();
        self.note("the store is down", Vec::new());
        platform.post("/control/faults", &json!({"refuse_all": true})).await?;
        sleep(Duration::from_secs(60)).await;
        platform.post("/control/faults", &json!({"refuse_all": false})).await?;
        self.note("the store is back", Vec::new());
        Ok(())
    }

    async fn leave_and_return(&mut self) -> ScriptResult {
        let domain = self.deployment.plan().domains[0].name.clone();
        self.note(&format!("{domain} leaves"), Vec::new());
        self.deployment.operate(ACTOR, &["domain", &domain, "out"]).await?;
        sleep(Duration::from_secs(10)).await;
        self.note(&format!("{domain} returns"), Vec::new());
        Ok(self.deployment.operate(ACTOR, &["domain", &domain, "in"]).await?)
    }

    /// Takes a failure domain out, shuts its hosts down and kills its members.
    async fn remove_domain(&mut self, index: usize) -> ScriptResult {
        let domain = self.deployment.plan().domains[index].name.clone();
        self.deployment.operate(ACTOR, &["domain", &domain, "out"]).await?;
        let hosts = self.deployment.plan().host_names();
        let names = hosts.into_iter().filter(|(_, place)| *place == index);
        let names: Vec<String> = names.map(|(name, _)| name).collect();
        for name in &names {
            self.deployment.terminate(name)?;
        }
        for name in &names {
            self.deployment.wait_host(name, Duration::from_secs(40)).await?;
        }
        let members = self.deployment.members().filter(|member| member.domain == domain);
        let members: Vec<String> = members.map(|member| member.name.clone()).collect();
        for member in members {
            self.deployment.kill(&member).await?;
        }
        Ok(())
    }
}
