//! Routes the requests of callers to targets and returns an answer, or a refusal that states
//! whether the request may have run.
//!
//! A process that runs this router is called an entry; a deployment has several of them, which do
//! not share state beyond the datagrams of [`peers`]. A target is a back end: either a plain
//! service, which handles a request alone, or an engine, which holds a range of a model's layers. A
//! model request passes through a path: a series of targets, the hops, that together run every
//! layer once. A chain is a set of engines that holds every layer once.
//!
//! Decisions are pure functions or plain state: [`path`] chooses the targets that a model request
//! passes through, [`fair_share`] ranks requests that are placed at the same time and limits
//! accounts, [`layout`] divides the model's layers among the targets, [`refusal`] estimates when a
//! refused caller should retry, [`attempt`] decides what follows a failed attempt, [`limits`] keeps to
//! what targets in need take, [`pauses`] leaves alone those that asked for it, [`budget`] limits
//! repeats, [`exclusions`] and [`liveness`] track failing and silent targets, [`departures`] tells what
//! an older copy of the platform's list says of targets that have left, [`watch_timing`] spreads the
//! watches of the platform's store so that silent connections are found, [`stopping`] tells which
//! requests a stopping entry still takes, and [`quarantine`] keeps
//! prompts from targets that crash on a part of them. [`contention`] tells for which services more is
//! decided while room is short: [`urgency`], [`waiting`], [`returning`], [`outages`] and [`pressure`].
//! Time, randomness and observations are passed in.
//!
//! The runtime around them serves callers ([`server`], [`proxy`]), sends attempts ([`upstream`]),
//! forwards streams ([`relay`]), follows the configuration and the targets on the platform
//! ([`sync`], [`configuration_exchange`]), exchanges load with the other entries ([`peers`]) and orders engines to load layers
//! ([`placer`]). Headers, bodies and platform calls are behind the traits of [`protocol`], which a
//! platform adapter implements.

pub mod attempt;
pub mod budget;
mod caller_stream;
pub mod collect;
pub mod configuration_exchange;
pub mod contention;
pub mod departures;
pub mod end_check;
pub mod exclusions;
pub mod fair_share;
pub mod fleet;
pub mod lag;
pub mod layout;
pub mod limits;
pub mod liveness;
pub mod load;
pub mod metrics;
pub mod newest_configuration;
pub mod outages;
pub mod path;
pub mod pauses;
pub mod peers;
pub mod placer;
pub mod pressure;
pub mod process;
pub mod protocol;
pub mod proxy;
pub mod quarantine;
pub mod refusal;
pub mod relay;
pub mod returning;
pub mod revision_tracker;
pub mod routes;
pub mod server;
pub mod settings;
pub mod silent_connections;
pub mod sse;
pub mod state;
pub mod stopping;
pub mod sync;
mod target_stream;
pub mod upstream;
pub mod urgency;
pub mod usage;
pub mod verdict_sync;
pub mod waiting;
pub mod watch_timing;
