//! `coriandercove explain`: shows how a request is or was routed.

pub(crate) mod logs;

use coriandercove_operator::{ExplainQuery, Explanation};

use super::nodes;
use crate::args::ExplainArgs;
use crate::error::{CliError, Exit};
use crate::output::Output;

pub(crate) async fn run(args: &ExplainArgs, out: &mut Output) -> Result<Exit, CliError> {
    if let Some(request) = args.request.as_ref().filter(|_| !args.logs.is_empty()) {
        let trace = logs::read(&args.logs, request)?;
        out.result(&trace.text(), &trace);
        return Ok(Exit::Success);
    }
    let node = args.node.as_deref().unwrap_or_default();
    let query = ExplainQuery {
        request: args.request.clone(),
        account: args.account.clone(),
        model: args.model.clone(),
        prompt_tokens: args.prompt_tokens,
        service: args.service.clone(),
        method: args.method.clone(),
        path: args.path.clone(),
        target: args.target.as_deref().map(Into::into),
    };
    query.check().map_err(|e| CliError::Usage {
        message: format!("invalid flags of `explain`: {e}"),
    })?;
    let client = nodes::client(node, args.answers.as_ref(), &args.token)?;
    let explanation = client.explain(&query).await?;
    out.result(&text(&explanation), &explanation);
    Ok(Exit::Success)
}

/// Formats an explanation as its summary and one indented line for each step.
fn text(e: &Explanation) -> String {
    let mut out = format!("{}\n", e.summary);
    for step in &e.steps {
        let reason = match step.reason.as_str() {
            "" => String::new(),
            reason => format!(" ({reason})"),
        };
        out.push_str(&format!("  {}: {}{reason}\n", step.part, step.outcome));
    }
    out
}
