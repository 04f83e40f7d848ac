//! Deployments for tests: stand-ins and proxies as child processes of the test.

mod control;
mod hosts;
mod members;
mod observe;
mod operator;
mod plan;
mod process;
mod records;
mod settings;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::json;
use tempfile::TempDir;

pub use control::ControlClient;
pub use hosts::HostNode;
pub use members::MemberNode;
pub use observe::RunObserver;
pub use plan::{CustomerPlan, DeploymentPlan, DomainPlan, RoutePlan};

use control::{printed_address, relay_sources};
use process::{ChildProcess, program};
use settings::FleetFiles;

/// Longest wait for a condition of a deployment.
const CONDITION_LIMIT: Duration = Duration::from_secs(30);

/// Interval at which a condition is checked.
const CONDITION_INTERVAL: Duration = Duration::from_millis(20);

/// Name under which the relay knows the platform.
pub const PLATFORM_DOMAIN: &str = "platform";

/// Name under which the relay knows the clients of the hosts.
pub const CLIENT_DOMAIN: &str = "clients";

/// Why a deployment could not be started or changed.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// A process failed.
    #[error("process {name}: {reason}")]
    Process {
        /// Its name.
        name: String,
        /// What happened.
        reason: String,
    },
    /// A control API failed.
    #[error("{path} of {address}: {reason}")]
    Control {
        /// Address of the listener.
        address: SocketAddr,
        /// Path of the call.
        path: String,
        /// What happened.
        reason: String,
    },
    /// A file could not be written.
    #[error("{}: {}", .0.display(), .1)]
    File(PathBuf, io::Error),
    /// A certificate could not be made.
    #[error("certificate: {0}")]
    Certificate(String),
    /// The records could not be written.
    #[error("records: {0}")]
    Records(String),
    /// A process or link of this name is not part of the deployment.
    #[error("{0:?} is not part of the deployment")]
    Unknown(String),
    /// A condition was not met in time.
    #[error("not met in time: {0}")]
    Condition(String),
}

/// A running deployment; dropping it kills its processes and removes its files.
pub struct Deployment {
    plan: DeploymentPlan,
    platform: ChildProcess,
    platform_control: ControlClient,
    relay: ChildProcess,
    relay_control: ControlClient,
    members: BTreeMap<String, MemberNode>,
    hosts: BTreeMap<String, HostNode>,
    files: FleetFiles,
    directory: TempDir,
}

impl Deployment {
    /// Starts the platform, the relay and the members, and writes the records. Hosts are started by
    /// [`Deployment::start_hosts`].
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or the records cannot be written.
    ///
    /// ```no_run
    /// use tanagerdeal_testbed::deployment::{Deployment, DeploymentPlan};
    ///
    /// # async fn example() -> Result<(), tanagerdeal_testbed::deployment::DeploymentError> {
    /// let mut deployment = Deployment::start(DeploymentPlan::small()).await?;
    /// deployment.start_hosts().await?;
    /// deployment.kill("orders-1-a").await
    /// # }
    /// ```
    pub async fn start(plan: DeploymentPlan) -> Result<Self, DeploymentError> {
        let directory =
            TempDir::new().map_err(|error| DeploymentError::File(std::env::temp_dir(), error))?;
        let files = FleetFiles::create(directory.path())?;
        let (platform, platform_control) =
            start_listener("standin-platform", "address", directory.path()).await?;
        let (relay, relay_control) =
            start_listener("link-relay", "control", directory.path()).await?;
        relay_control.post("/control/sources", &relay_sources(&plan.domains)).await?;
        let mut deployment = Self {
            plan,
            platform,
            platform_control,
            relay,
            relay_control,
            members: BTreeMap::new(),
            hosts: BTreeMap::new(),
            files,
            directory,
        };
        if deployment.plan.relayed {
            deployment.set_domain_delays().await?;
        }
        deployment.start_members().await?;
        deployment.write_records().await?;
        Ok(deployment)
    }

    /// The plan.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::Deployment;
    /// # fn example(deployment: &mut Deployment) {
    /// assert_eq!(deployment.plan().domains.len(), 3);
    /// # }
    /// ```
    pub fn plan(&self) -> &DeploymentPlan {
        &self.plan
    }

