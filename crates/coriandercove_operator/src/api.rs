//! Queries and bodies of the operators' API.

use std::collections::BTreeMap;
use std::time::Duration;

use coriandercove_base::{ConfigVersion, Incarnation, NodeId, TargetId, ZoneId, data};
use coriandercove_config::Objects;

data! {
    /// Body of `GET /status`.
    #[derive(Eq)]
    pub struct NodeStatus {
        /// Name of the process.
        pub node: NodeId,
        /// `entry` or `agent`.
        pub role: String,
        /// Zone of the VM.
        pub zone: ZoneId,
        /// Region of the zone.
        pub region: String,
        /// Incarnation of the process.
        pub incarnation: Incarnation,
        /// Version of the program.
        pub program_version: String,
        /// State of the process.
        pub state: NodeState,
        /// Version of the configuration in force, or 0 if none is known.
        pub config_version: ConfigVersion,
        /// Digest of the configuration in force; empty if none is known.
        pub config_digest: String,
        /// Time since the process started, in milliseconds.
        pub uptime_ms: u64,
        /// Requests and streams in progress.
        pub in_flight: u64,
        /// Whether the store answered the latest call of the process.
        pub store_reachable: bool,
        /// Other processes as this one sees them, sorted by node.
        #[serde(default)]
        pub members: Vec<MemberStatus>,
        /// Further numbers that depend on the role, by name.
        #[serde(default)]
        pub figures: BTreeMap<String, u64>,
    }

    /// State of a process with regard to new work.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum NodeState {
        /// It is waiting for a configuration or for its target.
        Starting,
        /// It accepts new work.
        Ready,
        /// It accepts no new work and finishes the work in progress.
        Leaving,
    }

    /// Another process, as its node sees it through membership.
    #[derive(Eq)]
    pub struct MemberStatus {
        /// Name of the process.
        pub node: NodeId,
        /// `entry` or `agent`.
        pub role: String,
        /// Zone of its VM.
        pub zone: ZoneId,
        /// Membership state, such as `alive`.
        pub state: String,
        /// Configuration version that the process last reported, or 0 if the answering node does
        /// not track it.
        pub config_version: ConfigVersion,
    }

    /// Whether a process accepts new work; body of `GET /readyz`.
    #[derive(Eq)]
    pub struct Readiness {
        /// Whether it accepts new work.
        pub ready: bool,
        /// Why it does not accept new work; empty if it does.
        #[serde(default)]
        pub reason: String,
    }

    /// Body of `POST /drain`. An empty body means the defaults.
    #[derive(Default, Eq)]
    #[serde(deny_unknown_fields, default)]
    pub struct DrainRequest {
        /// Time that requests in flight get to finish, in milliseconds. Replaces the one of the
        /// settings.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub deadline_ms: Option<u64>,
    }

    /// Answer to `POST /drain`.
    #[derive(Eq)]
    pub struct DrainReply {
        /// State of the process.
        pub state: NodeState,
        /// Requests and streams that have not ended yet.
        pub in_flight: u64,
        /// Time from the start of the drain until streams are moved, in milliseconds: that of this
        /// request, or else that of the settings. It does not count down.
        pub deadline_ms: u64,
    }

    /// Body of `GET /config`.
    #[derive(Eq)]
    pub struct ConfigView {
        /// Version in force.
        pub version: ConfigVersion,
        /// Digest of the objects, to compare nodes with each other.
        pub digest: String,
        /// The objects in force.
        pub objects: Objects,
    }

    /// Query of `GET /explain`: how a request would be routed now, why an earlier one ended as it
    /// did, or which state a target has.
    #[derive(Default, Eq)]
    #[serde(deny_unknown_fields, default)]
    pub struct ExplainQuery {
        /// Id of an earlier request, as callers and logs see it.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub request: Option<String>,
        /// Client account of the request.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub account: Option<String>,
        /// Model of the request.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub model: Option<String>,
        /// Length of the prompt, in tokens.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub prompt_tokens: Option<u32>,
        /// Plain service of the request.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub service: Option<String>,
        /// HTTP method of the call to the service.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub method: Option<String>,
        /// Path of the call to the service.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub path: Option<String>,
        /// Target whose state is asked for.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub target: Option<TargetId>,
    }

    /// Answer to `GET /explain`.
    #[derive(Eq)]
    pub struct Explanation {
        /// The decision in one sentence.
        pub summary: String,
        /// The steps that led to the decision, in order.
        pub steps: Vec<ExplainStep>,
    }

    /// One step of a decision.
    #[derive(Eq)]
    pub struct ExplainStep {
        /// Component of the router that took the step, such as `admission` or `chain`.
        pub part: String,
        /// What was chosen or found.
        pub outcome: String,
        /// Why it was chosen or found.
        #[serde(default)]
        pub reason: String,
    }

    /// Body of every answer with an error status.
    #[derive(Eq)]
    pub struct ErrorBody {
        /// What is wrong, where, and what is allowed.
        pub error: String,
    }
}

impl DrainRequest {
    /// Returns the deadline if one was given.
    #[must_use]
    pub fn deadline(&self) -> Option<Duration> {
        self.deadline_ms.map(Duration::from_millis)
    }
}

impl ExplainQuery {
    /// Checks that the query names exactly one of request, model, service and target, and only the
    /// fields that go with it.
    ///
    /// # Errors
    /// Returns a text with the problem and what is allowed.
    pub fn check(&self) -> Result<(), String> {
        let asked = [
            self.request.is_some(),
            self.model.is_some(),
            self.service.is_some(),
            self.target.is_some(),
        ];
        if asked.iter().filter(|a| **a).count() != 1 {
            return Err(
                "the query must have exactly one of `request`, `model`, `service` and `target`"
                    .to_owned(),
            );
        }
        if self.service.is_none() && (self.method.is_some() || self.path.is_some()) {
            return Err("`method` and `path` are allowed only with `service`".to_owned());
        }
        if self.model.is_none() && self.prompt_tokens.is_some() {
            return Err("`prompt_tokens` is allowed only with `model`".to_owned());
        }
        Ok(())
    }
}
