//! One version of the operator's configuration: routes, services and client accounts.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use coriandercove_base::{AccountId, ConfigVersion, SortedMap, ZoneId};

use crate::contention::Contention;

/// Name of a service; unique within a configuration.
pub type ServiceId = Arc<str>;

/// Whether a request may run more than once, and whether its answer is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run any number of times.
    Repeatable,
    /// The request runs at most once.
    AtMostOnce,
    /// A stream that another target may resume after the last event that arrived.
    ResumableStream,
    /// A stream that runs at most once.
    Stream,
}

impl Repeat {
    /// Whether an attempt that may have run may be followed by another one.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}

/// Rule for the requests to one host whose path has a prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name in log lines.
    pub name: Arc<str>,
    /// Host in lower case, without the port.
    pub host: Arc<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Services with the weights by which requests are divided among them; never empty.
    pub split: Vec<(ServiceId, u32)>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Maximum time until the answer is complete.
    pub timeout: Duration,
    /// Latency objective: for the first event of a stream, otherwise for the whole answer.
    pub objective: Duration,
    /// Maximum pause between events that meets the objective.
    pub gap_objective: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of attempts whose outcome is unknown, for each request.
    pub max_attempts: u32,
    /// Whether requests without a known account key are admitted.
    pub is_anonymous: bool,
}

impl Route {
    fn leads_to(&self, service: &str) -> bool {
        self.split.iter().any(|(name, _)| **name == *service)
    }
}

/// One kind of accelerator.
#[derive(Debug, Clone, PartialEq)]
pub struct Accelerator {
    /// Kind of accelerator, as targets report it.
    pub kind: Arc<str>,
    /// Memory for layers and requests, in MB.
    pub memory_mb: f64,
    /// Factor on the time of a decode step.
    pub decode_factor: f64,
    /// Factor on the time of prefill.
    pub prefill_factor: f64,
}

/// Model of a service and speed of its engines; the basis for layouts and path choices.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineModel {
    /// Number of layers of the model.
    pub layers: u16,
    /// Memory of one layer, in MB.
    pub layer_mb: f64,
    /// KV cache of one token over all layers, in bytes.
    pub kv_token_bytes: f64,
    /// Time of a decode step over all layers, without the additions below, on an accelerator of
    /// factor 1.
    pub step: Duration,
    /// Addition to the time of a step for each running sequence, in ms.
    pub step_per_sequence_ms: f64,
    /// Addition to the time of a step for each 1,000 tokens of context of each running sequence, in
    /// ms.
    pub step_per_context_ms: f64,
    /// Prefill speed over all layers, in tokens per ms, on an accelerator of factor 1.
    pub prefill_per_ms: f64,
    /// Maximum number of prompt tokens that are prefilled beside one decode step; infinite without
    /// a limit.
    pub prefill_chunk: f64,
    /// Mean tokens of a prompt.
    pub usual_prompt: f64,
    /// Mean tokens of an answer.
    pub usual_answer: f64,
    /// Size of the activations of one token that one hop sends to the next, in bytes.
    pub activation_bytes: f64,
    /// Bandwidth between two zones, in Mbit/s.
    pub zone_link_mbps: f64,
    /// One-way delays between pairs of zones.
    pub zone_delays: Vec<(ZoneId, ZoneId, Duration)>,
    /// Kinds of accelerators, sorted by kind.
    pub accelerators: Vec<Accelerator>,
}

impl EngineModel {
    /// Time to decode a usual answer, with the mean decode factor of all kinds of accelerators but
    /// at least 1.
    #[must_use]
    pub fn usual_service_time(&self) -> Duration {
        let factors = self.accelerators.iter().map(|a| a.decode_factor);
        let mean = factors.sum::<f64>() / self.accelerators.len().max(1) as f64;
        self.step.mul_f64(self.usual_answer * mean.max(1.0))
    }

    /// The accelerator of this kind, if the configuration describes it.
    #[must_use]
    pub fn accelerator(&self, kind: &str) -> Option<&Accelerator> {
        let i = self
            .accelerators
            .binary_search_by(|a| (*a.kind).cmp(kind))
            .ok()?;
        Some(&self.accelerators[i])
    }
}

