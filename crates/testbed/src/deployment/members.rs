//! The members of a deployment.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::json;
use tanagerdeal_wire::member::{MemberRole, MemberStatus};
use tanagerdeal_wire::record::{GroupRecord, MemberRecord, ServiceRecord};
use tanagerdeal_wire::{DomainName, EndpointName, GroupName};
use tokio_postgres::{Client, NoTls};

use crate::history::read_lines;
use crate::member::Execution;

use super::control::printed_address;
use super::process::ChildProcess;
use super::process::program;
use super::{ControlClient, Deployment, DeploymentError, records, wait_until};

/// A member of a group.
pub struct MemberNode {
    /// Its name.
    pub name: String,
    /// Its group.
    pub group: String,
    /// Its failure domain.
    pub domain: String,
    /// Control API and member API, past the relay.
    pub control: ControlClient,
    /// PostgreSQL listener, past the relay.
    pub sql: SocketAddr,
    /// Addresses in the records: PostgreSQL listener and member API.
    published: [SocketAddr; 2],
    pub(super) process: ChildProcess,
}

impl MemberNode {
    /// Status of the member.
    ///
    /// # Errors
    ///
    /// Fails when the member does not answer.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// let status = deployment.member("orders-1-a")?.status().await?;
    /// println!("{} connections", status.connections);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn status(&self) -> Result<MemberStatus, DeploymentError> {
        self.control.get("/v1/status").await
    }
}

impl Deployment {
    /// Members by name.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::Deployment;
    /// # fn example(deployment: &mut Deployment) {
    /// assert_eq!(deployment.members().count(), 3);
    /// # }
    /// ```
    pub fn members(&self) -> impl Iterator<Item = &MemberNode> {
        self.members.values()
    }

    /// Member of a name.
    ///
    /// # Errors
    ///
    /// Fails when there is no such member.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// assert_eq!(deployment.member("orders-1-a")?.group, "orders-1");
    /// # Ok(())
    /// # }
    /// ```
    pub fn member(&self, name: &str) -> Result<&MemberNode, DeploymentError> {
        self.members.get(name).ok_or_else(|| DeploymentError::Unknown(name.to_owned()))
    }

