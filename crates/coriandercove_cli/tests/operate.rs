//! Tests of commands that call the operations API of a process. A stub node serves the API on a
//! loopback address.

#![expect(
    clippy::unwrap_used,
    reason = "helper functions of tests fail by panicking"
)]

use std::cell::Cell;
use std::process::{Command, Output, Stdio};
use std::rc::Rc;
use std::sync::mpsc;

use coriandercove_config::answers::{TEMPLATE, parse};
use coriandercove_config::{Objects, Secret};
use coriandercove_operator::{
    ConfigView, DrainReply, DrainRequest, ExplainQuery, ExplainStep, Explanation, NodeState,
    NodeStatus, OperationsError, OperationsHandler, OperationsServerBuilder, Readiness,
};
use futures_util::future::LocalBoxFuture;

const TOKEN: &str = "operator-token-for-tests";

fn objects() -> Objects {
    parse("answers", TEMPLATE).unwrap().config.to_objects()
}

/// A stub node whose number of requests in flight falls by one with each drain request.
struct StubNode {
    in_flight: Cell<u64>,
}

impl OperationsHandler for StubNode {
    fn metrics(&self) -> String {
        String::new()
    }

    fn readiness(&self) -> Readiness {
        Readiness {
            ready: true,
            reason: String::new(),
        }
    }

    fn status(&self) -> NodeStatus {
        NodeStatus {
            node: "entry-1".into(),
            role: "entry".to_owned(),
            zone: "main-1".into(),
            region: "south".to_owned(),
            incarnation: 1,
            program_version: "0.1.0".to_owned(),
            state: NodeState::Ready,
            config_version: 41,
            config_digest: objects().digest(),
            uptime_ms: 1,
            in_flight: self.in_flight.get(),
            store_reachable: false,
            members: Vec::new(),
            figures: Default::default(),
        }
    }

    fn config(&self) -> Result<ConfigView, OperationsError> {
        Ok(ConfigView {
            version: 41,
            digest: objects().digest(),
            objects: objects(),
        })
    }

    fn explain(&self, query: ExplainQuery) -> Result<Explanation, OperationsError> {
        match query.model.as_deref() {
            Some("drafts") => Ok(Explanation {
                summary: "would run on engine-001".to_owned(),
                steps: vec![ExplainStep {
                    part: "chain".to_owned(),
                    outcome: "engine-001".to_owned(),
                    reason: "lowest cost".to_owned(),
                }],
            }),
            _ => Err(OperationsError::NotFound {
                message: "the model; there is drafts".to_owned(),
            }),
        }
    }

    fn drain(
        &self,
        req: DrainRequest,
    ) -> LocalBoxFuture<'static, Result<DrainReply, OperationsError>> {
        let in_flight = self.in_flight.get();
        self.in_flight.set(in_flight.saturating_sub(1));
        Box::pin(async move {
            Ok(DrainReply {
                state: NodeState::Leaving,
                in_flight,
                deadline_ms: req.deadline_ms.unwrap_or(30_000),
            })
        })
    }
}

/// Runs a stub node on its own thread. Returns its address and a sender; the node runs until the
/// sender is dropped.
fn start_node() -> (String, tokio::sync::oneshot::Sender<()>) {
    let (address, started) = mpsc::channel();
    let (stop, stopped) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let node = StubNode {
                in_flight: Cell::new(2),
            };
            let token = Secret::new(TOKEN).unwrap();
            let builder = OperationsServerBuilder::new(Rc::new(node), token);
            let server = builder.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            address.send(server.address().to_string()).unwrap();
            let _ = stopped.await;
        });
    });
    (started.recv().unwrap(), stop)
}

fn run(args: &[&str], token: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_coriandercove"));
    command.args(args).stdin(Stdio::null());
    command.env("CORIANDERCOVE_OPERATOR_TOKEN", token);
    command.output().unwrap()
}

fn ok(args: &[&str]) -> String {
    let output = run(args, TOKEN);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{args:?}: {errors}");
    String::from_utf8(output.stdout).unwrap()
}

/// Guards against a status that leaves out the configuration version or an unreachable process.
#[test]
fn status_shows_versions_and_unreachable_processes() {
    let (address, _stop) = start_node();
    let text = ok(&["status", &address]);
    assert!(text.contains("entry-1  entry  main-1  ready  41"), "{text}");
    assert!(text.contains("version 41 in force at 1 of 1"), "{text}");
    let output = run(&["status", &address, "127.0.0.1:1"], TOKEN);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("unreachable"), "{text}");
    assert!(text.contains("version 41 in force at 1 of 2"), "{text}");
    let json: serde_json::Value =
        serde_json::from_str(&ok(&["status", &address, "--output", "json"])).unwrap();
    assert_eq!(json[0]["status"]["config_version"], 41);
}

/// Guards against `drain --wait` that returns while requests are in flight.
#[test]
fn drain_waits_for_the_work_in_flight() {
    let (address, _stop) = start_node();
    let url = format!("http://{address}");
    let text = ok(&["drain", &url, "--deadline", "5s"]);
    assert_eq!(text, "leaving, 2 in flight, deadline in 5000 ms\n");
    let text = ok(&["drain", &url, "--wait"]);
    assert_eq!(text, "leaving, no work in flight\n");
}

/// Guards against explanations without the reason of a step, and against errors without the message
/// of the process.
#[test]
fn explain_shows_the_decision_and_the_refusal() {
    let (address, _stop) = start_node();
    let text = ok(&["explain", &address, "--model", "drafts"]);
    assert_eq!(
        text,
        "would run on engine-001\n  chain: engine-001 (lowest cost)\n"
    );
    let output = run(&["explain", &address, "--model", "other"], TOKEN);
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        errors.contains("status 404") && errors.contains("there is drafts"),
        "{errors}"
    );
}

/// Guards against a `diff` that does not use the configuration in force at the process.
#[test]
fn diff_compares_with_a_running_process() {
    let (address, _stop) = start_node();
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("answers.yaml");
    std::fs::write(&path, TEMPLATE.replacen("weight: 1", "weight: 2", 1)).unwrap();
    let text = ok(&["diff", &address, path.to_str().unwrap()]);
    assert_eq!(text, "~ account/workshop weight: 1 -> 2\n");
}

/// Guards against an error for a wrong operator token that does not name the token.
#[test]
fn a_wrong_token_is_named() {
    let (address, _stop) = start_node();
    let output = run(&["drain", &address], "a-wrong-token-of-length");
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        errors.contains("status 401") && errors.contains("operator token"),
        "{errors}"
    );
}
