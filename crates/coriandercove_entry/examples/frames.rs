//! Measures the CPU time of frames on a link and the sizes of frames and datagrams. Both ends of
//! the link run in one thread over a loopback connection, so each time is the sum of sending and
//! receiving, including the time in the kernel. Prints one JSON line for each figure.

#[path = "../../coriandercove_state/examples/measure/mod.rs"]
mod measure;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use coriandercove_base::telemetry::{Metrics, discard};
use coriandercove_base::timer::TimerService;
use coriandercove_base::{NodeId, ZoneId};
use coriandercove_peer::datagram::{self, Envelope};
use coriandercove_peer::{
    Activation, Address, ClusterKey, Frame, LinkConfig, LinkHandler, Links, PeerInfo, Role,
    TokenFrame,
};
use serde_json::json;

/// Bytes that an envelope with an empty name adds to a frame: the 16 bytes of the authentication
/// code, the length of the name, the incarnation 0 and the sequence number 0.
const ENVELOPE: usize = 16 + 3;
/// Bytes before each frame of a link: its length and its authentication code.
const FRAME_HEADER: usize = 4 + 16;

/// Counts the received frames.
#[derive(Default)]
struct Counter(Cell<u32>);

impl LinkHandler for Counter {
    fn on_frame(&self, _: &PeerInfo, _: Frame) {
        self.0.set(self.0.get() + 1);
    }

    fn on_down(&self, _: &NodeId) {}

    fn on_undelivered(&self, _: &Address, _: Vec<Frame>) {}
}

async fn node(name: &str, timers: &TimerService) -> std::io::Result<(Links, Rc<Counter>)> {
    let own = PeerInfo {
        node: name.into(),
        incarnation: 1,
        zone: ZoneId::from("a"),
        role: Role::Agent,
        listen: ([127, 0, 0, 1], 0).into(),
    };
    let counter = Rc::new(Counter::default());
    let handler: Rc<dyn LinkHandler> = counter.clone();
    let cfg = LinkConfig::new(own, ClusterKey::new([7; 32]));
    let links = Links::bind(cfg, |_| handler, timers, &Metrics::default(), discard()).await?;
    Ok((links, counter))
}

fn token(position: u32) -> Frame {
    Frame::Token(TokenFrame {
        req: u128::MAX / 3,
        attempt: 1,
        position,
        token: 100_000,
        finished: false,
    })
}

fn activation(items: usize) -> Frame {
    Frame::Activation(Activation {
        req: u128::MAX / 3,
        attempt: 1,
        position: 300,
        next_layer: 20,
        items: vec![u64::MAX / 3; items],
        sample: true,
    })
}

/// Sends `frames` frames in groups of `group`, waits until each group has arrived, and returns the
/// CPU time in microseconds.
async fn run(
    a: &Links,
    to: &Address,
    seen: &Counter,
    frames: u32,
    group: u32,
    frame: &Frame,
) -> f64 {
    let start = measure::cpu();
    let first = seen.0.get();
    for done in (0..frames).step_by(group as usize) {
        for _ in 0..group {
            if a.send(to, frame.clone()).is_err() {
                return f64::NAN;
            }
        }
        while seen.0.get() - first < done + group {
            tokio::task::yield_now().await;
        }
    }
    (measure::cpu() - start).as_secs_f64() * 1e6
}

/// Returns the bytes of a frame on a link, with its header.
fn size(frame: &Frame) -> f64 {
    let envelope = Envelope {
        from: "".into(),
        incarnation: 0,
        sequence: 0,
        message: frame.clone(),
    };
    let bytes = datagram::seal(&ClusterKey::new([7; 32]), &envelope);
    bytes.map_or(f64::NAN, |b| (b.len() - ENVELOPE + FRAME_HEADER) as f64)
}

/// Returns the bytes that the authentication code, sender, incarnation and sequence number add to a
/// datagram of membership, without the headers of IP and UDP.
fn datagram_overhead() -> f64 {
    let envelope = Envelope {
        from: "entry-0001".into(),
        incarnation: 1_790_000_000_000_000_000,
        sequence: 1_000_000,
        message: (),
    };
    let bytes = datagram::seal(&ClusterKey::new([7; 32]), &envelope);
    bytes.map_or(f64::NAN, |b| b.len() as f64)
}

async fn links() -> std::io::Result<()> {
    let timers = TimerService::start();
    let (a, _) = node("a", &timers).await?;
    let (b, seen) = node("b", &timers).await?;
    let to = b.own().address();
    run(&a, &to, &seen, 1_000, 100, &token(1)).await;
    for (group, what) in [
        (1, "frames_one_at_a_time"),
        (16, "frames_16_at_a_time"),
        (256, "frames_256_at_a_time"),
    ] {
        let mut points = Vec::new();
        for frames in [8_192, 16_384, 32_768] {
            let us = run(&a, &to, &seen, frames, group, &token(1)).await;
            points.push((f64::from(frames), us));
        }
        measure::print(what, "frames", "us, both ends", 0, &measure::fit(&points));
    }
    let mut points = Vec::new();
    for items in [1, 128, 512, 2_048] {
        let us = run(&a, &to, &seen, 4_096, 16, &activation(items)).await / 4_096.0;
        points.push((items as f64, us));
    }
    measure::print(
        "frames_activation",
        "items",
        "us, both ends",
        0,
        &measure::fit(&points),
    );
    a.close();
    b.close();
    tokio::time::sleep(Duration::from_millis(20)).await;
    Ok(())
}

fn main() -> std::io::Result<()> {
    let points: Vec<_> = [1_usize, 32, 64, 120]
        .iter()
        .map(|n| (*n as f64, size(&activation(*n))))
        .collect();
    measure::print(
        "activation_frame",
        "items",
        "bytes",
        0,
        &measure::fit(&points),
    );
    let sizes = json!({
        "token_frame": size(&token(1_000)),
        "credit_frame": size(&Frame::Credit { req: u128::MAX / 3, attempt: 1, up_to: 1_000 }),
        "datagram_envelope": datagram_overhead(),
    });
    measure::print("frame_sizes", "frame", "bytes", 0, &sizes);
    actix_rt::System::new().block_on(links())
}