/// A group of targets that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name; routes refer to it.
    pub name: ServiceId,
    /// Maximum number of connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Model and speed of the engines; none for plain services.
    pub engine: Option<EngineModel>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to send a request head.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name; unique within a configuration.
    pub name: AccountId,
    /// Priority of the account's requests; takes precedence over the route's.
    pub priority: Option<u8>,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version that the operator assigned.
    pub version: ConfigVersion,
    /// Store revision of the object that the configuration was read from; 0 if it came from a peer.
    pub revision: u64,
    /// The configuration as the platform adapter decodes it, for other entries.
    pub encoded: Bytes,
    /// Routes, sorted by host, then by prefix with the longest first.
    routes: Vec<Arc<Route>>,
    /// Services, sorted by name.
    services: Vec<Arc<Service>>,
    /// Contention of the services with engines.
    contentions: SortedMap<ServiceId, Contention>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Client accounts; empty if requests need no key.
    accounts: Vec<Account>,
    /// Account keys with the index of their account, sorted by key.
    keys: Vec<(Box<str>, usize)>,
}

/// Builder of a [`Configuration`].
#[derive(Debug, Default)]
pub struct ConfigurationBuilder {
    version: ConfigVersion,
    revision: u64,
    encoded: Bytes,
    routes: Vec<Arc<Route>>,
    services: Vec<Arc<Service>>,
    limits: Option<CallerLimits>,
    accounts: Vec<Account>,
    keys: Vec<(Box<str>, usize)>,
}

/// Limits that apply if the configuration states none.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 * 1024,
    body_bytes: 4 * 1024 * 1024,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

impl ConfigurationBuilder {
    /// Starts a configuration with this version, read at this store revision.
    #[must_use]
    pub fn new(version: ConfigVersion, revision: u64) -> Self {
        Self {
            version,
            revision,
            ..Self::default()
        }
    }

    /// Sets the encoded form that other entries are given.
    pub fn encoded(&mut self, encoded: Bytes) {
        self.encoded = encoded;
    }

    /// Adds a route.
    pub fn route(&mut self, route: Route) {
        self.routes.push(Arc::new(route));
    }

    /// Adds a service.
    pub fn service(&mut self, service: Service) {
        self.services.push(Arc::new(service));
    }

    /// Sets the limits on what callers may send.
    pub fn limits(&mut self, limits: CallerLimits) {
        self.limits = Some(limits);
    }

    /// Adds a client account with its keys.
    pub fn account(&mut self, account: Account, keys: impl IntoIterator<Item = String>) {
        let index = self.accounts.len();
        self.accounts.push(account);
        self.keys
            .extend(keys.into_iter().map(|k| (k.into_boxed_str(), index)));
    }

    /// Builds the configuration and sorts its tables.
    #[must_use]
    pub fn build(mut self) -> Configuration {
        self.routes.sort_by(|a, b| {
            let by_length = b.path_prefix.len().cmp(&a.path_prefix.len());
            a.host.cmp(&b.host).then(by_length)
        });
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.keys.sort();
        let contentions = self.services.iter().filter_map(|s| {
            let engine = s.engine.as_ref()?;
            let routes = self.routes.iter().filter(|r| r.leads_to(&s.name));
            let contention = Contention::of(engine, routes.map(|r| r.priority));
            Some((s.name.clone(), contention))
        });
        let contentions = contentions.collect();
        Configuration {
            contentions,
            version: self.version,
            revision: self.revision,
            encoded: self.encoded,
            routes: self.routes,
            services: self.services,
            limits: self.limits.unwrap_or(DEFAULT_LIMITS),
            accounts: self.accounts,
            keys: self.keys,
        }
    }
}

impl Configuration {
    /// The route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let start = self.routes.partition_point(|r| *r.host < *host);
        self.routes[start..]
            .iter()
            .take_while(|r| *r.host == *host)
            .find(|r| path.starts_with(&*r.path_prefix))
    }

    /// The routes that lead to a service.
    pub fn routes_to(&self, service: &str) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.iter().filter(move |r| r.leads_to(service))
    }

    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        let i = self
            .services
            .binary_search_by(|s| (*s.name).cmp(name))
            .ok()?;
        Some(&self.services[i])
    }

    /// What the configuration declares of the contention for a service; none for a plain service.
    #[must_use]
    pub fn contention(&self, service: &str) -> Contention {
        self.contentions.get(service).copied().unwrap_or_default()
    }

    /// All services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Arc<Service>] {
        &self.services
    }

    /// Number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Whether any account is configured, so that requests need a key unless their route is
    /// anonymous.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// The account that this key belongs to.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Account> {
        let i = self.keys.binary_search_by(|(k, _)| (**k).cmp(key)).ok()?;
        self.accounts.get(self.keys[i].1)
    }
}
