//! Answers, generated configuration and process settings.
