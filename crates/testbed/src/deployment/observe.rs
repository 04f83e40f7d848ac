//! Observation of a running deployment, for the checker.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tanagerdeal_wire::member::{MemberRole, MemberStatus};
use tokio::task::JoinHandle;

use super::{ControlClient, Deployment, DeploymentError, records, wait_until};
use crate::clock::now_us;
use crate::history::{HostSample, LimitSample, Observation, SearchSample, TermSample};
use crate::member::SearchReply;

/// Interval between two looks at hosts and members.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for one host or member in a look.
const LOOK_LIMIT: Duration = Duration::from_millis(500);

/// Looks at hosts and members until it is finished or dropped.
pub struct RunObserver {
    observations: Arc<Mutex<Vec<Observation>>>,
    task: JoinHandle<()>,
}

impl Drop for RunObserver {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Deployment {
    /// Starts to observe the hosts and members that run now.
    ///
    /// ```no_run
    /// use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    ///
    /// async fn example(deployment: &Deployment) -> Result<(), DeploymentError> {
    ///     let observer = deployment.observe();
    ///     let observations = observer.finish(deployment).await?;
    ///     println!("{} observations", observations.len());
    ///     Ok(())
    /// }
    /// ```
    pub fn observe(&self) -> RunObserver {
        let observations = Arc::new(Mutex::new(Vec::new()));
        let hosts: Vec<(String, ControlClient)> =
            self.hosts().map(|host| (host.name.clone(), host.admin.clone())).collect();
        let members: Vec<ControlClient> =
            self.members().map(|member| member.control.clone()).collect();
        let task = tokio::spawn(observe_all(hosts, members, observations.clone()));
        RunObserver { observations, task }
    }

    /// Waits until the group has one primary that its running replicas have caught up with.
    async fn settled_primary(&self, group: &str) -> Result<MemberStatus, DeploymentError> {
        let mut settled = None;
        wait_until(&format!("{group} has a primary with its replicas"), async || {
            settled = self.newest_primary(group).await;
            let Some(primary) = &settled else { return Ok(false) };
            let mut followers = 0;
            for member in self.members().filter(|member| member.group == group) {
                if let Some(status) = limited(member.control.get("/v1/status")).await {
                    let status: MemberStatus = status;
                    followers += usize::from(status.received == primary.received);
                }
            }
            // The primary itself and, where one runs, at least one replica.
            Ok(followers * 2 > self.plan.domains.len())
        })
        .await?;
        settled.ok_or_else(|| DeploymentError::Condition(format!("primary of {group}")))
    }

    async fn newest_primary(&self, group: &str) -> Option<MemberStatus> {
        let mut newest: Option<MemberStatus> = None;
        for member in self.members().filter(|member| member.group == group) {
            let status: Option<MemberStatus> = limited(member.control.get("/v1/status")).await;
            newest = match (status, newest) {
                (Some(status), newest) if status.role != MemberRole::Primary => newest,
                (Some(status), Some(newest)) if newest.promised_term >= status.promised_term => {
                    Some(newest)
                }
                (Some(status), _) => Some(status),
                (None, newest) => newest,
            };
        }
        newest
    }

    /// Searches the bytes that members received for the customers' secrets; the service password
    /// shows that the search finds what was sent.
    async fn search_members(&self) -> Result<Vec<Observation>, DeploymentError> {
        let path = self.files.service_password_file();
        let control = std::fs::read_to_string(&path)
            .map_err(|error| DeploymentError::File(path.clone(), error))?;
        let secrets = self.plan.customers.iter().map(|customer| records::secret(&customer.name));
        let needles: Vec<String> = secrets.chain([control]).collect();
        let mut observations = Vec::new();
        for member in self.members() {
            let body = json!({"needles": needles});
            let Some(reply) = limited(member.control.post("/control/search", &body)).await else {
                continue;
            };
            let reply: SearchReply = serde_json::from_value(reply)
                .map_err(|error| DeploymentError::Condition(error.to_string()))?;
            if reply.bytes == 0 {
                // A member that nobody connected to has received nothing to be searched.
                continue;
            }
            let control_found = reply.counts.last().copied().unwrap_or(0);
            let found = reply.counts.iter().sum::<u64>() - control_found;
            observations.push(Observation::Searched(SearchSample {
                member: member.name.clone(),
                found,
                control_found,
                complete: reply.complete,
            }));
        }
        Ok(observations)
    }
}

impl RunObserver {
    /// Ends the observation and adds what can be seen at the end of a run: final primaries, the
    /// search for secrets, and the limits of customers.
    ///
    /// # Errors
    ///
    /// Fails when a group does not settle.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// let observer = deployment.observe();
    /// println!("{} observations", observer.finish(deployment).await?.len());
    /// # Ok(())
    /// # }
    /// ```
    pub async fn finish(
        self,
        deployment: &Deployment,
    ) -> Result<Vec<Observation>, DeploymentError> {
        self.task.abort();
        let mut observations =
            std::mem::take(&mut *self.observations.lock().unwrap_or_else(PoisonError::into_inner));
        for group in deployment.plan.group_names() {
            let status = deployment.settled_primary(&group).await?;
            observations.push(Observation::FinalPrimary(status));
        }
        observations.extend(deployment.search_members().await?);
        observations.extend(deployment.plan.customers.iter().map(|customer| {
            Observation::Limit(LimitSample {
                customer: customer.name.clone(),
                rate_per_s: customer.record.rate_per_s,
                burst: customer.record.burst,
            })
        }));
        Ok(observations)
    }
}

async fn observe_all(
    hosts: Vec<(String, ControlClient)>,
    members: Vec<ControlClient>,
    observations: Arc<Mutex<Vec<Observation>>>,
) {
    let mut terms = BTreeSet::new();
    loop {
        let looks = hosts.iter().map(|(name, client)| look_at_host(name, client));
        let samples = futures::future::join_all(looks).await;
        let statuses = futures::future::join_all(members.iter().map(look_at_member)).await;
        let statuses = statuses.into_iter().flatten();
        let started = statuses.filter(|sample| terms.insert((sample.group.clone(), sample.term)));
        let samples = samples.into_iter().flatten().map(Observation::Host);
        let seen: Vec<Observation> = samples.chain(started.map(Observation::Promoted)).collect();
        observations.lock().unwrap_or_else(PoisonError::into_inner).extend(seen);
        tokio::time::sleep(OBSERVATION_INTERVAL).await;
    }
}

async fn limited<T>(call: impl Future<Output = Result<T, DeploymentError>>) -> Option<T> {
    tokio::time::timeout(LOOK_LIMIT, call).await.ok().and_then(Result::ok)
}

/// The port of the admin listener stands for the host's life, since each start draws a new one.
async fn look_at_host(name: &str, client: &ControlClient) -> Option<HostSample> {
    let at_us = now_us();
    let status: Value = limited(client.get("/status")).await?;
    Some(HostSample {
        at_us,
        host: name.to_owned(),
        life: client.address().port().into(),
        revision: status["revision"].as_u64()?,
        serving_keyed: status["serving_keyed"].as_bool()?,
    })
}

async fn look_at_member(client: &ControlClient) -> Option<TermSample> {
    let status: MemberStatus = limited(client.get("/v1/status")).await?;
    let is_primary = status.role == MemberRole::Primary;
    is_primary.then(|| TermSample {
        // The answer shows the term, so it had begun by now.
        at_us: now_us(),
        group: status.group.to_string(),
        term: status.promised_term,
    })
}
