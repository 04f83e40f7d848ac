//! Operators' access to a deployment: the platform's client and the operators' tool.

use std::time::Duration;

use tanagerdeal_platform::PlatformClient;
use tokio::process::Command;

use super::process::program;
use super::{Deployment, DeploymentError};

impl Deployment {
    /// Client with which operators call the platform, past the relay.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client cannot be made.
    ///
    /// ```no_run
    /// # use tanagerdeal_testbed::deployment::{Deployment, DeploymentError};
    /// # async fn example(deployment: &mut Deployment) -> Result<(), DeploymentError> {
    /// let page = deployment.operator()?.scan("records/").await;
    /// assert!(page.is_ok());
    /// # Ok(())
    /// # }
    /// ```
    pub fn operator(&self) -> Result<PlatformClient, DeploymentError> {
        let address = self.platform_control.address().to_string();
        PlatformClient::new(&address, "operator", "operator", Duration::from_secs(2), None)
            .map_err(|error| DeploymentError::Records(error.to_string()))
    }

    /// Runs the operators' tool, which lies beside the running program.
    ///
    /// # Errors
    ///
    /// Fails with the tool's message when it cannot be started or does not succeed.
    pub async fn operate(&self, actor: &str, arguments: &[&str]) -> Result<(), DeploymentError> {
        let failed =
            |reason: String| DeploymentError::Process { name: "tanagerctl".to_owned(), reason };
        let platform = self.platform_control.address().to_string();
        let output = Command::new(program("tanagerctl")?)
            .args(["--actor", actor, "--platform", &platform])
            .args(arguments)
            .output()
            .await
            .map_err(|error| failed(error.to_string()))?;
        match output.status.success() {
            true => Ok(()),
            false => Err(failed(String::from_utf8_lossy(&output.stderr).trim().to_owned())),
        }
    }
}
