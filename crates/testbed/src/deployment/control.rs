//! Clients of the control APIs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::DeploymentError;

/// Longest wait for an answer of a control API.
const CALL_LIMIT: Duration = Duration::from_secs(20);

/// Client of one process's HTTP listener.
#[derive(Clone)]
pub struct ControlClient {
    address: SocketAddr,
    http: reqwest::Client,
}

impl ControlClient {
    /// Client of a listener.
    ///
    /// ```
    /// use tanagerdeal_testbed::deployment::ControlClient;
    ///
    /// let client = ControlClient::new("127.0.0.1:1".parse().unwrap());
    /// assert_eq!(client.address().port(), 1);
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Self { address, http: reqwest::Client::new() }
    }

    /// Address of the listener.
    ///
    /// ```
    /// use tanagerdeal_testbed::deployment::ControlClient;
    ///
    /// let client = ControlClient::new("127.0.0.1:9".parse().unwrap());
    /// assert_eq!(client.address().port(), 9);
    /// ```
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads a resource as JSON.
    ///
    /// # Errors
    ///
    /// Fails without a successful answer of the expected form.
    ///
    /// ```
    /// use tanagerdeal_testbed::deployment::ControlClient;
    /// use tanagerdeal_testbed::platform::{self, PlatformState};
    ///
    /// # #[tokio::main(flavor = "current_thread")] async fn main() {
    /// let client = ControlClient::new(platform::start("127.0.0.1:0").await.unwrap());
    /// let state: PlatformState = client.get("/control/state").await.unwrap();
    /// assert_eq!(state.revision, 0);
    /// # }
    /// ```
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, DeploymentError> {
        let url = format!("http://{}{path}", self.address);
        let request = self.http.get(url).timeout(CALL_LIMIT).header("x-host", "test");
        let response = request.send().await.and_then(reqwest::Response::error_for_status);
        match response {
            Ok(response) => response.json().await.map_err(|error| self.error(path, error)),
            Err(error) => Err(self.error(path, error)),
        }
    }

    /// Sends a JSON body and returns the JSON answer, null when there is none.
    ///
    /// # Errors
    ///
    /// Fails without a successful answer.
    ///
    /// ```
    /// use serde_json::json;
    /// use tanagerdeal_testbed::deployment::ControlClient;
    ///
    /// # #[tokio::main(flavor = "current_thread")] async fn main() {
    /// let address = tanagerdeal_testbed::platform::start("127.0.0.1:0").await.unwrap();
    /// let client = ControlClient::new(address);
    /// let faults = client.post("/control/faults", &json!({"delay_ms": 1})).await.unwrap();
    /// assert_eq!(faults["delay_ms"], 1);
    /// # }
    /// ```
    pub async fn post(&self, path: &str, body: &impl Serialize) -> Result<Value, DeploymentError> {
        let url = format!("http://{}{path}", self.address);
        let request = self.http.post(url).timeout(CALL_LIMIT).header("x-host", "test").json(body);
        let response = request.send().await.and_then(reqwest::Response::error_for_status);
        let body = match response {
            Ok(response) => response.bytes().await.map_err(|error| self.error(path, error))?,
            Err(error) => return Err(self.error(path, error)),
        };
        match body.is_empty() {
            true => Ok(Value::Null),
            false => serde_json::from_slice(&body).map_err(|error| self.error(path, error)),
        }
    }

    /// Whether a resource is answered with success.
    pub(super) async fn succeeds(&self, path: &str) -> bool {
        let url = format!("http://{}{path}", self.address);
        let response = self.http.get(url).timeout(CALL_LIMIT).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    fn error(&self, path: &str, reason: impl std::fmt::Display) -> DeploymentError {
        let reason = reason.to_string();
        DeploymentError::Control { address: self.address, path: path.to_owned(), reason }
    }
}

/// Address under a name in the line that a process printed.
pub(super) fn printed_address(printed: &Value, name: &str) -> Result<SocketAddr, DeploymentError> {
    let address = printed[name].as_str().and_then(|text| text.parse().ok());
    address.ok_or_else(|| DeploymentError::Process {
        name: name.to_owned(),
        reason: format!("no address in {printed}"),
    })
}

/// Sources of the relay's callers, by address.
pub(super) fn relay_sources(domains: &[super::plan::DomainPlan]) -> BTreeMap<String, String> {
    domains.iter().map(|domain| (domain.address.clone(), domain.name.clone())).collect()
}
