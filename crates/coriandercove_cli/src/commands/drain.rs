//! `coriandercove drain`: takes a process out of service.

use std::time::{Duration, Instant};

use coriandercove_operator::{ClientError, DrainReply, DrainRequest, OperationsClient};
use serde_json::json;

use super::nodes;
use crate::args::DrainArgs;
use crate::error::{CliError, Exit};
use crate::output::Output;

/// Interval at which `--wait` polls the progress.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time that `--wait` allows after the deadline, in which streams move to other targets and calls
/// that must not be repeated finish.
const WAIT_AFTER_DEADLINE: Duration = Duration::from_secs(60);

pub(crate) async fn run(args: &DrainArgs, out: &mut Output) -> Result<Exit, CliError> {
    let client = nodes::client(&args.node, args.answers.as_ref(), &args.token)?;
    let deadline = args
        .deadline
        .map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
    let req = DrainRequest {
        deadline_ms: deadline,
    };
    let reply = client.drain(&req).await?;
    let in_flight = if args.wait {
        wait_until_drained(&client, &req, &reply, out).await?
    } else {
        reply.in_flight
    };
    let text = match (in_flight, args.wait) {
        (0, _) => "leaving, no work in flight\n".to_owned(),
        (n, _) => format!(
            "leaving, {n} in flight, deadline in {} ms\n",
            reply.deadline_ms
        ),
    };
    out.result(
        &text,
        &json!({"in_flight": in_flight, "deadline_ms": reply.deadline_ms}),
    );
    Ok(Exit::Success)
}

/// Repeats the drain request until nothing is in flight, and returns 0. An unreachable process
/// counts as ended, with nothing in flight.
async fn wait_until_drained(
    client: &OperationsClient,
    req: &DrainRequest,
    first: &DrainReply,
    out: &mut Output,
) -> Result<u64, CliError> {
    let limit = Duration::from_millis(first.deadline_ms).saturating_add(WAIT_AFTER_DEADLINE);
    let start = Instant::now();
    let mut in_flight = first.in_flight;
    while in_flight > 0 {
        if start.elapsed() > limit {
            let message = format!(
                "{in_flight} requests are still in flight {} s after the drain started; check the \
                 process with `coriandercove status`",
                limit.as_secs()
            );
            return Err(CliError::Remote { message });
        }
        out.notice(&format!("{in_flight} in flight\n"));
        actix_rt::time::sleep(POLL_INTERVAL).await;
        in_flight = match client.drain(req).await {
            Ok(reply) => reply.in_flight,
            Err(ClientError::Unreachable { .. }) => 0,
            Err(e) => return Err(e.into()),
        };
    }
    Ok(0)
}
