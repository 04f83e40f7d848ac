//! The hosts of a deployment.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

use super::process::ChildProcess;
use super::process::program;
use super::settings::HostSettings;
use super::{ControlClient, Deployment, DeploymentError, wait_until};

/// Starts of one host that may end because a port was taken.
const MAX_PORT_CONFLICTS: usize = 5;

/// A host: one proxy process.
pub struct HostNode {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Listener for callers.
    pub caller: SocketAddr,
    /// Admin listener.
    pub admin: ControlClient,
    pub(super) process: ChildProcess,
}

impl Deployment {
    /// Hosts by name.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::Deployment;
    /// # fn example(deployment: &mut Deployment) {
    /// let names: Vec<&str> = deployment.hosts().map(|host| host.name.as_str()).collect();
    /// assert_eq!(names[0], "akl-a-1");
    /// # }
    /// ```
    pub fn hosts(&self) -> impl Iterator<Item = &HostNode> {
        self.hosts.values()
    }

    /// Host of a name.
    ///
    /// # Errors
    ///
    /// Fails when there is no such host.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// assert_eq!(deployment.host("akl-a-1")?.domain, "akl-a");
    /// # Ok(())
    /// # }
    /// ```
    pub fn host(&self, name: &str) -> Result<&HostNode, DeploymentError> {
        self.hosts.get(name).ok_or_else(|| DeploymentError::Unknown(name.to_owned()))
    }

    /// Starts all hosts and waits until each is ready.
    ///
    /// # Errors
    ///
    /// Fails when a host does not start or does not become ready in time.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// deployment.start_hosts().await?;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn start_hosts(&mut self) -> Result<(), DeploymentError> {
        for (name, domain) in self.plan.host_names() {
            self.start_host(&name, domain).await?;
        }
        for (name, domain) in self.plan.host_names() {
            self.wait_ready(&name, domain).await?;
        }
        Ok(())
    }

    /// Waits until a host is ready. A host that found one of its ports taken is started again with
    /// others: between the choice of a port and its use, an outgoing connection can get the same one.
    async fn wait_ready(&mut self, name: &str, domain: usize) -> Result<(), DeploymentError> {
        for conflicts in 0..MAX_PORT_CONFLICTS {
            let host = self.host(name)?;
            let has_conflict = || host.process.port_conflicts() > conflicts;
            let ended = async || Ok(host.is_ready().await || has_conflict());
            wait_until(&format!("{name} is ready"), ended).await?;
            if !has_conflict() {
                return Ok(());
            }
            self.start_host(name, domain).await?;
        }
        Err(DeploymentError::Condition(format!("{name} has ports of its own")))
    }

    /// Starts, or starts again, one host in the failure domain of an index.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// deployment.kill("akl-b-1").await?;
    /// deployment.start_host("akl-b-1", 1).await?;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn start_host(&mut self, name: &str, domain: usize) -> Result<(), DeploymentError> {
        let place = &self.plan.domains[domain];
        let peer = free_udp_port(&place.address)?;
        let advertised_peer = match self.plan.relayed {
            true => Some(self.open_relayed("udp", peer, &place.name).await?),
            false => None,
        };
        let settings = HostSettings {
            name: name.to_owned(),
            domain: place.name.clone(),
            caller: free_tcp_port(&place.address)?,
            peer,
            advertised_peer,
            admin: free_tcp_port(&place.address)?,
            platform: self.platform_for(&place.name).await?,
            policies: self.plan.policies.clone(),
        };
        let path = self.files.write_host(&settings)?;
        let arguments = ["run", "--config", &path.display().to_string()].map(str::to_owned);
        let process =
            ChildProcess::start(&program("testbed-host")?, &arguments, name, self.directory())?;
        let node = HostNode {
            name: name.to_owned(),
            domain: place.name.clone(),
            caller: settings.caller,
            admin: ControlClient::new(settings.admin),
            process,
        };
        self.hosts.insert(name.to_owned(), node);
        Ok(())
    }

    /// Waits until a host has ended by itself and returns its exit code.
    ///
    /// # Errors
    ///
    /// Fails when there is no such host or it does not end in time.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// deployment.terminate("akl-a-1")?;
    /// let limit = std::time::Duration::from_secs(40);
    /// assert_eq!(deployment.wait_host("akl-a-1", limit).await?, Some(0));
    /// # Ok(())
    /// # }
    /// ```
    pub async fn wait_host(
        &mut self,
        name: &str,
        limit: Duration,
    ) -> Result<Option<i32>, DeploymentError> {
        self.process_mut(name)?.wait(limit).await
    }
}

impl HostNode {
    /// Whether the host takes new sessions.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// assert!(deployment.host("akl-a-1")?.is_ready().await);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn is_ready(&self) -> bool {
        self.admin.succeeds("/ready").await
    }
}

/// A port that was free a moment ago.
fn free_tcp_port(address: &str) -> Result<SocketAddr, DeploymentError> {
    let listener = TcpListener::bind(format!("{address}:0"));
    let bound = listener.and_then(|listener| listener.local_addr());
    bound.map_err(|error| port_error(address, &error))
}

fn free_udp_port(address: &str) -> Result<SocketAddr, DeploymentError> {
    let socket = UdpSocket::bind(format!("{address}:0"));
    let bound = socket.and_then(|socket| socket.local_addr());
    bound.map_err(|error| port_error(address, &error))
}

fn port_error(address: &str, error: &std::io::Error) -> DeploymentError {
    DeploymentError::Process { name: address.to_owned(), reason: error.to_string() }
}
