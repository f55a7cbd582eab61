//! What callers, targets and the platform speak, as traits that an adapter implements.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use snafu::Snafu;

use coriandercove_base::TargetId;

use crate::fleet::{LayerRange, Target};
use crate::path::Hop;
use crate::routes::Configuration;

/// Identifier of a request as its caller sent it.
pub type RequestLabel = Arc<str>;

/// What the head of a model request says of its size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelSize {
    /// Prompt tokens.
    pub prompt: u32,
    /// Most tokens of the answer.
    pub max_answer: u32,
    /// The caller's estimate of the answer's tokens.
    pub estimate: Option<u32>,
}

/// What the router needs of a request's head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHead {
    /// The caller's identifier of this request; empty if it sent none.
    pub label: RequestLabel,
    /// Key of the client account.
    pub key: Option<String>,
    /// Time that the caller waits, from its sending.
    pub deadline: Option<Duration>,
    /// Last event that the caller has of a stream that it resumes.
    pub resume_after: Option<u64>,
    /// Size, for model requests.
    pub size: Option<ModelSize>,
}

/// What is told to the target beside the caller's own headers.
#[derive(Debug, Clone, Copy)]
pub struct Dispatch<'a> {
    /// Target that must serve it; any other one declines.
    pub target: &'a TargetId,
    /// Time left.
    pub time_left: Duration,
    /// Client account, if the route needs one.
    pub account: Option<&'a str>,
    /// Parts that it passes through; empty for plain services.
    pub hops: &'a [Hop],
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Event after which a continued stream begins.
    pub resume_after: Option<u64>,
}

/// What the head of a target's answer says beside its status.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerFacts {
    /// Whether the target states that the request did not run.
    pub is_not_run: bool,
    /// Whether the answer is a target's own for a request that ran.
    pub is_stamped: bool,
    /// The request that it answers, if it says so.
    pub label: Option<String>,
    /// The part of the path at fault.
    pub at_fault: Option<SocketAddr>,
}

/// State of an engine as it reports it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Layers that it holds.
    pub layers: Option<LayerRange>,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Orders accepted in this incarnation.
    pub order_sequence: u64,
    /// Start of this incarnation, in Unix milliseconds; 0 if not told.
    pub started_ms: u64,
    /// Factor by which it is slower than it should be; 1 if not told.
    pub slowness: f64,
    /// Reserved KV cache, in tokens x layers.
    pub kv_used: u64,
    /// KV cache, in tokens x layers.
    pub kv_total: u64,
    /// Requests that wait at it.
    pub queued: u32,
    /// Requests whose later part does not answer: label and address of that part.
    pub stalled: Vec<(String, SocketAddr)>,
}

/// An order to hold a range of layers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementOrder {
    /// Layers to hold.
    pub layers: LayerRange,
    /// Orders that the target must have accepted so far, or it declines.
    pub expected_sequence: u64,
}

/// Headers and bodies between callers, router and targets.
pub trait Protocol {
    /// Path that the load balancer asks for readiness.
    fn readiness_path(&self) -> &str;

    /// Decodes a caller's head. Values that cannot be read count as absent.
    fn caller_head(&self, headers: &HeaderMap) -> CallerHead;

    /// Headers of an attempt: the caller's, without those of one connection, its key and those
    /// that only the router sets.
    fn target_headers(&self, caller: &HeaderMap, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Decodes the head of a target's answer.
    fn answer_facts(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;

    /// Headers of a target's answer that the caller gets.
    fn caller_headers(&self, answer: &HeaderMap) -> HeaderMap;

    /// A request for the state of an engine.
    fn report_request(&self) -> Request<Bytes>;

    /// Decodes the state of an engine.
    ///
    /// # Errors
    /// Names the field that cannot be read.
    fn report(&self, body: &[u8]) -> Result<Report, Malformed>;

    /// A request that gives an order to an engine.
    fn placement_request(&self, order: &PlacementOrder) -> Request<Bytes>;

    /// A request to the first part of a running request's path to continue it over `hops`, which
    /// begin with the same part.
    fn repath_request(&self, label: &str, hops: &[Hop]) -> Request<Bytes>;
}

/// Something from outside that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{place}: {problem}"))]
pub struct Malformed {
    /// Object, field or position.
    pub place: String,
    /// What is wrong and what is allowed.
    pub problem: String,
}

/// What an entry follows on the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    /// The operator's configuration.
    Configuration,
    /// Targets that announce themselves.
    Targets,
}

impl Topic {
    /// Stable name for logs and counters.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
        }
    }
}

/// An object of a topic, decoded.
#[derive(Debug, Clone)]
pub enum Item {
    /// A version of the configuration.
    Configuration(Rc<Configuration>),
    /// A target.
    Target(Arc<Target>),
    /// An object that cannot be read; it names no target to use.
    Unreadable {
        /// Name of the object.
        name: Arc<str>,
        /// Why.
        problem: Malformed,
    },
    /// The object was removed.
    Removed {
        /// Name of the object.
        name: Arc<str>,
    },
}

/// Objects of a topic at a revision.
#[derive(Debug, Clone)]
pub struct Batch {
    /// Store revision that the objects reflect.
    pub revision: u64,
    /// Highest revision of a change among the objects; 0 if there is none.
    pub last_change: u64,
    /// All objects, or those that changed.
    pub items: Vec<Item>,
}

/// Failure of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum DirectoryError {
    /// The history after the revision is gone; list again.
    #[snafu(display("the history is gone"))]
    HistoryGone,
    /// The platform answered that it does nothing now.
    #[snafu(display("the platform declined with status {status}"))]
    Declined {
        /// Status of the answer.
        status: u16,
    },
    /// No answer.
    #[snafu(display("the platform cannot be reached: {problem}"))]
    Unreachable {
        /// What happened.
        problem: String,
    },
    /// The answer cannot be read.
    #[snafu(display("the platform's answer cannot be read: {source}"))]
    Unreadable {
        /// Where and why.
        source: Malformed,
    },
}

/// The platform's objects.
pub trait Directory {
    /// Every object of a topic.
    fn list(&self, topic: Topic) -> LocalBoxFuture<'_, Result<Batch, DirectoryError>>;

    /// Changes after a revision; returns when there is one, or empty after `wait`.
    fn changes(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Batch, DirectoryError>>;
}
