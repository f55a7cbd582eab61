//! Scenarios with calls to the plain service.

use std::time::Duration;

use coriandercove_local::{Deployment, Standin};
use coriandercove_standin::service::ServiceFaults;
use serde_json::json;

use super::{BenchError, Context, Outcome};
use crate::bookings::{check_effects, counts_by_end, run};
use crate::load::Endpoints;
use crate::profile::AcceleratorMix;

/// Bookings per second.
const BOOKING_RATE: f64 = 100.0;
/// Share of calls whose answer the service loses after the effect.
const LOST_ANSWER_SHARE: f64 = 0.05;

/// Sends bookings while the service loses answers; one of its VMs is killed halfway.
pub fn bookings(cx: &Context) -> Result<Outcome, BenchError> {
    let mut plan = cx.profile.plan(AcceleratorMix::Uniform, cx.seed);
    // Bookings use no engine, so one is enough.
    plan.engines.truncate(1);
    let mut deployment = Deployment::start(plan)?;
    for agent in &deployment.agents {
        if let Standin::Service(service) = &agent.standin {
            let faults = ServiceFaults {
                lose_share: LOST_ANSWER_SHARE,
                ..ServiceFaults::default()
            };
            service.faults().update(|f| *f = faults);
        }
    }
    let (endpoints, time, seed) = (Endpoints::of(&deployment), cx.duration, cx.seed);
    let load = std::thread::spawn(move || run(&endpoints, BOOKING_RATE, time, seed));
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
    // Calls that their callers have abandoned may still take effect.
    std::thread::sleep(Duration::from_secs(1));
    let check = check_effects(&bookings, &deployment.effects.all());
    Ok(Outcome {
        figures: json!({
            "bookings": check.bookings,
            "effects": deployment.effects.all().len(),
            "twice": check.twice,
            "not_run_with_effect": check.not_run_with_effect,
            "answered_without_effect": check.answered_without_effect,
            "ends": counts_by_end(&bookings),
        }),
        target: "no effect twice, none of a `not_run` refusal, none missing behind an answer"
            .to_owned(),
        pass: check.is_sound() && check.bookings > 0,
    })
}
