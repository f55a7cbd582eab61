//! Prints the membership traffic that each node of an idle local deployment sends per second.
#![expect(clippy::print_stdout, reason = "the output is what the example is for")]

use std::time::Duration;

use coriandercove_base::telemetry::Metrics;
use coriandercove_local::{Deployment, DeploymentError, Plan};

/// Time over which the traffic is averaged, after the members have learned of each other.
const MEASURED_TIME: Duration = Duration::from_secs(20);

/// Returns the number of datagrams that a node has sent, and their bytes.
fn sent(metrics: &Metrics) -> (u64, u64) {
    let text = metrics.encode();
    let value = |name: &str| {
        let start = format!("coriandercove_{name}_total{{direction=\"sent\"}} ");
        let value = text.lines().find_map(|line| line.strip_prefix(&start));
        value.and_then(|v| v.parse().ok()).unwrap_or(0)
    };
    (value("datagrams"), value("datagram_bytes"))
}

/// Returns [`sent`] of each node by its name.
fn sent_by_node(deployment: &Deployment) -> Vec<(String, (u64, u64))> {
    let entries = deployment.entries.iter().enumerate().map(|(i, e)| {
        let sent = e.role.query(|e| sent(e.metrics()));
        (format!("entry-{}", i + 1), sent.unwrap_or_default())
    });
    let agents = deployment.agents.iter().map(|a| {
        let sent = a.role.query(|a| sent(a.metrics()));
        (a.info.node.to_string(), sent.unwrap_or_default())
    });
    entries.chain(agents).collect()
}

fn main() -> Result<(), DeploymentError> {
    let deployment = Deployment::start(Plan::small())?;
    std::thread::sleep(Duration::from_secs(5));
    let before = sent_by_node(&deployment);
    std::thread::sleep(MEASURED_TIME);
    let seconds = MEASURED_TIME.as_secs_f64();
    for ((node, before), (_, after)) in before.iter().zip(sent_by_node(&deployment)) {
        let datagrams = (after.0 - before.0) as f64 / seconds;
        let bytes = (after.1 - before.1) as f64 / seconds;
        println!(
            "{node}: {datagrams:.2} datagrams/s, {bytes:.0} bytes/s sent without IP and UDP headers"
        );
    }
    Ok(())
}
