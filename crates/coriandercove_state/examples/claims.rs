//! Measures the cost of a shard of claims by its number of claims: bytes and CPU time of a write,
//! memory, and the time to read the whole shard. Prints one JSON line for each figure.

mod measure;

use coriandercove_base::{Time, rng};
use coriandercove_state::claim::{
    Change, ChangeResult, Claim, ClaimState, Shard, ShardAction, ShardSettings, key_hash,
};
use coriandercove_state::store_call::{StoreCall, StoreReply};
use coriandercove_state::ticket::Ticket;
use std::collections::BTreeMap;
use std::time::Duration;

const SEED: u64 = 1;
/// Changes submitted together.
const BATCH: usize = 8;
/// Bytes of the answer body that each claim keeps, the size of a short booking confirmation.
const BODY: usize = 100;

/// An in-memory store that counts calls and written bytes.
#[derive(Default)]
struct Store {
    /// Version and value by name.
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    version: u64,
    calls: u64,
    /// Bytes written so far.
    written: u64,
}

impl Store {
    fn put(&mut self, name: String, value: Vec<u8>) -> StoreReply {
        self.version += 1;
        self.written += value.len() as u64;
        self.objects.insert(name, (self.version, value));
        StoreReply::Written(self.version)
    }

    fn answer(&mut self, call: StoreCall) -> StoreReply {
        self.calls += 1;
        match call {
            StoreCall::List { prefix } => {
                let names = self.objects.keys().filter(|n| n.starts_with(&prefix));
                StoreReply::Names(names.cloned().collect())
            }
            StoreCall::Get { name } => match self.objects.get(&name) {
                Some((version, value)) => StoreReply::Value {
                    version: *version,
                    value: value.clone(),
                },
                None => StoreReply::Absent,
            },
            StoreCall::Create { name, value } | StoreCall::PutIf { name, value, .. } => {
                self.put(name, value)
            }
            StoreCall::DeleteIf { name, .. } => {
                self.objects.remove(&name);
                StoreReply::Deleted
            }
        }
    }
}

/// Carries out store calls until the shard makes no more. Returns the number of changes that
/// became durable.
fn run_store_calls(
    shard: &mut Shard,
    store: &mut Store,
    now: Time,
    mut actions: Vec<ShardAction>,
) -> usize {
    let mut written = 0;
    while !actions.is_empty() {
        let mut next = Vec::new();
        for action in actions {
            match action {
                ShardAction::Store(call) => {
                    let reply = store.answer(call);
                    next.extend(shard.on_store(now, reply));
                }
                ShardAction::Settled { result, .. } => {
                    written += usize::from(result == ChangeResult::Written);
                }
                ShardAction::Refreshed { .. } => {}
            }
        }
        actions = next;
    }
    written
}

fn claim(i: u64) -> Claim {
    Claim {
        key: key_hash("account", &i.to_string()),
        fingerprint: u128::from(i) << 64,
        req: u128::from(i) << 70,
        ticket: Ticket {
            id: (u128::from(i) << 64) + 1,
            issued_ms: 1_790_000_000_000 + i,
            node: "agent-0001".into(),
            incarnation: 1 << 60,
        },
        state: ClaimState::Open,
        at_ms: 1_790_000_000_000 + i,
    }
}

/// Both changes of a call: the claim before the call runs and the answer after it.
fn changes(i: u64) -> [Change; 2] {
    let claim = claim(i);
    let done = Change::Record {
        key: claim.key,
        ticket: claim.ticket.id,
        state: ClaimState::Done {
            status: 200,
            body: Some(vec![7; BODY]),
        },
        at_ms: claim.at_ms + 50,
    };
    [Change::Claim(claim), done]
}

struct Simulation {
    shard: Shard,
    store: Store,
    now: Time,
    calls: u64,
}

impl Simulation {
    fn new() -> Self {
        let settings = ShardSettings::new("claims/orders/000/".to_owned());
        Self {
            shard: Shard::new(settings, rng::seeded(SEED)),
            store: Store::default(),
            now: Time::ZERO,
            calls: 0,
        }
    }

