//! Data types of placement: the desired state, the reported state, orders, events and settings.

use coriandercove_base::{Fence, Incarnation, Layer, ModelId, TargetId, ZoneId, data};
use std::time::Duration;

data! {
    /// A range of layers of a model, independent of the version of the weights.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct RangeId {
        /// Name of the model.
        pub model: ModelId,
        /// First layer of the range.
        pub first_layer: Layer,
        /// Layer after the last one.
        pub end_layer: Layer,
    }

    /// A range and a version of its weights, which a target holds or should hold.
    #[derive(Eq)]
    pub struct Assignment {
        /// Model and layers.
        pub range: RangeId,
        /// Version of the weights.
        pub version: String,
    }

    /// What the configuration demands for one range.
    #[derive(Eq)]
    pub struct DesiredRange {
        /// Range, with the version that targets should hold.
        pub assignment: Assignment,
        /// Lowest number of replicas, whatever the load.
        pub min_replicas: u32,
        /// Highest number of replicas under high load; at least `min_replicas`.
        pub max_replicas: u32,
        /// Adapters that each replica should hold, sorted.
        pub adapters: Vec<String>,
        /// Number of replicas wanted in each role, the most important role first. Further replicas
        /// get the last role.
        pub roles: Vec<(String, u32)>,
        /// Accelerator kinds that can hold the range; empty for any.
        pub accelerators: Vec<String>,
        /// Size of the weights in bytes, for the weight store's rate.
        pub weight_bytes: u64,
    }

    /// A target as membership and its agent report it.
    #[derive(Eq)]
    pub struct TargetView {
        /// Name of the target.
        pub target: TargetId,
        /// Availability zone of the target.
        pub zone: ZoneId,
        /// Kind of the target's accelerators.
        pub accelerator: String,
        /// Incarnation (run) of the target's agent.
        pub incarnation: Incarnation,
        /// Rises with each change of what the target holds, loads or does in one incarnation, so
        /// that a late report does not replace a newer one.
        pub revision: u32,
        /// Whether the target's agent is alive and not leaving.
        pub available: bool,
        /// What the target serves now; `None` while it holds nothing or loads a range.
        pub holds: Option<Assignment>,
        /// What the target loads now; `None` while it does not load.
        pub loading: Option<Assignment>,
        /// Adapters that the target holds, sorted.
        pub adapters: Vec<String>,
        /// Role of the target; empty if it has none.
        pub role: String,
        /// Share of the target's capacity in use, in hundredths.
        pub load: u8,
    }

    /// An order to a target. Repeating an order that has taken effect changes nothing.
    #[derive(Eq)]
    pub enum PlacementOrder {
        /// Store the fencing token and report the state. A new holder sends this first: after the
        /// answer, no order of an earlier holder can change the target any more.
        Confirm,
        /// Load a range in place of what the target holds.
        Load(Assignment),
        /// Load the adapter with this name.
        LoadAdapter(String),
        /// Change to this role.
        ChangeRole(String),
        /// Stop serving and free all weights.
        Unload,
    }

    /// Result of an order.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// The target executes the order or has executed it.
        Done,
        /// The target refused the order or failed; the order has no effect.
        Failed,
        /// The fencing token is outdated: another holder has taken over.
        Fenced,
        /// No answer came, or the answer does not tell; the order may take effect.
        Unknown,
    }
}

/// Input of [`super::Placement::on_event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementEvent {
    /// Time has passed.
    Tick,
    /// This node holds the placement lease, with this fencing token.
    Holder(Fence),
    /// This node no longer holds the placement lease.
    NotHolder,
    /// The desired ranges of the configuration, in place of the previous ones.
    Desired(Vec<DesiredRange>),
    /// All known targets, in place of the previous ones.
    Targets(Vec<TargetView>),
    /// A target answered [`PlacementOrder::Confirm`].
    Confirmed {
        /// Fencing token of the order.
        fence: Fence,
        /// State of the target when it answered.
        view: TargetView,
    },
    /// Result of any other order.
    OrderResult {
        /// Name of the target.
        target: TargetId,
        /// Fencing token of the order.
        fence: Fence,
        /// Result of the order.
        outcome: Outcome,
    },
}

/// Output of [`super::Placement::on_event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementAction {
    /// Send an order to a target, through its agent.
    Order {
        /// Name of the target.
        target: TargetId,
        /// Incarnation of the target's agent that the order is meant for; a later run refuses it.
        incarnation: Incarnation,
        /// Fencing token of this holder.
        fence: Fence,
        /// Order number. It rises with each order of this holder, repeated ones included. A target
        /// refuses an order whose fence and number are not above the highest pair it has seen, so a
        /// delayed copy cannot undo a later order.
        seq: u64,
        /// The order.
        order: PlacementOrder,
    },
    /// Report that a range has fewer replicas than its minimum and that no order can change that
    /// now.
    Blocked {
        /// Range concerned.
        range: RangeId,
        /// Cause, for operators.
        reason: String,
    },
}

/// Settings of placement.
#[derive(Debug, Clone)]
pub struct PlacementSettings {
    /// Bytes per second that the weight store grants to this deployment; spaces out the loads.
    pub weight_bytes_per_s: u64,
    /// Time after which an order whose effect no report shows is sent again.
    pub order_timeout: Duration,
    /// Time after which an unanswered [`PlacementOrder::Confirm`] is repeated.
    pub confirm_timeout: Duration,
    /// Time after getting the lease in which loads wait until all available targets have confirmed,
    /// because one that has not may be loading already.
    pub confirm_grace: Duration,
    /// Time for which a target gets no further order after a failed one.
    pub failure_pause: Duration,
    /// Time for which the load of a range must stay high before it gets another replica.
    pub rebalance_after: Duration,
    /// Mean load of a range's replicas, in hundredths, from which it gets another replica.
    pub high_load: u8,
    /// Mean load of a range's replicas, in hundredths, below which another range may get one of
    /// them.
    pub low_load: u8,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            weight_bytes_per_s: 1 << 30,
            order_timeout: Duration::from_secs(30),
            confirm_timeout: Duration::from_secs(3),
            confirm_grace: Duration::from_secs(10),
            failure_pause: Duration::from_secs(30),
            rebalance_after: Duration::from_secs(60),
            high_load: 80,
            low_load: 30,
        }
    }
}

/// Counters of placement since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementCounters {
    /// Orders sent, without confirmations and repeated orders.
    pub orders: u64,
    /// Loads among the orders.
    pub loads: u64,
    /// Orders that a target refused or failed.
    pub failed: u64,
    /// Orders refused for an outdated fencing token.
    pub fenced: u64,
    /// Times a target was not considered for a load because it holds the last replica of a range.
    pub last_replica_kept: u64,
}
