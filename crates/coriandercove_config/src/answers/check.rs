//! Validation of answers. All errors are collected, each with its line.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::LazyLock;

use serde_norway::Value;

use super::generate::{PORT_STRIDE, first_target_port, generate_with_origins};
use super::{AddressSpread, Answers, CallAnswer, MAX_TARGETS, TEMPLATE, TargetGroup};
use crate::config::{Config, NAME_FORM, check_quality, is_name, list_names};
use crate::problem::Problems;
use crate::url::check_url;
use crate::yaml::Document;

/// The parsed template. A test guarantees that it is valid YAML.
static TEMPLATE_VALUE: LazyLock<Value> =
    LazyLock::new(|| serde_norway::from_str(TEMPLATE).unwrap_or_default());

/// Valid answers and the configuration generated from them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckedAnswers {
    /// The answers.
    pub answers: Answers,
    /// The configuration generated from them.
    pub config: Config,
}

/// Parses and validates answers. `file` is the file name that errors report.
///
/// # Errors
/// Every problem, with file, line, key and the allowed values.
pub fn parse(file: &str, text: &str) -> Result<CheckedAnswers, Problems> {
    let document = Document::parse(file, text)?;
    let decoded = document.decode::<Answers>(&TEMPLATE_VALUE);
    let mut problems = decoded.problems.clone();
    let Some(answers) = &decoded.value else {
        problems.0.sort();
        return Err(problems);
    };
    let (config, findings) = check(answers);
    let new: Vec<_> = findings
        .into_iter()
        .filter(|f| !decoded.was_replaced(&f.key))
        .map(|f| document.problem(&f.key, f.problem, &f.allowed))
        .collect();
    problems.0.extend(new);
    problems.into_result(CheckedAnswers {
        answers: answers.clone(),
        config,
    })
}

/// An invalid answer, before its line in the file is known.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Path of the answer; empty for the whole document.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What is allowed.
    pub allowed: String,
}

/// Generates the configuration for `answers` and returns it with all findings.
///
/// The configuration is valid only if there are no findings.
#[must_use]
pub fn check(answers: &Answers) -> (Config, Vec<Finding>) {
    let mut c = Checker::default();
    c.required(answers);
    c.platform(answers);
    c.entries(answers);
    c.network(answers);
    for (i, service) in answers.services.iter().enumerate() {
        c.calls(
            &format!("services[{i}].must_not_repeat"),
            &service.must_not_repeat,
        );
        c.calls(&format!("services[{i}].repeatable"), &service.repeatable);
    }
    c.duplicate_names(answers);
    for (i, group) in answers.targets.iter().enumerate() {
        c.group(&format!("targets[{i}]"), group);
    }
    let total = answers
        .targets
        .iter()
        .map(|g| u64::from(g.replicas))
        .sum::<u64>();
    if total > u64::from(MAX_TARGETS) {
        let allowed = format!("at most {MAX_TARGETS} in all groups together");
        c.add("targets", format!("{total} targets are too many"), &allowed);
    }
    let config = c.generated_config(answers);
    (config, c.findings.into_iter().collect())
}

#[derive(Default)]
struct Checker {
    /// A set, because all replicas of a group map to the same answer and would repeat its findings.
    findings: BTreeSet<Finding>,
}

impl Checker {
    fn add(&mut self, key: &str, problem: String, allowed: &str) {
        self.findings.insert(Finding {
            key: key.to_owned(),
            problem,
            allowed: allowed.to_owned(),
        });
    }

    fn reject_empty(&mut self, key: &str, is_empty: bool, allowed: &str) {
        if is_empty {
            self.add(key, "nothing is given".to_owned(), allowed);
        }
    }

    fn required(&mut self, a: &Answers) {
        self.reject_empty(
            "trade.name",
            a.trade.name.trim().is_empty(),
            "the name of the team",
        );
        self.reject_empty("sites", a.sites.is_empty(), "at least one site");
        self.reject_empty("entries", a.entries.is_empty(), "at least one entry");
        self.reject_empty(
            "accounts",
            a.accounts.is_empty(),
            "at least one client account",
        );
        self.reject_empty(
            "targets",
            a.targets.is_empty(),
            "at least one group of targets",
        );
        let has_no_workload = a.models.is_empty() && a.services.is_empty();
        self.reject_empty(
            "models",
            has_no_workload,
            "at least one model or one service",
        );
        for (i, site) in a.sites.iter().enumerate() {
            self.reject_empty(
                &format!("sites[{i}].zones"),
                site.zones.is_empty(),
                "at least one zone",
            );
        }
        for (i, model) in a.models.iter().enumerate() {
            let key = format!("models[{i}].compute");
            self.reject_empty(
                &key,
                model.compute.is_empty(),
                "one line for each kind of accelerator",
            );
        }
    }

