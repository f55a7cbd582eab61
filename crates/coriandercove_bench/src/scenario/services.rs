//! Scenarios of plain services.

use std::time::Duration;

use coriandercove_local::{Deployment, Standin};
use coriandercove_standin::service::ServiceFaults;
use serde_json::json;

use super::{BenchError, Context, Outcome};
use crate::bookings::{check, counts, run};
use crate::load::Aim;
use crate::profile::Fleet;

/// Bookings for each second.
const RATE: f64 = 100.0;
/// Share of answers that the service loses after the effect.
const LOST_ANSWERS: f64 = 0.05;

/// Bookings while answers are lost and a service VM dies half way.
pub fn bookings(cx: &Context) -> Result<Outcome, BenchError> {
    let mut plan = cx.profile.plan(Fleet::Uniform, cx.seed);
    // Bookings need no engine.
    plan.engines.truncate(1);
    let mut deployment = Deployment::start(plan)?;
    for agent in &deployment.agents {
        if let Standin::Service(service) = &agent.standin {
            let faults = ServiceFaults {
                lose_share: LOST_ANSWERS,
                ..ServiceFaults::default()
            };
            service.faults().update(|f| *f = faults);
        }
    }
    let (aim, time, seed) = (Aim::of(&deployment), cx.duration, cx.seed);
    let load = std::thread::spawn(move || run(&aim, RATE, time, seed));
    std::thread::sleep(cx.duration / 2);
    let is_service = |a: &coriandercove_local::TargetVm| matches!(a.standin, Standin::Service(_));
    let first = deployment.agents.iter().find(|a| is_service(a));
    if let Some(victim) = first.map(|a| a.info.node.clone()) {
        deployment.kill_target(&victim);
    }
    let bookings = match load.join() {
        Ok(bookings) => bookings,
        Err(panic) => std::panic::resume_unwind(panic),
    };
    // Calls that were given up may still take effect.
    std::thread::sleep(Duration::from_secs(1));
    let verdict = check(&bookings, &deployment.effects.all());
    Ok(Outcome {
        figures: json!({
            "bookings": verdict.bookings,
            "effects": deployment.effects.all().len(),
            "twice": verdict.twice,
            "not_run_with_effect": verdict.not_run_with_effect,
            "answered_without_effect": verdict.answered_without_effect,
            "ends": counts(&bookings),
        }),
        target: "no effect twice, none of a `not_run` refusal, none missing behind an answer"
            .to_owned(),
        pass: verdict.is_sound() && verdict.bookings > 0,
    })
}
