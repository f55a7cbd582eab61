//! What placement sees, wants and orders.

use coriandercove_base::{Fence, Incarnation, Layer, ModelId, TargetId, ZoneId, data};
use std::time::Duration;

data! {
    /// A range of layers of a model, whatever its version.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct RangeId {
        /// The model.
        pub model: ModelId,
        /// First layer.
        pub first_layer: Layer,
        /// Layer after the last one.
        pub end_layer: Layer,
    }

    /// What a target holds or should hold.
    #[derive(Eq)]
    pub struct Assignment {
        /// Layers of which model.
        pub range: RangeId,
        /// Version of the weights.
        pub version: String,
    }

    /// What the configuration wants for one range.
    #[derive(Eq)]
    pub struct DesiredRange {
        /// The range and version.
        pub assignment: Assignment,
        /// Replicas wanted at the least.
        pub min_replicas: u32,
        /// Replicas allowed under load; at least `min_replicas`.
        pub max_replicas: u32,
        /// Adapters that each replica should hold, sorted.
        pub adapters: Vec<String>,
        /// Replicas wanted in each role, in order of importance; others take the last role.
        pub roles: Vec<(String, u32)>,
        /// Accelerator kinds that can hold the range; empty for any.
        pub accelerators: Vec<String>,
        /// Size of the weights in bytes, for the weight store's rate.
        pub weight_bytes: u64,
    }

    /// A target as membership and its agent report it.
    #[derive(Eq)]
    pub struct TargetView {
        /// The target.
        pub target: TargetId,
        /// Its zone.
        pub zone: ZoneId,
        /// Kind of its accelerators.
        pub accelerator: String,
        /// Run of its agent.
        pub incarnation: Incarnation,
        /// Rises with each change of what the target holds, loads or does in one incarnation, so
        /// that a late report does not replace a newer one.
        pub revision: u32,
        /// Whether it is alive and not leaving.
        pub available: bool,
        /// What it serves now; `None` while it holds nothing or loads.
        pub holds: Option<Assignment>,
        /// What it loads now.
        pub loading: Option<Assignment>,
        /// Adapters that it holds, sorted.
        pub adapters: Vec<String>,
        /// Its role, empty if it has none.
        pub role: String,
        /// Share of its capacity in use, in hundredths.
        pub load: u8,
    }

    /// An order to a target. Repeating an order that has taken effect changes nothing.
    #[derive(Eq)]
    pub enum PlacementOrder {
        /// Note the fencing number and report the state. A new holder gives it first: after the
        /// answer no order of an earlier holder can change the target any more.
        Confirm,
        /// Load a range; replaces what the target holds.
        Load(Assignment),
        /// Load an adapter.
        LoadAdapter(String),
        /// Change role.
        ChangeRole(String),
        /// Stop serving and free all weights.
        Unload,
    }

    /// What became of an order.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// The target carries it out or has done so.
        Done,
        /// The target refused it or failed; it has no effect.
        Failed,
        /// The fencing number is old: another holder has taken over.
        Fenced,
        /// No answer came.
        Unknown,
    }
}

/// Input of [`super::Placement::on_event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementEvent {
    /// Time has passed.
    Tick,
    /// This node holds the placement lease, with this fencing number.
    Holder(Fence),
    /// This node does not hold the lease any more.
    NotHolder,
    /// What the configuration wants, in place of all before.
    Desired(Vec<DesiredRange>),
    /// All targets, in place of all before.
    Targets(Vec<TargetView>),
    /// A target answered [`PlacementOrder::Confirm`].
    Confirmed {
        /// Fencing number of the order.
        fence: Fence,
        /// State of the target when it answered.
        view: TargetView,
    },
    /// Result of any other order.
    OrderResult {
        /// The target.
        target: TargetId,
        /// Fencing number of the order.
        fence: Fence,
        /// What became of it.
        outcome: Outcome,
    },
}

/// Output of [`super::Placement::on_event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementAction {
    /// Give an order to a target, through its agent.
    Order {
        /// The target.
        target: TargetId,
        /// Run of the target's agent that the order is meant for; a later run refuses it.
        incarnation: Incarnation,
        /// Fencing number of this holder.
        fence: Fence,
        /// Rises with each order of this holder, repeated ones included. A target refuses an
        /// order whose fence and number are not above the highest pair it has seen, so a delayed
        /// copy cannot undo a later order.
        seq: u64,
        /// What to do.
        order: PlacementOrder,
    },
    /// A range has fewer replicas than wanted and no order can help now.
    Blocked {
        /// The range.
        range: RangeId,
        /// What prevents it.
        reason: String,
    },
}

/// Settings of placement.
#[derive(Debug, Clone)]
pub struct PlacementSettings {
    /// Bytes a second that the weight store grants to this deployment.
    pub weight_bytes_per_s: u64,
    /// Time after which an order without visible effect is given again.
    pub order_timeout: Duration,
    /// Time after which an unanswered [`PlacementOrder::Confirm`] is repeated.
    pub confirm_timeout: Duration,
    /// Time after taking over in which loads wait until all available targets have confirmed,
    /// because one of them may be loading already.
    pub confirm_grace: Duration,
    /// Time for which a target that failed an order gets none.
    pub failure_pause: Duration,
    /// Time for which a load imbalance must last before a target moves.
    pub rebalance_after: Duration,
    /// Load of a range, in hundredths, above which it gets another replica.
    pub high_load: u8,
    /// Load of a range, in hundredths, below which it gives one away.
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

/// Counters of placement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementCounters {
    /// Orders given.
    pub orders: u64,
    /// Loads among them.
    pub loads: u64,
    /// Orders that failed.
    pub failed: u64,
    /// Orders refused for an old fencing number.
    pub fenced: u64,
    /// Moves not made because they would have taken the last replica of a range.
    pub last_replica_kept: u64,
}
