//! Metrics of long prompts beside short ones, for contended services.

use std::time::Duration;

use coriandercove_base::telemetry::{CounterFamily, HistogramFamily, Metrics, count};

use crate::path::interference::LongPromptOutcome;

/// Metrics of long prompts beside short ones.
#[derive(Clone)]
pub struct LongPromptMetrics {
    /// Time to the first event by prompt size.
    first_event: HistogramFamily,
    /// Long prompts whose best path has a hop beyond the bound, by what was decided.
    outcomes: CounterFamily,
}

impl LongPromptMetrics {
    /// Registers the metrics.
    #[must_use]
    pub fn new(m: &Metrics) -> Self {
        Self {
            first_event: m.duration_histograms(
                "prompt_first_event_seconds",
                "Time to the first event by prompt size",
            ),
            outcomes: m.counters("long_prompts", "Long prompts at the bound by outcome"),
        }
    }

    /// Records the time from the arrival of a stream to its first event.
    pub fn first_event(&self, is_long: bool, took: Duration) {
        let size = if is_long { "long" } else { "short" };
        self.first_event
            .get_or_create(&[("size", size.to_owned())])
            .observe(took.as_secs_f64());
    }

    /// Counts a path if the bound on long prompts in progress concerned it.
    pub fn outcome(&self, outcome: LongPromptOutcome) {
        let label = match outcome {
            LongPromptOutcome::Unaffected => return,
            LongPromptOutcome::Steered => "steered",
            LongPromptOutcome::Aged => "aged",
            LongPromptOutcome::NoOtherPath => "no_other_path",
        };
        count(&self.outcomes, "outcome", label);
    }
}
