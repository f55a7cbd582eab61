//! Notes of a request that are kept while it is served, and its path as the log shows it.

use std::fmt::Write as _;
use std::rc::Rc;

use slog::info;

use coriandercove_base::Time;

use crate::path::Hop;
use crate::protocol::RequestLabel;
use crate::state::Router;

/// A path as the log shows it.
pub(super) struct PathText<'a>(pub(super) &'a [Hop]);

impl slog::Value for PathText<'_> {
    fn serialize(
        &self,
        _: &slog::Record<'_>,
        key: slog::Key,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        let mut text = String::new();
        for hop in self.0 {
            let comma = if text.is_empty() { "" } else { "," };
            // Writing to a string cannot fail.
            let _ = write!(text, "{comma}{}={}", hop.address, hop.layers);
        }
        serializer.emit_str(key, &text)
    }
}

/// Counts a request from its arrival until its answer is complete, and logs a caller that left
/// before.
pub(crate) struct Watched {
    router: Rc<Router>,
    label: RequestLabel,
    arrived: Time,
    is_done: bool,
}

impl Watched {
    pub(super) fn new(router: &Rc<Router>, label: &RequestLabel, arrived: Time) -> Self {
        router.metrics.in_flight.inc();
        Self {
            router: Rc::clone(router),
            label: RequestLabel::clone(label),
            arrived,
            is_done: false,
        }
    }

    pub(crate) fn done(&mut self) {
        self.is_done = true;
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.router.metrics.in_flight.dec();
        if !self.is_done {
            let took = self.router.now().saturating_sub(self.arrived);
            self.router.metrics.cancelled.inc();
            info!(self.router.log, "caller left"; "req" => &*self.label,
                "ms" => took.as_millis());
        }
    }
}
