//! Guards against a program that does not print its address, does not end on a signal, or starts
//! with options that are not valid.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use coriandercove_base::http::{HttpCall, HttpClient, HttpLimits};

/// Runs the program with `args`, calls `path` and sends SIGTERM; checks the answer and the exit
/// status.
async fn check(args: &[&str], path: &str) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_coriandercove-standin"))
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut line = String::new();
    let out = child.stdout.take().expect("a pipe");
    BufReader::new(out).read_line(&mut line).expect("a line");
    let url = format!("http://{}{path}", line.trim());
    let client = HttpClient::new(HttpLimits::default());
    let answer = client.call(HttpCall::new("GET", url)).await;
    let pid = child.id().to_string();
    let killed = Command::new("kill").arg(&pid).status();
    assert!(killed.expect("kill runs").success());
    let status = child.wait().expect("the program ends");
    assert_eq!(answer.expect("an answer").status, 200, "{args:?}");
    assert!(status.success(), "{args:?}: {status}");
}

#[actix_rt::test]
async fn each_stand_in_runs_as_a_process() {
    check(&["store"], "/v1/objects?prefix=a").await;
    check(&["vm-list", "--vm", "a,z,127.0.0.1:1"], "/v1/vms").await;
    check(&["engine", "--accelerator", "l4"], "/v1/info").await;
    check(&["service"], "/effects").await;
}

#[test]
fn impossible_options_end_the_program() {
    for args in [
        ["engine", "--accelerator", "x1"],
        ["engine", "--end-layer", "33"],
        ["vm-list", "--vm", "a,z"],
    ] {
        let status = Command::new(env!("CARGO_BIN_EXE_coriandercove-standin"))
            .args(args)
            .stderr(Stdio::null())
            .status()
            .expect("the program starts");
        assert!(!status.success(), "{args:?}");
    }
}
