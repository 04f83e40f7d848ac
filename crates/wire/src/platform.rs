//! Bodies of the platform's API: table service, host list.

use serde_json::Value;

use crate::{DomainName, HostName};

wire_type! {
    /// Precondition of a transaction: the key's current revision, 0 when it must be absent.
    pub struct RevisionCheck {
        /// The key.
        pub key: String,
        /// Expected revision of the last write to the key.
        pub revision: u64,
    }

    /// One write of a transaction.
    pub struct TableWrite {
        /// The key.
        pub key: String,
        /// The value, or nothing to delete the key.
        pub value: Option<Value>,
    }

    /// Body of `POST /v1/tables/txn`.
    pub struct TxnRequest {
        /// All must hold, or nothing is written.
        pub checks: Vec<RevisionCheck>,
        /// Applied together under one new revision.
        pub writes: Vec<TableWrite>,
    }

    /// Answer 200 of `POST /v1/tables/txn`.
    pub struct TxnReply {
        /// Revision of the transaction.
        pub revision: u64,
    }

    /// Answer 409 of `POST /v1/tables/txn`: the first check that failed.
    pub struct TxnConflict {
        /// The key.
        pub key: String,
        /// Its current revision, 0 when absent.
        pub revision: u64,
    }

    /// A key with its value and the revision that wrote it.
    pub struct TableEntry {
        /// The key.
        pub key: String,
        /// Revision of the last write.
        pub revision: u64,
        /// The value, or nothing when the key was deleted by that revision.
        pub value: Option<Value>,
    }

    /// Answer of `read`, `scan` and `changes`.
    ///
    /// `changes` returns entries in revision order, the last write of each key only.
    pub struct EntryPage {
        /// Revision up to which the page is complete.
        pub revision: u64,
        /// The entries.
        pub entries: Vec<TableEntry>,
    }

    /// State of a host in the platform's list.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum HostPhase {
        /// Serving.
        Live,
        /// Shutting down.
        Leaving,
    }

    /// One host of `GET /v1/hosts`; also the body of `PUT /v1/hosts/{id}`.
    pub struct HostEntry {
        /// The host.
        pub host: HostName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Random number drawn at each start.
        pub incarnation: u64,
        /// Address of its peer listener, `ip:port`.
        pub peer_address: String,
        /// Address of its admin listener, `ip:port`.
        pub admin_address: String,
        /// Its state.
        pub phase: HostPhase,
    }

    /// Answer of `GET /v1/hosts`; it lags behind the truth.
    pub struct HostList {
        /// All hosts with a recent heartbeat.
        pub hosts: Vec<HostEntry>,
    }
}