    /// Directory of the logs and settings.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::Deployment;
    /// # fn example(deployment: &mut Deployment) {
    /// println!("logs are in {}", deployment.directory().display());
    /// # }
    /// ```
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Control API of the platform.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// let outage = serde_json::json!({"refuse_all": true});
    /// deployment.platform().post("/control/faults", &outage).await?;
    /// # Ok(())
    /// # }
    /// ```
    pub fn platform(&self) -> &ControlClient {
        &self.platform_control
    }

    /// Control API of the relay.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// let state: serde_json::Value = deployment.relay().get("/control/state").await?;
    /// println!("{}", state["bytes"]);
    /// # Ok(())
    /// # }
    /// ```
    pub fn relay(&self) -> &ControlClient {
        &self.relay_control
    }

    /// Password with which a customer connects to a host.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::Deployment;
    /// # fn example(deployment: &mut Deployment) {
    /// assert!(deployment.password("yard-1").starts_with("yard-1-key."));
    /// # }
    /// ```
    pub fn password(&self, customer: &str) -> String {
        records::password(customer)
    }

    /// Name of the key record of a customer.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::Deployment;
    /// # fn example(deployment: &mut Deployment) {
    /// assert_eq!(deployment.key_name("yard-1"), "yard-1-key");
    /// # }
    /// ```
    pub fn key_name(&self, customer: &str) -> String {
        records::key_name(customer)
    }

