//! Guards against tokens that depend on how the positions are divided into items, on restarts under
//! a higher epoch, on the loss of the KV state as by a move to another engine, on other sequences,
//! or on the division of the layers between engines.

use coriandercove_base::Time;
use coriandercove_standin::engine::EngineSettings;
use coriandercove_standin::engine::batcher::{Batcher, Tag};
use coriandercove_target::oracle::generate;
use coriandercove_target::{ForwardItem, ForwardResult};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const LAYERS: u16 = 6;

/// The seed is fixed so that every run has the same result.
fn config() -> Config {
    Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x5eed_0003),
        failure_persistence: None,
        ..Config::default()
    }
}

/// What happens before a step.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The next item has at most this many positions.
    Cut(usize),
    /// A higher epoch starts again at this many 256ths of the current position.
    Restart(u8),
    /// Both engines lose the sequence, and a higher epoch starts again at position 0.
    Lose,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        4 => (1usize..40).prop_map(Event::Cut),
        1 => any::<u8>().prop_map(Event::Restart),
        1 => Just(Event::Lose),
    ];
    prop::collection::vec(event, 0..40)
}

/// A stream over two engines that hold the layers `0..split` and `split..LAYERS`.
struct Stream {
    stages: [Batcher; 2],
    split: u16,
    epoch: u32,
    /// Prompt and tokens so far.
    inputs: Vec<u64>,
    /// Next position to run.
    position: usize,
}

impl Stream {
    fn new(prompt: &[u32], split: u16) -> Self {
        let stage = |first, end| Batcher::new(EngineSettings::new("m", first, end, LAYERS));
        Self {
            stages: [stage(0, split), stage(split, LAYERS)],
            split,
            epoch: 1,
            inputs: prompt.iter().map(|t| u64::from(*t)).collect(),
            position: 0,
        }
    }

    /// Applies an event to the engines and the position.
    fn apply_event(&mut self, event: Event) {
        match event {
            Event::Cut(_) => return,
            Event::Restart(share) => {
                self.position = self.position * usize::from(share) / 256;
            }
            Event::Lose => {
                for stage in &mut self.stages {
                    stage.cancel("s");
                }
                self.position = 0;
            }
        }
        self.epoch += 1;
    }

    /// Runs up to `max_positions` positions; returns the next token if they include the last one.
    fn step(&mut self, max_positions: usize) -> Option<u32> {
        let end = (self.position + max_positions).min(self.inputs.len());
        let last = end == self.inputs.len();
        let inputs = self.inputs[self.position..end].to_vec();
        let x = self.run(0, 0, inputs, false).outputs;
        let token = self.run(1, self.split, x, last).token;
        self.position = end;
        self.inputs.extend(token.map(u64::from));
        token
    }

    /// Runs an item in one iteration with an item of another sequence that has the same inputs at
    /// position 0.
    fn run(
        &mut self,
        stage: usize,
        first_layer: u16,
        inputs: Vec<u64>,
        sample: bool,
    ) -> ForwardResult {
        let item = ForwardItem {
            seq: "s".to_owned(),
            epoch: self.epoch,
            position: self.position as u32,
            first_layer,
            inputs,
            priority: 1,
            sample,
        };
        let mut other = item.clone();
        other.seq = format!("other{}", self.epoch);
        other.position = 0;
        other.priority = 0;
        let batcher = &mut self.stages[stage];
        batcher.enqueue(Tag { call: 0, index: 0 }, other);
        batcher.enqueue(Tag { call: 1, index: 0 }, item);
        let iteration = batcher
            .run_iteration(Time::ZERO, 0.0)
            .expect("items are queued");
        let mine = iteration.results.into_iter().find(|(tag, _)| tag.call == 1);
        let (_, result) = mine.expect("both items fit one iteration");
        assert_eq!(result.error, None);
        result
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn tokens_do_not_depend_on_cuts_and_restarts(
        prompt in prop::collection::vec(1u32..1_000, 1..80),
        split in 1..LAYERS,
        events in events(),
    ) {
        let mut stream = Stream::new(&prompt, split);
        let mut events = events.into_iter();
        while stream.inputs.len() < prompt.len() + 20 {
            let event = events.next().unwrap_or(Event::Cut(16));
            stream.apply_event(event);
            let max_positions = if let Event::Cut(n) = event { n } else { 16 };
            stream.step(max_positions);
        }
        let tokens: Vec<u64> = stream.inputs[prompt.len()..].to_vec();
        let right = generate(&prompt, LAYERS, 20).into_iter().map(u64::from);
        prop_assert_eq!(tokens, right.collect::<Vec<_>>());
    }

    #[test]
    fn a_skipped_doubled_or_crossed_layer_changes_the_token(
        prompt in prop::collection::vec(1u32..1_000, 1..40),
        skip in 0..LAYERS,
    ) {
        use coriandercove_target::oracle::{embed, run_layer, sample};
        let token = |layers: &[u16], prompt: &[u32]| {
            let mut states = vec![0; usize::from(LAYERS)];
            let mut x = 0;
            for (position, token) in (0..).zip(prompt) {
                x = embed(u64::from(*token), position);
                for layer in layers {
                    x = run_layer(*layer, x, &mut states[usize::from(*layer)]);
                }
            }
            sample(x)
        };
        let all: Vec<u16> = (0..LAYERS).collect();
        let right = token(&all, &prompt);
        let skipped: Vec<u16> = all.iter().copied().filter(|l| *l != skip).collect();
        prop_assert_ne!(token(&skipped, &prompt), right);
        let mut doubled = all.clone();
        doubled.insert(usize::from(skip), skip);
        prop_assert_ne!(token(&doubled, &prompt), right);
        let mut crossed = all.clone();
        crossed.swap(usize::from(skip), usize::from((skip + 1) % LAYERS));
        prop_assert_ne!(token(&crossed, &prompt), right);
        prop_assert_eq!(vec![right], generate(&prompt, LAYERS, 1));
    }
}
