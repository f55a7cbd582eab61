//! Accounting of a request while it is served, and the format of its path in the log.

use std::fmt::Write as _;
use std::rc::Rc;

use slog::info;

use coriandercove_base::Time;

use crate::path::Hop;
use crate::protocol::RequestLabel;
use crate::quarantine::mark::Mark;
use crate::state::Router;

/// Formats a path for the log as `address=layers`, separated by commas.
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
            // Writing to a `String` cannot fail.
            let _ = write!(text, "{comma}{}={}", hop.address, hop.layers);
        }
        serializer.emit_str(key, &text)
    }
}

/// Formats marks for the log in hexadecimal, parts of a prompt as callers send them.
pub(crate) struct MarksText<'a>(pub(crate) &'a [Mark]);

impl slog::Value for MarksText<'_> {
    fn serialize(
        &self,
        _: &slog::Record<'_>,
        key: slog::Key,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        let marks: Vec<String> = self.0.iter().map(|m| format!("{m:x}")).collect();
        serializer.emit_str(key, &marks.join(","))
    }
}

/// Counts a request as in flight until it is dropped. If it is dropped before [`Self::complete`] is
/// called, the caller disconnected, which is counted and logged.
pub(crate) struct RequestGuard {
    router: Rc<Router>,
    label: RequestLabel,
    arrived: Time,
    is_complete: bool,
}

impl RequestGuard {
    pub(super) fn new(router: &Rc<Router>, label: &RequestLabel, arrived: Time) -> Self {
        router.metrics.in_flight.inc();
        Self {
            router: Rc::clone(router),
            label: RequestLabel::clone(label),
            arrived,
            is_complete: false,
        }
    }

    pub(crate) fn complete(&mut self) {
        self.is_complete = true;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.router.metrics.in_flight.dec();
        if !self.is_complete {
            let took = self.router.now().saturating_sub(self.arrived);
            self.router.metrics.cancelled.inc();
            info!(self.router.log, "caller left"; "req" => &*self.label,
                "ms" => took.as_millis());
        }
    }
}
