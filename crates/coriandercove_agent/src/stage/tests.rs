use std::time::Duration;

use coriandercove_base::Time;
use coriandercove_peer::frame::loopback;
use coriandercove_peer::{Feed, Frame, Hop, OpenStage, StageFailureReason};
use googletest::prelude::*;

use super::{JobOutcome, StageAction, StageLimits, Stages};

const GRACE: Duration = Duration::from_secs(5);

fn open(req: u128, attempt: u32, held: u32) -> OpenStage {
    let hop = |node: &str, first_layer, held| Hop {
        agent: loopback(node, 1),
        first_layer,
        end_layer: first_layer + 2,
        held,
    };
    OpenStage {
        req,
        attempt,
        entry: loopback("entry", 2),
        chain: vec![hop("head", 0, held), hop("middle", 2, 0), hop("last", 4, 0)],
        stage: 0,
        end_position: 100,
        priority: 4,
        deadline: Duration::from_secs(60),
    }
}

fn stages() -> Stages {
    Stages::new(StageLimits::default())
}

fn feed(stages: &mut Stages, req: u128, attempt: u32, tokens: usize) {
    stages.feed(&Feed {
        req,
        attempt,
        position: 0,
        tokens: vec![7; tokens],
    });
}

fn sent(actions: &[StageAction]) -> Vec<(&str, &Frame)> {
    let sent = actions.iter().filter_map(|action| match action {
        StageAction::Send(to, frame) => Some((&*to.node, frame)),
        _ => None,
    });
    sent.collect()
}

/// Guards against a stage that is never freed because its entry was restarted under the same name
/// and opened another stream (found by the fuzz test, seed 1).
#[gtest]
fn a_stream_of_a_dead_entry_is_freed_although_the_entry_is_back() {
    let mut stages = stages();
    stages.open(Time::ZERO, open(1, 1, 0));
    stages.link_down(Time::ZERO, &"entry".into());
    stages.open(Duration::from_secs(1), open(2, 1, 0));
    stages.tick(GRACE);
    expect_that!(stages.len(), eq(1));
}

/// Guards against a stage in the middle of a chain that is never freed after its entry has died,
/// because it has no link to the entry (found by the fuzz test, seed 1).
#[gtest]
fn a_stage_that_lost_its_entry_cancels_the_other_stages() {
    let mut stages = stages();
    stages.open(Time::ZERO, open(1, 1, 0));
    stages.link_down(Time::ZERO, &"entry".into());
    stages.take_actions();
    stages.tick(GRACE);
    let actions = stages.take_actions();
    let cancelled = sent(&actions)
        .into_iter()
        .filter(|(_, frame)| matches!(frame, Frame::CancelStage { req: 1, attempt: 1 }))
        .map(|(to, _)| to.to_owned());
    expect_that!(
        cancelled.collect::<Vec<_>>(),
        elements_are![eq("middle"), eq("last")]
    );
}

/// Guards against streams that are freed although their entry is alive, because the link to it
/// closed once.
#[gtest]
fn a_stream_whose_entry_sends_again_stays() {
    let mut stages = stages();
    stages.open(Time::ZERO, open(1, 1, 0));
    stages.link_down(Time::ZERO, &"entry".into());
    stages.credit(1, 1, 10);
    stages.tick(GRACE);
    expect_that!(stages.len(), eq(1));
}

/// Guards against a stage that is never freed when every cancellation is lost.
#[gtest]
fn a_stage_ends_with_the_deadline_of_its_request() {
    let mut stages = stages();
    stages.open(Time::ZERO, open(1, 1, 0));
    stages.tick(Duration::from_secs(64));
    expect_that!(stages.len(), eq(1));
    stages.tick(Duration::from_secs(65));
    expect_true!(stages.is_empty());
}

/// Guards against one token beyond the credit each time a stream moves (found by the fuzz test,
/// seed 1). The tokens generated before the move need credit like any others.
#[gtest]
fn a_feed_does_not_raise_the_credit() {
    let mut stages = stages();
    stages.open(Time::ZERO, open(1, 1, 0));
    feed(&mut stages, 1, 1, 8);
    stages.credit(1, 1, 5);
    let run = |actions: Vec<StageAction>| {
        let jobs = actions.into_iter().filter_map(|action| match action {
            StageAction::Run(job) => Some((job.position, job.inputs.len())),
            _ => None,
        });
        jobs.collect::<Vec<_>>()
    };
    expect_that!(run(stages.take_actions()), elements_are![eq(&(0, 5))]);
    let outcome = JobOutcome::Done {
        outputs: vec![1; 5],
        token: None,
    };
    stages.job_done(1, 1, 0, outcome);
    expect_that!(run(stages.take_actions()), is_empty());
    stages.credit(1, 1, 20);
    expect_that!(run(stages.take_actions()), elements_are![eq(&(5, 3))]);
}

/// Guards against a duplicate of `OpenStage` that restarts an attempt whose failure the entry
/// already knows, so that a request would run after it was refused.
#[gtest]
fn a_failed_attempt_does_not_start_again() {
    let mut stages = stages();
    stages.open(Time::ZERO, open(1, 1, 0));
    feed(&mut stages, 1, 1, 3);
    stages.credit(1, 1, 10);
    stages.job_done(1, 1, 0, JobOutcome::Failed);
    stages.open(Time::ZERO, open(1, 1, 0));
    expect_true!(stages.is_empty());
    stages.open(Time::ZERO, open(1, 2, 0));
    expect_that!(stages.len(), eq(1));
}

/// Guards against a leaving agent that accepts new streams or drops the open ones.
#[gtest]
fn an_agent_that_leaves_keeps_its_streams_and_opens_none() {
    let mut stages = stages();
    stages.open(Time::ZERO, open(1, 1, 0));
    stages.take_actions();
    stages.leave();
    stages.open(Time::ZERO, open(2, 1, 0));
    expect_that!(stages.len(), eq(1));
    let actions = stages.take_actions();
    let refused = sent(&actions).into_iter().any(|(to, frame)| {
        matches!(frame, Frame::StageFailed(f) if f.reason == StageFailureReason::Leaving)
            && to == "entry"
    });
    expect_true!(refused);
}
