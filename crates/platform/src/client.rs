//! Requests to the platform and their errors.

use std::net::IpAddr;
use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use tanagerdeal_wire::platform::{
    EntryPage, HostEntry, HostList, TableEntry, TxnConflict, TxnReply, TxnRequest,
};
use tanagerdeal_wire::record::RECORD_PREFIX;
use tanagerdeal_wire::view::{FLEET_VIEW_KEY, LEASE_PREFIX, VIEW_PREFIX};

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

    /// Reads everything that changed after a revision, the last write of each key only, up to a
    /// revision that is at least the one current when the call began.
    ///
    /// After revision 0 it reads the keys that hosts need and leaves out markers and audit entries,
    /// which grow without limit. A page may be cut short, which its length does not show; so the
    /// current revision is read beside it, and pages are read until they reach that.
    pub async fn changes(&self, after: u64) -> Result<EntryPage, PlatformError> {
        if after == 0 {
            return self.first_changes().await;
        }
        self.changes_of("", after).await
    }

    /// Reads the feeds of the keys that hosts need. They end at different revisions, so changes after
    /// the lowest of these are read once more, and none is missing between the feeds.
    async fn first_changes(&self) -> Result<EntryPage, PlatformError> {
        let (records, views, leases) = tokio::try_join!(
            self.changes_of(RECORD_PREFIX, 0),
            self.changes_of(VIEW_PREFIX, 0),
            self.changes_of(LEASE_PREFIX, 0),
        )?;
        let feeds = [records, views, leases];
        let lowest = feeds.iter().map(|feed| feed.revision).min().unwrap_or(0);
        let highest = feeds.iter().map(|feed| feed.revision).max().unwrap_or(0);
        let entries = feeds.into_iter().flat_map(|feed| feed.entries).collect();
        self.complete("", EntryPage { revision: lowest, entries }, highest).await
    }

    async fn changes_of(&self, prefix: &str, after: u64) -> Result<EntryPage, PlatformError> {
        let (page, current) =
            tokio::try_join!(self.changes_page(prefix, after), self.current_revision())?;
        self.complete(prefix, page, current).await
    }

    /// Reads further pages until they reach a revision.
    async fn complete(
        &self,
        prefix: &str,
        mut changes: EntryPage,
        through: u64,
    ) -> Result<EntryPage, PlatformError> {
        while changes.revision < through {
            let page = self.changes_page(prefix, changes.revision).await?;
            if page.revision <= changes.revision {
                let revision = changes.revision;
                return Err(self.unavailable(format!("change feed ends at revision {revision}")));
            }
            changes.revision = page.revision;
            changes.entries.extend(page.entries);
        }
        Ok(changes)
    }

    async fn changes_page(&self, prefix: &str, after: u64) -> Result<EntryPage, PlatformError> {
        let query = [("after", after), ("limit", PAGE_ENTRIES as u64)];
        let request = self.http.get(self.url("/v1/tables/changes")).query(&query);
        self.call(request.query(&[("prefix", prefix)])).await
    }

    /// The store's revision; every answer has it, so the smallest one is asked for.
    async fn current_revision(&self) -> Result<u64, PlatformError> {
        let query = [("key", FLEET_VIEW_KEY)];
        let request = self.http.get(self.url("/v1/tables/read")).query(&query);
        let page: EntryPage = self.call(request).await?;
        Ok(page.revision)
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
