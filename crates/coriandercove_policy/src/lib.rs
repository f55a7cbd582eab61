//! Routing, admission, retry and ejection decisions.