    fn platform(&mut self, a: &Answers) {
        self.reject_empty(
            "platform.store",
            a.platform.store.is_empty(),
            "at least one URL",
        );
        for (i, url) in a.platform.store.iter().enumerate() {
            self.url(&format!("platform.store[{i}]"), url);
        }
        if let Some(url) = &a.platform.vm_list {
            self.url("platform.vm_list", url);
        }
    }

    fn url(&mut self, key: &str, url: &str) {
        if let Err((problem, allowed)) = check_url(url) {
            self.add(key, problem, allowed);
        }
    }

    fn entries(&mut self, a: &Answers) {
        let zones: Vec<&str> = zone_names(a);
        let mut seen: HashMap<SocketAddr, String> = HashMap::new();
        for (i, e) in a.entries.iter().enumerate() {
            let key = format!("entries[{i}]");
            if !is_name(&e.node) {
                let problem = format!("`{}` is not a valid name", e.node);
                self.add(&format!("{key}.node"), problem, NAME_FORM);
            }
            if !zones.contains(&&*e.zone) {
                let problem = format!("there is no zone `{}`", e.zone);
                self.add(&format!("{key}.zone"), problem, &list_names(&zones));
            }
            for (field, address) in [
                ("callers", e.callers),
                ("peer", e.peer),
                ("operations", e.operations),
            ] {
                self.entry_address(&format!("{key}.{field}"), field, address, &mut seen);
            }
        }
        self.target_addresses(a, &seen);
    }

    fn entry_address(
        &mut self,
        key: &str,
        field: &str,
        address: SocketAddr,
        seen: &mut HashMap<SocketAddr, String>,
    ) {
        let is_dialed = field != "callers";
        if address.port() == 0 || (is_dialed && address.ip().is_unspecified()) {
            let problem = format!("{address} cannot be reached by other processes");
            self.add(
                key,
                problem,
                "an IP address and a port from 1, such as 10.0.0.5:7400",
            );
        }
        if let Some(other) = seen.insert(address, key.to_owned()) {
            let problem = format!("{address} is also used by {other}");
            self.add(key, problem, "an address of its own");
        }
    }

    fn target_addresses(&mut self, a: &Answers, seen: &HashMap<SocketAddr, String>) {
        for (i, group) in a.targets.iter().enumerate() {
            for n in 0..group.replicas.min(MAX_TARGETS) {
                let address = super::generate::nth_address(group, n);
                if let Some(other) = seen.get(&address) {
                    let problem = format!("{address} is also used by {other}");
                    self.add(
                        &format!("targets[{i}].peer"),
                        problem,
                        "an address of its own",
                    );
                }
            }
        }
    }

    /// Checks all three classes of links, also those that no link uses yet: a zone that is added
    /// later would use them.
    fn network(&mut self, a: &Answers) {
        for (key, q) in [
            ("network.within_zone", &a.network.within_zone),
            ("network.between_zones", &a.network.between_zones),
            ("network.between_regions", &a.network.between_regions),
        ] {
            for p in check_quality(key, q.delay, q.bytes_per_second).0 {
                self.add(&p.key, p.problem, &p.allowed);
            }
        }
        for (i, link) in a.network.links.iter().enumerate() {
            let is_same_link = |l: &super::LinkAnswer| {
                (&l.a, &l.b) == (&link.a, &link.b) || (&l.b, &l.a) == (&link.a, &link.b)
            };
            if a.network.links[..i].iter().any(is_same_link) {
                let problem = format!("the link {} to {} is given twice", link.a, link.b);
                self.add(
                    &format!("network.links[{i}]"),
                    problem,
                    "one line for each link",
                );
            }
        }
    }

