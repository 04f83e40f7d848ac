//! Requests to the platform and their errors.

use std::net::IpAddr;
use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use tanagerdeal_wire::platform::{
    EntryPage, HostEntry, HostList, TableEntry, TxnConflict, TxnReply, TxnRequest,
};

/// Header that names the caller, a host or `operator`.
pub const HOST_HEADER: &str = "x-host";

/// Header that names the caller's failure domain.
pub const DOMAIN_HEADER: &str = "x-domain";

/// Entries of one page of the change feed.
const PAGE_ENTRIES: usize = 1_000;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No usable response; a write may have taken effect.
    #[error("platform at {address}: {reason}")]
    Unavailable {
        /// Address of the platform.
        address: String,
        /// What happened.
        reason: String,
    },
    /// A check of a transaction failed; nothing was written.
    #[error("table key {:?} is at revision {}", .0.key, .0.revision)]
    Conflict(TxnConflict),
}

/// Client of the platform's API; cheap to clone.
#[derive(Clone)]
pub struct PlatformClient {
    address: String,
    host: String,
    domain: String,
    http: Client,
}

impl PlatformClient {
    /// Client of the platform at `address` (`ip:port`); calls end after `timeout` and come from
    /// `source` where it is given.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_platform::PlatformClient;
    ///
    /// let client =
    ///     PlatformClient::new("127.0.0.1:1", "operator", "none", Duration::from_secs(1), None)
    ///         .unwrap();
    /// assert_eq!(client.address(), "127.0.0.1:1");
    /// ```
    pub fn new(
        address: &str,
        host: &str,
        domain: &str,
        timeout: Duration,
        source: Option<IpAddr>,
    ) -> Result<Self, PlatformError> {
        let builder = Client::builder().timeout(timeout).no_proxy().local_address(source);
        let http = builder.build().map_err(|error| PlatformError::Unavailable {
            address: address.to_owned(),
            reason: error.to_string(),
        })?;
        let (address, host, domain) = (address.to_owned(), host.to_owned(), domain.to_owned());
        Ok(Self { address, host, domain, http })
    }

    /// Address of the platform.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Runs a transaction and returns its revision.
    pub async fn transact(&self, txn: &TxnRequest) -> Result<u64, PlatformError> {
        let request = self.http.post(self.url("/v1/tables/txn")).json(txn);
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::CONFLICT => Err(PlatformError::Conflict(self.decode(response).await?)),
            _ => {
                let reply: TxnReply = self.decode(self.check(response)?).await?;
                Ok(reply.revision)
            }
        }
    }

    /// Reads one table key; nothing when it is absent.
    pub async fn read(&self, key: &str) -> Result<Option<TableEntry>, PlatformError> {
        let request = self.http.get(self.url("/v1/tables/read")).query(&[("key", key)]);
        let page: EntryPage = self.call(request).await?;
        Ok(page.entries.into_iter().find(|entry| entry.value.is_some()))
    }

    /// Reads all table keys with a prefix.
    pub async fn scan(&self, prefix: &str) -> Result<EntryPage, PlatformError> {
        self.call(self.http.get(self.url("/v1/tables/scan")).query(&[("prefix", prefix)])).await
    }

    /// Reads everything that changed after a revision, the last write of each key only.
    ///
    /// A page may be cut short, which its length does not show; so pages are read until an empty one
    /// shows that the end was reached.
    pub async fn changes(&self, after: u64) -> Result<EntryPage, PlatformError> {
        let mut changes = self.changes_page(after).await?;
        let mut is_last = changes.entries.is_empty();
        while !is_last {
            let page = self.changes_page(changes.revision).await?;
            is_last = page.entries.is_empty();
            changes.revision = page.revision;
            changes.entries.extend(page.entries);
        }
        Ok(changes)
    }

    async fn changes_page(&self, after: u64) -> Result<EntryPage, PlatformError> {
        let query = [("after", after), ("limit", PAGE_ENTRIES as u64)];
        self.call(self.http.get(self.url("/v1/tables/changes")).query(&query)).await
    }

    /// Reads the host list.
    pub async fn hosts(&self) -> Result<HostList, PlatformError> {
        self.call(self.http.get(self.url("/v1/hosts"))).await
    }

    /// Tells the platform that a host is there.
    pub async fn heartbeat(&self, entry: &HostEntry) -> Result<(), PlatformError> {
        let request = self.http.put(self.url(&format!("/v1/hosts/{}", entry.host))).json(entry);
        let response = self.send(request).await?;
        self.check(response).map(|_| ())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn unavailable(&self, reason: impl ToString) -> PlatformError {
        PlatformError::Unavailable { address: self.address.clone(), reason: reason.to_string() }
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, PlatformError> {
        let request = request.header(HOST_HEADER, &self.host).header(DOMAIN_HEADER, &self.domain);
        request.send().await.map_err(|error| self.unavailable(error))
    }

    fn check(&self, response: Response) -> Result<Response, PlatformError> {
        match response.status() {
            status if status.is_success() => Ok(response),
            status => Err(self.unavailable(format!("status {status}"))),
        }
    }

    async fn decode<T: DeserializeOwned>(&self, response: Response) -> Result<T, PlatformError> {
        response.json().await.map_err(|error| self.unavailable(error))
    }

    async fn call<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T, PlatformError> {
        let response = self.send(request).await?;
        self.decode(self.check(response)?).await
    }
}