    /// Kills a process of the deployment and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Fails when there is no such process.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// deployment.kill("orders-1-a").await?;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn kill(&mut self, name: &str) -> Result<(), DeploymentError> {
        self.process_mut(name)?.kill().await
    }

    /// Stops a process without ending it.
    ///
    /// # Errors
    ///
    /// Fails when there is no such process or it has ended.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// deployment.pause("akl-a-1")?;
    /// # Ok(())
    /// # }
    /// ```
    pub fn pause(&self, name: &str) -> Result<(), DeploymentError> {
        let process = self.process(name)?;
        process.signal(Signal::STOP)?;
        process.wait_stopped()
    }

    /// Continues a stopped process.
    ///
    /// # Errors
    ///
    /// Fails when there is no such process or it has ended.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// deployment.pause("akl-a-1")?;
    /// deployment.resume("akl-a-1")?;
    /// # Ok(())
    /// # }
    /// ```
    pub fn resume(&self, name: &str) -> Result<(), DeploymentError> {
        self.process(name)?.signal(Signal::CONT)
    }

    /// Asks a process to shut down.
    ///
    /// # Errors
    ///
    /// Fails when there is no such process or it has ended.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// deployment.terminate("akl-a-1")?;
    /// # Ok(())
    /// # }
    /// ```
    pub fn terminate(&self, name: &str) -> Result<(), DeploymentError> {
        self.process(name)?.signal(Signal::TERM)
    }

    /// Cuts or heals both directions between two failure domains; [`PLATFORM_DOMAIN`] is one.
    ///
    /// # Errors
    ///
    /// Fails when the deployment is not relayed.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// deployment.cut("akl-a", "ham-c", true).await?;
    /// deployment.cut("akl-a", "ham-c", false).await?;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn cut(&self, one: &str, other: &str, cut: bool) -> Result<(), DeploymentError> {
        if !self.plan.relayed {
            return Err(DeploymentError::Unknown(format!("link {one} {other}")));
        }
        let delay = self.plan.domain_delay_us;
        let rules = [(one, other), (other, one)].map(|(from, to)| {
            let delay = if from == to { 0 } else { delay };
            json!({"from": from, "to": to, "delay_us": delay, "cut": cut})
        });
        self.relay_control.post("/control/links", &rules).await.map(|_| ())
    }

    /// Process of a name: `standin-platform`, `link-relay`, a member or a host.
    /// Process id of a member, a host or the platform.
    ///
    /// # Errors
    ///
    /// Fails when no process of this name runs.
    pub fn process_id(&self, name: &str) -> Result<u32, DeploymentError> {
        let id = self.process(name)?.id();
        id.ok_or_else(|| DeploymentError::Unknown(name.to_owned()))
    }

    fn process(&self, name: &str) -> Result<&ChildProcess, DeploymentError> {
        let member = self.members.get(name).map(|member| &member.process);
        let host = self.hosts.get(name).map(|host| &host.process);
        let own = [&self.platform, &self.relay].into_iter().find(|own| own.name() == name);
        member.or(host).or(own).ok_or_else(|| DeploymentError::Unknown(name.to_owned()))
    }

    fn process_mut(&mut self, name: &str) -> Result<&mut ChildProcess, DeploymentError> {
        let member = self.members.get_mut(name).map(|member| &mut member.process);
        let host = self.hosts.get_mut(name).map(|host| &mut host.process);
        let own = [&mut self.platform, &mut self.relay].into_iter().find(|own| own.name() == name);
        member.or(host).or(own).ok_or_else(|| DeploymentError::Unknown(name.to_owned()))
    }

    /// Opens a port of the relay that leads to a target in a failure domain.
    async fn open_relayed(
        &self,
        protocol: &str,
        target: SocketAddr,
        domain: &str,
    ) -> Result<SocketAddr, DeploymentError> {
        let body = json!({
            "protocol": protocol, "listen": "127.0.0.1:0", "target": target, "domain": domain,
        });
        printed_address(&self.relay_control.post("/control/ports", &body).await?, "address")
    }

    /// Address at which processes of a failure domain reach the platform.
    async fn platform_for(&self, domain: &str) -> Result<SocketAddr, DeploymentError> {
        let target = self.platform_control.address();
        if !self.plan.relayed {
            return Ok(target);
        }
        let body = json!({
            "protocol": "tcp", "listen": "127.0.0.1:0", "target": target,
            "domain": PLATFORM_DOMAIN, "caller_domain": domain,
        });
        printed_address(&self.relay_control.post("/control/ports", &body).await?, "address")
    }

    /// Opens a port of the relay for clients at each host, behind the delay of the plan.
    ///
    /// # Errors
    ///
    /// Fails when the relay refuses.
    ///
    /// ```no_run
    /// use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    ///
    /// async fn example(deployment: &Deployment) -> Result<(), DeploymentError> {
    ///     let ports = deployment.open_client_ports().await?;
    ///     println!("{} hosts", ports.len());
    ///     Ok(())
    /// }
    /// ```
    pub async fn open_client_ports(&self) -> Result<BTreeMap<String, SocketAddr>, DeploymentError> {
        let delay = self.plan.client_delay_us;
        let mut ports = BTreeMap::new();
        for host in self.hosts.values() {
            let links = [(CLIENT_DOMAIN, &*host.domain), (&*host.domain, CLIENT_DOMAIN)];
            let rules = links.map(|(from, to)| json!({"from": from, "to": to, "delay_us": delay}));
            self.relay_control.post("/control/links", &rules).await?;
            let body = json!({
                "protocol": "tcp", "listen": "127.0.0.1:0", "target": host.caller,
                "domain": host.domain, "caller_domain": CLIENT_DOMAIN,
            });
            let opened = self.relay_control.post("/control/ports", &body).await?;
            ports.insert(host.name.clone(), printed_address(&opened, "address")?);
        }
        Ok(ports)
    }

    async fn set_domain_delays(&self) -> Result<(), DeploymentError> {
        let names: Vec<&str> = self.plan.domains.iter().map(|domain| &*domain.name).collect();
        let delay = self.plan.domain_delay_us;
        let pairs = names.iter().flat_map(|from| names.iter().map(move |to| (from, to)));
        let rules = pairs.filter(|(from, to)| from != to);
        let rules = rules.map(|(from, to)| json!({"from": from, "to": to, "delay_us": delay}));
        let rules: Vec<_> = rules.collect();
        self.relay_control.post("/control/links", &rules).await.map(|_| ())
    }
}

/// Waits until a condition holds.
///
/// # Errors
///
/// Fails when it does not hold in time, or when checking it fails.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")] async fn main() {
/// use tanagerdeal_testbed::deployment::wait_until;
///
/// wait_until("nothing", async || Ok(true)).await.unwrap();
/// # }
/// ```
pub async fn wait_until(
    what: &str,
    mut condition: impl AsyncFnMut() -> Result<bool, DeploymentError>,
) -> Result<(), DeploymentError> {
    let deadline = Instant::now() + CONDITION_LIMIT;
    while !condition().await? {
        if Instant::now() > deadline {
            return Err(DeploymentError::Condition(what.to_owned()));
        }
        tokio::time::sleep(CONDITION_INTERVAL).await;
    }
    Ok(())
}

/// Starts a stand-in with one listener.
async fn start_listener(
    name: &str,
    printed: &str,
    directory: &Path,
) -> Result<(ChildProcess, ControlClient), DeploymentError> {
    let arguments = ["--end-with-input".to_owned()];
    let (process, line) =
        ChildProcess::announce(&program(name)?, &arguments, name, directory).await?;
    Ok((process, ControlClient::new(printed_address(&line, printed)?)))
}
