//! The configuration in force: routes, services and client accounts.

use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::{AccountId, ConfigVersion, ZoneId};

/// Name of a service.
pub type ServiceId = Arc<str>;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// May run any number of times.
    Repeatable,
    /// Runs once at the most.
    AtMostOnce,
    /// A stream that another target may continue after the last event that arrived.
    ResumableStream,
    /// A stream that runs once at the most.
    Stream,
}

impl Repeat {
    /// Whether an attempt that may have run can be followed by another one.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Whether the answer is a series of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}

/// A rule for requests whose host and path match.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host in lower case, without a port.
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Services with their share of the requests; never empty.
    pub split: Vec<(ServiceId, u32)>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Longest time to the final answer.
    pub timeout: Duration,
    /// Latency objective; of the first event for streams.
    pub objective: Duration,
    /// Longest pause between events that still meets the objective.
    pub gap_objective: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a key is not needed.
    pub is_anonymous: bool,
}

/// One kind of accelerator.
#[derive(Debug, Clone, PartialEq)]
pub struct Accelerator {
    /// Name.
    pub kind: Arc<str>,
    /// Memory for layers and requests, in MB.
    pub memory_mb: f64,
    /// Factor on the time of a decode step.
    pub decode_factor: f64,
    /// Factor on the time of prefill.
    pub prefill_factor: f64,
}

/// What the engines of a service need and how fast they are.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineModel {
    /// Layers of the model.
    pub layers: u16,
    /// Memory of one layer, in MB.
    pub layer_mb: f64,
    /// KV cache of one token over all layers, in bytes.
    pub kv_token_bytes: f64,
    /// Time of a decode step over all layers.
    pub step: Duration,
    /// Added to a step for each running sequence, in ms.
    pub step_per_sequence_ms: f64,
    /// Added to a step for each 1,000 tokens of context, in ms.
    pub step_per_context_ms: f64,
    /// Prefill speed over all layers, in tokens each ms.
    pub prefill_per_ms: f64,
    /// Most prompt tokens read beside one decode step; infinite without a limit.
    pub prefill_chunk: f64,
    /// Mean tokens of a prompt.
    pub usual_prompt: f64,
    /// Mean tokens of an answer.
    pub usual_answer: f64,
    /// Activations of one token between two parts of a chain, in bytes.
    pub activation_bytes: f64,
    /// Bandwidth between two zones, in Mbit/s.
    pub zone_link_mbps: f64,
    /// Delays between zones, one way.
    pub zone_delays: Vec<(ZoneId, ZoneId, Duration)>,
    /// Accelerators, sorted by kind.
    pub accelerators: Vec<Accelerator>,
}

impl EngineModel {
    /// Time of the usual answer on the usual kind of accelerator.
    #[must_use]
    pub fn usual_service_time(&self) -> Duration {
        let factors = self.accelerators.iter().map(|a| a.decode_factor);
        let mean = factors.sum::<f64>() / self.accelerators.len().max(1) as f64;
        self.step.mul_f64(self.usual_answer * mean.max(1.0))
    }

    /// The accelerator of this kind.
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
    /// Name.
    pub name: ServiceId,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Present for model engines.
    pub engine: Option<EngineModel>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request head.
    pub header_bytes: usize,
    /// Bytes of a request body.
    pub body_bytes: usize,
    /// Time to send a head.
    pub header_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name.
    pub name: AccountId,
    /// Goes before the route's rank where present.
    pub priority: Option<u8>,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version given by the operator.
    pub version: ConfigVersion,
    /// Store revision of the object it came from.
    pub revision: u64,
    /// Sorted by host, then longest prefix first.
    routes: Vec<Arc<Route>>,
    /// Sorted by name.
    services: Vec<Arc<Service>>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Client accounts; empty if requests need no key.
    accounts: Vec<Account>,
    /// Keys with the index of their account, sorted by key.
    keys: Vec<(Box<str>, usize)>,
}

/// Collects the parts of a [`Configuration`].
#[derive(Debug, Default)]
pub struct ConfigurationBuilder {
    version: ConfigVersion,
    revision: u64,
    routes: Vec<Arc<Route>>,
    services: Vec<Arc<Service>>,
    limits: Option<CallerLimits>,
    accounts: Vec<Account>,
    keys: Vec<(Box<str>, usize)>,
}

/// Bounds where the configuration states none.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 * 1024,
    body_bytes: 4 * 1024 * 1024,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

impl ConfigurationBuilder {
    /// Starts a configuration of this version, read at this store revision.
    #[must_use]
    pub fn new(version: ConfigVersion, revision: u64) -> Self {
        Self {
            version,
            revision,
            ..Self::default()
        }
    }

    /// Adds a route.
    pub fn route(&mut self, route: Route) {
        self.routes.push(Arc::new(route));
    }

    /// Adds a service.
    pub fn service(&mut self, service: Service) {
        self.services.push(Arc::new(service));
    }

    /// Sets the bounds on callers.
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

    /// The finished configuration.
    #[must_use]
    pub fn build(mut self) -> Configuration {
        self.routes.sort_by(|a, b| {
            let by_length = b.path_prefix.len().cmp(&a.path_prefix.len());
            a.host.cmp(&b.host).then(by_length)
        });
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.keys.sort();
        Configuration {
            version: self.version,
            revision: self.revision,
            routes: self.routes,
            services: self.services,
            limits: self.limits.unwrap_or(DEFAULT_LIMITS),
            accounts: self.accounts,
            keys: self.keys,
        }
    }
}

impl Configuration {
    /// The route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let start = self.routes.partition_point(|r| *r.host < *host);
        self.routes[start..]
            .iter()
            .take_while(|r| *r.host == *host)
            .find(|r| path.starts_with(&*r.path_prefix))
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        let i = self
            .services
            .binary_search_by(|s| (*s.name).cmp(name))
            .ok()?;
        Some(&self.services[i])
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

    /// Whether requests need a key.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// The account that holds this key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Account> {
        let i = self.keys.binary_search_by(|(k, _)| (**k).cmp(key)).ok()?;
        self.accounts.get(self.keys[i].1)
    }
}
