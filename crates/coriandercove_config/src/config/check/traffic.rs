//! Validation of pipelines, plain services and client accounts.

use std::collections::HashMap;

use super::Checker;
use crate::config::service::{METHODS_FORM, PATTERN_FORM, check_pattern, is_method};
use crate::config::{Account, Config, Pipeline, Rule, Service, Target, TargetKind};
use crate::keys::is_hex;

impl Checker {
    pub(super) fn pipeline(&mut self, config: &Config, p: &Pipeline) {
        let key = format!("pipeline/{}", p.model);
        self.name(format!("{key}.model"), &p.model);
        self.name(format!("{key}.version"), &p.version);
        self.range(&key, "layers", p.layers.into(), 1, 1024);
        self.range(&key, "hidden_size", p.hidden_size.into(), 1, 1 << 20);
        self.range(&key, "bytes_per_value", p.bytes_per_value.into(), 1, 8);
        self.range(&key, "max_tokens", p.max_tokens.into(), 1, 10_000_000);
        self.range(&key, "priority", p.priority.into(), 0, 9);
        self.millis(
            &key,
            "first_token_deadline",
            p.first_token_deadline,
            1,
            600_000,
        );
        self.millis(&key, "token_deadline", p.token_deadline, 1, 60_000);
        self.millis(&key, "request_deadline", p.request_deadline, 1, 86_400_000);
        if p.first_token_deadline > p.request_deadline {
            self.add(
                format!("{key}.request_deadline"),
                "it is shorter than the first-token deadline".to_owned(),
                "at least `first_token_deadline`",
            );
        }
        for (i, c) in p.compute.iter().enumerate() {
            self.name(format!("{key}.compute[{i}].accelerator"), &c.accelerator);
            self.range(
                &key,
                &format!("compute[{i}].decode_us"),
                c.decode_us.into(),
                1,
                10_000_000,
            );
            self.range(
                &key,
                &format!("compute[{i}].prefill_ns"),
                c.prefill_ns.into(),
                1,
                4_000_000_000,
            );
        }
        self.coverage(config, p, &key);
    }

    /// Checks that every layer is placed: if no target held a layer, every request for the model
    /// would fail.
    pub(super) fn coverage(&mut self, config: &Config, p: &Pipeline, key: &str) {
        let mut ranges: Vec<(u16, u16)> = config
            .placements
            .iter()
            .filter(|x| x.model == p.model && x.version == p.version && !x.targets.is_empty())
            .map(|x| (x.first_layer, x.end_layer))
            .collect();
        ranges.sort_unstable();
        let mut covered = 0;
        for (first, end) in ranges {
            if first > covered {
                break;
            }
            covered = covered.max(end);
        }
        if covered < p.layers {
            self.add(
                format!("{key}.layers"),
                format!("no target holds layer {covered} of version `{}`", p.version),
                "targets whose ranges together cover all layers",
            );
        }
    }

    pub(super) fn service(&mut self, config: &Config, s: &Service) {
        let key = format!("service/{}", s.name);
        self.name(format!("{key}.name"), &s.name);
        self.millis(&key, "timeout", s.timeout, 1, 3_600_000);
        self.range(&key, "concurrency", s.concurrency.into(), 1, 100_000);
        for (i, rule) in s.rules.iter().enumerate() {
            self.rule(&key, i, rule);
            let is_same_call = |r: &Rule| r.method == rule.method && r.path == rule.path;
            if s.rules[..i].iter().any(is_same_call) {
                self.add(
                    format!("{key}.rules[{i}]"),
                    format!("`{} {}` is given twice", rule.method, rule.path),
                    "one rule for each call",
                );
            }
        }
        let runs_service =
            |t: &Target| matches!(&t.kind, TargetKind::Service { service } if *service == s.name);
        if !config.targets.iter().any(runs_service) {
            self.add(
                format!("{key}.name"),
                format!("no target runs the service `{}`", s.name),
                "at least one target of kind service",
            );
        }
    }

    pub(super) fn rule(&mut self, key: &str, i: usize, rule: &Rule) {
        if !is_method(&rule.method) {
            self.add(
                format!("{key}.rules[{i}].method"),
                format!("`{}` is not an HTTP method", rule.method),
                METHODS_FORM,
            );
        }
        if let Err(problem) = check_pattern(&rule.path) {
            self.add(format!("{key}.rules[{i}].path"), problem, PATTERN_FORM);
        }
        self.millis(
            key,
            &format!("rules[{i}].timeout"),
            rule.timeout,
            1,
            3_600_000,
        );
    }

    pub(super) fn account(&mut self, a: &Account) {
        let key = format!("account/{}", a.name);
        self.name(format!("{key}.name"), &a.name);
        self.range(&key, "weight", a.weight.into(), 1, 10_000);
        self.range(
            &key,
            "quota_tokens_per_second",
            a.quota_tokens_per_second,
            1,
            1_000_000_000,
        );
        self.range(&key, "burst_tokens", a.burst_tokens, 1, 10_000_000_000);
        self.range(&key, "concurrency", a.concurrency.into(), 1, 1_000_000);
        self.range(&key, "priority", a.priority.into(), 0, 9);
        for (i, k) in a.keys.iter().enumerate() {
            if !is_hex(&k.id, 12) || !is_hex(&k.hash, 64) {
                self.add(
                    format!("{key}.keys[{i}]"),
                    "the id or the hash is malformed".to_owned(),
                    "an id of 12 and a hash of 64 lower-case hexadecimal digits, from `coriandercove key new`",
                );
            }
        }
    }

    /// Checks that no two accounts or keys share a key id, by which keys are looked up.
    pub(super) fn key_ids(&mut self, accounts: &[Account]) {
        let mut seen: HashMap<&str, &str> = HashMap::new();
        for account in accounts {
            for (i, key) in account.keys.iter().enumerate() {
                if let Some(other) = seen.insert(&key.id, &account.name) {
                    self.add(
                        format!("account/{}.keys[{i}]", account.name),
                        format!(
                            "the key id `{}` is also used by the account `{other}`",
                            key.id
                        ),
                        "a key of its own for each account, from `coriandercove key new`",
                    );
                }
            }
        }
    }
}