    /// Submits changes and waits for their writes. Returns how many are durable.
    fn commit(&mut self, batch: Vec<Change>) -> usize {
        let mut done = 0;
        for change in batch {
            let tag = u128::from(self.calls);
            self.calls += 1;
            let actions = self.shard.submit(self.now, tag, change);
            done += run_store_calls(&mut self.shard, &mut self.store, self.now, actions);
        }
        // If the segment is full, it must first be sealed and a new one created.
        for _ in 0..MAX_TICKS {
            self.now += Duration::from_millis(100);
            let actions = self.shard.tick(self.now);
            done += run_store_calls(&mut self.shard, &mut self.store, self.now, actions);
            if self.shard.queue_len() == 0 {
                break;
            }
        }
        done
    }

    /// Claims `calls` keys, starting with number `first`, and records their answers.
    fn run(&mut self, first: u64, calls: u64) {
        for start in (first..first + calls).step_by(BATCH) {
            let both: Vec<_> = (start..start + BATCH as u64).map(changes).collect();
            let claims = both.iter().map(|c| c[0].clone()).collect();
            let answers = both.iter().map(|c| c[1].clone()).collect();
            assert_eq!(
                self.commit(claims),
                BATCH,
                "all claims of a batch are durable"
            );
            assert_eq!(
                self.commit(answers),
                BATCH,
                "all answers of a batch are durable"
            );
        }
    }
}

/// Returns the time in us and the bytes of a store call, averaged over batches of [`BATCH`] changes
/// to a shard with `claims` claims.
fn write_cost_at(claims: u64) -> (f64, f64) {
    let mut simulation = Simulation::new();
    simulation.run(0, claims);
    let calls = 4 * BATCH as u64;
    let (before, writes) = (simulation.store.written, simulation.store.calls);
    let (us, ()) = measure::micros_of(|| {
        for i in 0..CHANGED / calls {
            simulation.run(claims + i * calls, calls);
        }
    });
    let writes = (simulation.store.calls - writes) as f64;
    (
        us / writes,
        (simulation.store.written - before) as f64 / writes,
    )
}

/// Ticks of 100 ms within which a batch must be durable.
const MAX_TICKS: u32 = 20;
/// Number of calls that are timed.
const CHANGED: u64 = 192;

fn main() {
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    for claims in [0, 200, 400, 600, 800] {
        let (us, size) = write_cost_at(claims);
        // The segment grows during the measurement; its average size is that in the middle.
        let middle = (claims + CHANGED / 2) as f64;
        cpu.push((middle, us));
        bytes.push((middle, size));
    }
    let x = "claims in the segment";
    measure::print("claims_write", x, "us per write", SEED, &measure::fit(&cpu));
    measure::print(
        "claims_write",
        x,
        "bytes per write",
        SEED,
        &measure::fit(&bytes),
    );
    measure_whole_shards();
}

/// Measures the memory of a shard, its size in the store and the time to read it, by its number of
/// claims.
fn measure_whole_shards() {
    let (mut memory, mut read, mut stored) = (Vec::new(), Vec::new(), Vec::new());
    for claims in [4_000_u64, 8_000, 16_000] {
        let mut simulation = Simulation::new();
        simulation.run(0, claims);
        let size: usize = simulation
            .store
            .objects
            .values()
            .map(|(_, v)| v.len())
            .sum();
        stored.push((claims as f64, size as f64));
        let mut store = simulation.store;
        drop(simulation.shard);
        let before = measure::allocated();
        let mut fresh = Simulation::new().shard;
        let (us, _) = measure::micros_of(|| {
            let (_, actions) = fresh.refresh(Time::ZERO);
            run_store_calls(&mut fresh, &mut store, Time::ZERO, actions)
        });
        memory.push((claims as f64, measure::allocated() - before));
        read.push((claims as f64, us));
        assert_eq!(fresh.claim_count() as u64, claims, "all claims were read");
    }
    let x = "claims in the shard";
    measure::print("claims_memory", x, "bytes", SEED, &measure::fit(&memory));
    measure::print("claims_read", x, "us", SEED, &measure::fit(&read));
    measure::print("claims_stored", x, "bytes", SEED, &measure::fit(&stored));
}
