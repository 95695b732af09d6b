//! What the gateway needs to know of the names that callers, backend servers and the store use.

use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

use crate::backends::backend::BoxFuture;
use crate::derives::value_types;
use crate::gateway::items::Change;
use crate::gateway::model::{PublishedServer, Routing};
use crate::ids::{LeafId, Revision};

value_types! {
    /// What a caller says of its request.
    #[derive(Eq)]
    pub struct CallerHeaders {
        pub request_id: Bytes,
        /// Time for which the caller waits; none where it did not say.
        pub time_left: Option<Duration>,
    }

    /// What the head of a backend server's answer says.
    #[derive(Eq)]
    pub struct AnswerHead {
        pub kind: AnswerKind,
        /// Identity of the request that is answered; empty where none is named.
        pub request_id: Bytes,
        /// Proof that the backend server made the answer; empty where there is none.
        pub signature: Bytes,
    }

    /// Kinds of answer.
    #[derive(Copy, Eq)]
    pub enum AnswerKind {
        /// The request ran and failed, or the answer makes no sense.
        Failed,
        /// Another backend server has the address; the request did not run.
        Misdirected,
        /// The backend server refused to run the request.
        Refused,
        Succeeded,
    }

    /// A published value.
    pub enum PublishedValue {
        Routing(Routing),
        Server(PublishedServer),
    }

    /// What a published key names.
    #[derive(Eq)]
    pub enum PublishedKey {
        Routing,
        Server(LeafId),
        Unknown,
    }

    /// State of the store at one revision.
    #[derive(Eq)]
    pub struct StoreList {
        pub as_of: Revision,
        pub changes: Vec<Change>,
    }
}

/// Why a caller's headers were refused.
#[derive(Debug, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum HeaderError {
    /// header {0} is missing
    Missing(&'static str),
    /// header {0} is malformed
    Malformed(&'static str),
}

/// Why a read of the store failed.
#[derive(Debug, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum StoreError {
    /// the watch is silent although other VMs know of changes
    WatchStalled,
    /// the history before the requested revision is gone
    HistoryGone,
    /// the answer is malformed: {0}
    Malformed(String),
    /// the store refuses reads with status {0}
    Refused(u16),
    /// the store is not reached: {0}
    Unreachable(String),
}

/// Names and formats of requests and answers.
pub trait HttpProtocol: Send + Sync {
    /// Reads what a caller says of its request.
    fn read_caller_headers(&self, headers: &HeaderMap) -> Result<CallerHeaders, HeaderError>;
    /// Adds what a backend server must know of a request.
    fn write_request_headers(&self, headers: &mut HeaderMap, time_left: Duration, server: &LeafId);
    /// Reads the head of a backend server's answer.
    fn read_answer_head(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;
    /// Adds what an answer made of several parts says of them.
    fn write_merged_headers(&self, headers: &mut HeaderMap, signatures: &[Bytes], missing: usize);
    /// Returns whether a path is that of the balancer's question for readiness.
    fn is_readiness_path(&self, path: &str) -> bool;
    /// Returns the identity in the answer to a health probe; empty where none is named.
    fn read_health_identity(&self, headers: &HeaderMap) -> Bytes;
}

/// Reads of the store that publishes routes and backend servers.
pub trait PublishedStore: Send + Sync {
    /// Reads everything.
    fn list(&self) -> BoxFuture<'_, Result<StoreList, StoreError>>;
    /// Waits for changes after a revision, at most for `wait`.
    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<StoreList, StoreError>>;
    /// Tells what a key names.
    fn read_key(&self, key: &str) -> PublishedKey;
    /// Decodes the value of a key.
    fn read_value(&self, key: &str, value: &[u8]) -> Result<PublishedValue, String>;
}