    /// Connects to a member with the service's credentials, past the proxies.
    ///
    /// # Errors
    ///
    /// Fails when the member refuses.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// let client = deployment.connect_member("orders-1-a").await?;
    /// assert!(!client.is_closed());
    /// # Ok(())
    /// # }
    /// ```
    pub async fn connect_member(&self, name: &str) -> Result<Client, DeploymentError> {
        let failed = |reason: String| DeploymentError::Process { name: name.to_owned(), reason };
        let password = std::fs::read_to_string(self.files.service_password_file())
            .map_err(|error| failed(error.to_string()))?;
        let address = self.member(name)?.sql;
        let mut config = tokio_postgres::Config::new();
        config.host(address.ip().to_string()).port(address.port());
        config.user("tanagerdeal").password(password).dbname(&self.plan.service);
        let connected = config.connect(NoTls).await;
        let (client, connection) = connected.map_err(|error| failed(error.to_string()))?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// Member that calls itself primary in the highest term, among those that answer.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// assert_eq!(deployment.primary_of("orders-1").await.as_deref(), Some("orders-1-a"));
    /// # Ok(())
    /// # }
    /// ```
    pub async fn primary_of(&self, group: &str) -> Option<String> {
        let mut newest = None;
        for member in self.members.values().filter(|member| member.group == group) {
            if let Ok(status) = member.status().await
                && status.role == MemberRole::Primary
            {
                newest = newest.max(Some((status.promised_term, member.name.clone())));
            }
        }
        newest.map(|(_, name)| name)
    }

    /// What all members have executed, also those that were killed.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// let writes = deployment.executions()?.iter().filter(|entry| entry.write).count();
    /// println!("{writes} writes");
    /// # Ok(())
    /// # }
    /// ```
    pub fn executions(&self) -> Result<Vec<Execution>, DeploymentError> {
        let mut executions = Vec::new();
        for name in self.members.keys() {
            let path = self.execution_file(name);
            let lines = read_lines(&path);
            executions.extend(lines.map_err(|error| DeploymentError::File(path, error))?);
        }
        Ok(executions)
    }

    fn execution_file(&self, member: &str) -> PathBuf {
        self.directory().join(format!("{member}.executions.jsonl"))
    }

    pub(super) async fn start_members(&mut self) -> Result<(), DeploymentError> {
        for group in self.plan.group_names() {
            let mut names = Vec::new();
            for domain in 0..self.plan.domains.len() {
                let member = self.start_member(&group, domain).await?;
                names.push(member.name.clone());
                self.members.insert(member.name.clone(), member);
            }
            self.form_group(&names).await?;
        }
        Ok(())
    }

    async fn start_member(
        &self,
        group: &str,
        domain: usize,
    ) -> Result<MemberNode, DeploymentError> {
        let (name, place) = (self.plan.member_name(group, domain), &self.plan.domains[domain]);
        let program = program("standin-member")?;
        let arguments = self.member_arguments(group, &name, domain);
        let (process, line) =
            ChildProcess::announce(&program, &arguments, &name, self.directory()).await?;
        let (sql, api) = (printed_address(&line, "sql")?, printed_address(&line, "api")?);
        let published = match self.plan.relayed {
            true => [
                self.open_relayed("tcp", sql, &place.name).await?,
                self.open_relayed("tcp", api, &place.name).await?,
            ],
            false => [sql, api],
        };
        let (group, domain) = (group.to_owned(), place.name.clone());
        let control = ControlClient::new(api);
        Ok(MemberNode { name, group, domain, control, sql, published, process })
    }

    fn member_arguments(&self, group: &str, name: &str, domain: usize) -> Vec<String> {
        let (plan, place) = (&self.plan, &self.plan.domains[domain]);
        let listen = format!("{}:0", place.address);
        let pairs = [
            ("--group", group.to_owned()),
            ("--name", name.to_owned()),
            ("--domain", place.name.clone()),
            ("--sql", listen.clone()),
            ("--api", listen),
            ("--service-password-file", self.files.service_password_file().display().to_string()),
            ("--execution-file", self.execution_file(name).display().to_string()),
            ("--slots", plan.slots.to_string()),
            ("--connections", plan.connections.to_string()),
            ("--connect-ms", plan.connect_ms.to_string()),
            ("--service-ms", plan.service_ms.to_string()),
        ];
        let pairs = pairs.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]);
        let first: &[&str] = if domain == 0 { &["--primary-of-term", "1"] } else { &[] };
        let rest = first.iter().chain(&["--end-with-input"]).map(|text| (*text).to_owned());
        pairs.chain(rest).collect()
    }

    /// Makes the replicas follow the first member, creates the tables and waits for the replicas.
    async fn form_group(&self, names: &[String]) -> Result<(), DeploymentError> {
        let [primary, replicas @ ..] = names else { return Ok(()) };
        let primary = self.member(primary)?;
        let follow = json!({
            "term": 1, "primary": primary.name, "primary_api": primary.published[1].to_string(),
        });
        for replica in replicas {
            self.member(replica)?.control.post("/v1/follow", &follow).await?;
        }
        let client = self.connect_member(&primary.name).await?;
        for table in &self.plan.tables {
            let created = client.batch_execute(table).await;
            created.map_err(|error| DeploymentError::Records(error.to_string()))?;
        }
        let position = primary.status().await?.applied;
        for replica in replicas {
            let replica = self.member(replica)?;
            let caught_up = async || Ok(replica.status().await?.applied == position);
            wait_until("replicas have the tables", caught_up).await?;
        }
        Ok(())
    }

    pub(super) async fn write_records(&self) -> Result<(), DeploymentError> {
        let invalid =
            |error: tanagerdeal_wire::name::NameError| DeploymentError::Records(error.to_string());
        let mut groups = Vec::new();
        for group in self.plan.group_names() {
            let mut members = Vec::new();
            for member in self.members.values().filter(|member| member.group == group) {
                members.push(MemberRecord {
                    endpoint: EndpointName::new(&member.name).map_err(invalid)?,
                    domain: DomainName::new(&member.domain).map_err(invalid)?,
                    sql_address: member.published[0].to_string(),
                    api_address: member.published[1].to_string(),
                    connections: self.plan.connections,
                    slots: self.plan.slots,
                });
            }
            groups.push(GroupRecord { group: GroupName::new(&group).map_err(invalid)?, members });
        }
        let txn = records::initial_records(&self.plan, &ServiceRecord { groups });
        let written = self.operator()?.transact(&txn).await;
        written.map(|_| ()).map_err(|error| DeploymentError::Records(error.to_string()))
    }
}
