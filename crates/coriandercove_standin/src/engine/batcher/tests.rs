//! Guards against wrong tokens, positions that run twice or out of order, a batch or prefill above
//! its limit, and unbounded memory.

use coriandercove_target::oracle::generate;
use googletest::prelude::*;

use super::*;

fn settings() -> EngineSettings {
    EngineSettings::new("m", 0, 4, 4)
}

fn item(seq: &str, epoch: u32, position: u32, inputs: &[u64]) -> ForwardItem {
    ForwardItem {
        seq: seq.to_owned(),
        epoch,
        position,
        first_layer: 0,
        inputs: inputs.to_vec(),
        priority: 0,
        sample: true,
    }
}

fn run(batcher: &mut Batcher, item: ForwardItem) -> ForwardResult {
    batcher.enqueue(Tag { call: 0, index: 0 }, item);
    let iteration = batcher
        .run_iteration(Time::ZERO, 0.0)
        .expect("an item is queued");
    iteration.results[0].1.clone()
}

fn error(batcher: &mut Batcher, item: ForwardItem) -> Option<ItemError> {
    run(batcher, item).error
}

#[gtest]
fn generates_the_tokens_of_the_oracle() {
    let mut batcher = Batcher::new(settings());
    let mut inputs = vec![5, 6, 7];
    let mut position = 0;
    let mut tokens = Vec::new();
    for _ in 0..50 {
        let n = inputs.len() as u32;
        let result = run(&mut batcher, item("a", 1, position, &inputs));
        position += n;
        let token = result.token.expect("a token was asked for");
        tokens.push(token);
        inputs = vec![u64::from(token)];
    }
    expect_that!(tokens, eq(&generate(&[5, 6, 7], 4, 50)));
}

#[gtest]
fn refuses_repeats_gaps_and_old_epochs() {
    let mut batcher = Batcher::new(settings());
    expect_that!(error(&mut batcher, item("a", 2, 0, &[1, 2])), none());
    let expected = 2;
    expect_that!(
        error(&mut batcher, item("a", 2, 1, &[2])),
        some(eq(ItemError::PositionRepeat { expected }))
    );
    expect_that!(
        error(&mut batcher, item("a", 2, 3, &[2])),
        some(eq(ItemError::PositionGap { expected }))
    );
    expect_that!(
        error(&mut batcher, item("a", 3, 3, &[2])),
        some(eq(ItemError::PositionGap { expected }))
    );
    expect_that!(
        error(&mut batcher, item("a", 1, 2, &[2])),
        some(eq(ItemError::StaleEpoch))
    );
    expect_that!(batcher.sequence("a").map(Sequence::len), some(eq(2)));
}

#[gtest]
fn a_higher_epoch_truncates() {
    let mut batcher = Batcher::new(settings());
    let first = run(&mut batcher, item("a", 1, 0, &[1, 2, 3, 4]));
    let again = run(&mut batcher, item("a", 2, 2, &[3, 4]));
    expect_that!(again.outputs, eq(&first.outputs[2..].to_vec()));
    expect_that!(again.token, eq(first.token));
    expect_that!(batcher.load().kv_tokens, eq(4));
}

#[gtest]
fn refuses_layers_that_it_does_not_hold() {
    let mut batcher = Batcher::new(EngineSettings::new("m", 0, 4, 8));
    expect_that!(
        error(&mut batcher, item("a", 1, 0, &[1])),
        some(eq(ItemError::LayerNotHeld))
    );
    let mut other = item("a", 1, 0, &[1]);
    other.sample = false;
    other.first_layer = 4;
    expect_that!(
        error(&mut batcher, other),
        some(eq(ItemError::LayerNotHeld))
    );
}

#[gtest]
fn memory_is_bounded_and_freed_by_cancel() {
    let mut s = settings();
    s.info.kv_capacity_tokens = 10;
    let mut batcher = Batcher::new(s);
    expect_that!(error(&mut batcher, item("a", 1, 0, &[1; 8])), none());
    expect_that!(
        error(&mut batcher, item("b", 1, 0, &[1; 3])),
        some(eq(ItemError::OutOfMemory))
    );
    batcher.cancel("a");
    expect_that!(error(&mut batcher, item("b", 1, 0, &[1; 3])), none());
    expect_that!(batcher.load().sequences, eq(1));
}

#[gtest]
fn cancel_ends_queued_items() {
    let mut batcher = Batcher::new(settings());
    batcher.enqueue(Tag { call: 1, index: 0 }, item("a", 1, 0, &[1]));
    batcher.enqueue(Tag { call: 2, index: 0 }, item("b", 1, 0, &[1]));
    let ended = batcher.cancel("a");
    expect_that!(ended.len(), eq(1));
    expect_that!(ended[0].1.error, some(eq(ItemError::Cancelled)));
    expect_that!(batcher.load().queued, eq(1));
}

#[gtest]
fn urgent_items_run_first_up_to_the_batch_size() {
    let mut s = settings();
    s.info.max_batch = 2;
    let mut batcher = Batcher::new(s);
    for (index, priority) in [2, 1, 0].into_iter().enumerate() {
        let mut next = item(&format!("s{index}"), 1, 0, &[1]);
        next.priority = priority;
        batcher.enqueue(Tag { call: 0, index }, next);
    }
    let first = batcher
        .run_iteration(Time::ZERO, 0.0)
        .expect("items are queued");
    let order: Vec<usize> = first.results.iter().map(|(tag, _)| tag.index).collect();
    expect_that!(order, eq(&vec![2, 1]));
}

#[gtest]
fn cached_prompts_take_less_time() {
    let mut batcher = Batcher::new(settings());
    let prompt: Vec<u64> = (0..160).collect();
    let cold = run(&mut batcher, item("a", 1, 0, &prompt));
    expect_that!(cold.cached, eq(0));
    batcher.enqueue(Tag { call: 0, index: 0 }, item("b", 1, 0, &prompt));
    let warm = batcher
        .run_iteration(Time::ZERO, 0.0)
        .expect("an item is queued");
    expect_that!(warm.results[0].1.cached, eq(159));
    expect_that!(warm.results[0].1.outputs, eq(&cold.outputs));
    let cost = settings().cost;
    expect_that!(warm.duration, eq(cost.iteration(0, 4)));
}

#[gtest]
fn one_iteration_takes_a_bounded_prefill() {
    let mut s = settings();
    s.max_prefill = 100;
    let mut batcher = Batcher::new(s);
    for index in 0..3 {
        let prompt = [index as u64; 60];
        let next = item(&format!("s{index}"), 1, 0, &prompt);
        batcher.enqueue(Tag { call: 0, index }, next);
    }
    let first = batcher
        .run_iteration(Time::ZERO, 0.0)
        .expect("items are queued");
    expect_that!(first.results.len(), eq(1));
}

#[gtest]
fn failed_items_leave_the_state_unchanged() {
    let mut batcher = Batcher::new(settings());
    batcher.enqueue(Tag { call: 0, index: 0 }, item("a", 1, 0, &[1]));
    let iteration = batcher
        .run_iteration(Time::ZERO, 1.0)
        .expect("an item is queued");
    expect_that!(iteration.results[0].1.error, some(eq(ItemError::Failed)));
    expect_that!(batcher.sequence("a").is_none(), eq(true));
}