    fn calls(&mut self, key: &str, calls: &[CallAnswer]) {
        for (i, call) in calls.iter().enumerate() {
            if let Some(Err(problem)) = call.timeout.as_deref().map(crate::duration::parse) {
                self.add(
                    &format!("{key}[{i}].timeout"),
                    problem,
                    crate::duration::ALLOWED,
                );
            }
            if !call.call.trim().contains(' ') {
                let problem = format!("`{}` is not a method and a path", call.call);
                let allowed = "a method, a space and a path pattern, such as `POST /orders/*`";
                self.add(&format!("{key}[{i}].call"), problem, allowed);
            }
        }
    }

    /// Rejects duplicate names that the configuration check cannot find or attribute: entries are
    /// no configuration objects, and the name of a target group is only a prefix of target ids.
    fn duplicate_names(&mut self, a: &Answers) {
        self.reject_duplicates("entries", "node", a.entries.iter().map(|x| &*x.node));
        self.reject_duplicates("targets", "name", a.targets.iter().map(|x| x.name.as_str()));
    }

    fn reject_duplicates<'a>(
        &mut self,
        list: &str,
        field: &str,
        names: impl Iterator<Item = &'a str>,
    ) {
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        for (i, name) in names.enumerate() {
            if !seen.insert(name) {
                let problem = format!("`{name}` is given twice");
                self.add(&format!("{list}[{i}].{field}"), problem, "unique names");
            }
        }
    }

    fn group(&mut self, key: &str, g: &TargetGroup) {
        if g.replicas == 0 {
            let allowed = format!("1 to {MAX_TARGETS}");
            self.add(
                &format!("{key}.replicas"),
                "0 is out of range".to_owned(),
                &allowed,
            );
        }
        let shift = match g.spread {
            AddressSpread::Ip => 0,
            AddressSpread::Port => PORT_STRIDE.saturating_mul(g.replicas.saturating_sub(1)),
        };
        let last = u32::from(first_target_port(g)).saturating_add(shift);
        if g.target_port == Some(0) || last > u32::from(u16::MAX) {
            let problem = format!("the port {last} is out of range");
            let allowed = "1 to 65535 for every target; with spread `port` they are 10 apart";
            self.add(&format!("{key}.target_port"), problem, allowed);
        }
        let engine = [
            ("accelerator", g.accelerator.is_some()),
            ("model", g.model.is_some()),
            ("version", g.version.is_some()),
            ("first_layer", g.first_layer.is_some()),
            ("end_layer", g.end_layer.is_some()),
        ];
        match (&g.service, &g.model) {
            (Some(_), _) => {
                for (field, _) in engine.iter().filter(|(_, given)| *given) {
                    let problem = "it cannot be combined with `service`".to_owned();
                    self.add(
                        &format!("{key}.{field}"),
                        problem,
                        "either `service` or `model`",
                    );
                }
            }
            (None, None) => {
                let problem = "neither `model` nor `service` is given".to_owned();
                self.add(
                    key,
                    problem,
                    "`model` and `accelerator` for engines, `service` for services",
                );
            }
            (None, Some(_)) if g.accelerator.is_none() => {
                let problem = "missing key `accelerator`".to_owned();
                let allowed = "the kind of accelerator, as in the model's `compute`";
                self.add(&format!("{key}.accelerator"), problem, allowed);
            }
            _ => {}
        }
    }

    /// Checks the generated configuration and maps its problems to the answers they come from.
    ///
    /// An answer that already has a finding gets no second one: it would describe the same fault in
    /// other words.
    fn generated_config(&mut self, answers: &Answers) -> Config {
        let (config, origins) = generate_with_origins(answers);
        let known: BTreeSet<String> = self.findings.iter().map(|f| f.key.clone()).collect();
        for p in config.check().err().unwrap_or_default().0 {
            let key = origins.answer_path(&p.key);
            // Duplicate group names were already reported once per group; the targets would repeat
            // them.
            let is_duplicate_target =
                p.key.starts_with("target/") && p.problem.ends_with("given twice");
            if !is_duplicate_target && !known.contains(&key) {
                self.add(&key, p.problem, &p.allowed);
            }
        }
        config
    }
}

fn zone_names(a: &Answers) -> Vec<&str> {
    let zones = a.sites.iter().flat_map(|s| &s.zones);
    zones.map(|z| &**z).collect()
}
