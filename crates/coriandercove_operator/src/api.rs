//! Bodies of the operators' API.

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
        /// Run of the process.
        pub incarnation: Incarnation,
        /// Version of the program.
        pub program_version: String,
        /// What the process does now.
        pub state: NodeState,
        /// Version of the configuration in force, or 0 if none is known.
        pub config_version: ConfigVersion,
        /// Digest of the configuration in force; empty if none is known.
        pub config_digest: String,
        /// Time since the process started, in milliseconds.
        pub uptime_ms: u64,
        /// Requests and streams in progress.
        pub in_flight: u64,
        /// Whether the store answered the latest call.
        pub store_reachable: bool,
        /// Other processes as this one sees them, sorted by node.
        #[serde(default)]
        pub members: Vec<MemberStatus>,
        /// Further figures of the role by name.
        #[serde(default)]
        pub figures: BTreeMap<String, u64>,
    }

    /// What a process does.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum NodeState {
        /// It waits for a configuration or for its target.
        Starting,
        /// It takes new work.
        Ready,
        /// It takes no new work and finishes what it has.
        Leaving,
    }

    /// Another process as a node sees it.
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
        /// Version of the configuration that it last reported.
        pub config_version: ConfigVersion,
    }

    /// Whether a process takes work; body of `GET /readyz`.
    #[derive(Eq)]
    pub struct Readiness {
        /// Whether it takes new work.
        pub ready: bool,
        /// Why not; empty if ready.
        #[serde(default)]
        pub reason: String,
    }

    /// Body of `POST /drain`. An empty body means the defaults.
    #[derive(Default, Eq)]
    #[serde(deny_unknown_fields, default)]
    pub struct DrainRequest {
        /// Time for requests in flight, instead of the one in the settings; in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub deadline_ms: Option<u64>,
    }

    /// Answer to `POST /drain`.
    #[derive(Eq)]
    pub struct DrainReply {
        /// What the process does now.
        pub state: NodeState,
        /// Requests and streams that have not ended yet.
        pub in_flight: u64,
        /// Time left until streams are moved, in milliseconds.
        pub deadline_ms: u64,
    }

    /// Body of `GET /config`.
    #[derive(Eq)]
    pub struct ConfigView {
        /// Version in force.
        pub version: ConfigVersion,
        /// Digest of the objects.
        pub digest: String,
        /// The objects in force.
        pub objects: Objects,
    }

    /// Query of `GET /explain`: how a request would be routed now, or why an earlier one ended as it did.
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
        /// What led to the decision, in order.
        pub steps: Vec<ExplainStep>,
    }

    /// One step of a decision.
    #[derive(Eq)]
    pub struct ExplainStep {
        /// Part of the router, such as `admission` or `chain`.
        pub part: String,
        /// What was chosen or found.
        pub outcome: String,
        /// Why.
        #[serde(default)]
        pub reason: String,
    }

    /// Body of every answer with an error status.
    #[derive(Eq)]
    pub struct ErrorBody {
        /// What was wrong, with the place and what is allowed.
        pub error: String,
    }
}

impl DrainRequest {
    /// The deadline, if one was given.
    #[must_use]
    pub fn deadline(&self) -> Option<Duration> {
        self.deadline_ms.map(Duration::from_millis)
    }
}

impl ExplainQuery {
    /// Checks that the query asks for one thing.
    ///
    /// # Errors
    /// A text with the problem and what is allowed.
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
