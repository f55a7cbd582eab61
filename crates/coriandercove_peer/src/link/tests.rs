use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use coriandercove_base::telemetry::{Metrics, discard};
use coriandercove_base::timer::TimerService;
use coriandercove_base::{NodeId, ZoneId};
use googletest::prelude::*;

use super::{Address, LinkConfig, LinkHandler, Links, PeerInfo, Role};
use crate::{ClusterKey, Frame};

#[derive(Default)]
struct Recorder {
    frames: RefCell<Vec<(NodeId, Frame)>>,
    down: RefCell<Vec<NodeId>>,
    undelivered: RefCell<Vec<Frame>>,
}

impl LinkHandler for Recorder {
    fn on_frame(&self, from: &PeerInfo, frame: Frame) {
        self.frames.borrow_mut().push((from.node.clone(), frame));
    }

    fn on_down(&self, node: &NodeId) {
        self.down.borrow_mut().push(node.clone());
    }

    fn on_undelivered(&self, _: &Address, frames: Vec<Frame>) {
        self.undelivered.borrow_mut().extend(frames);
    }
}

async fn node(name: &str, key: u8, timers: &TimerService) -> (Links, Rc<Recorder>) {
    let own = PeerInfo {
        node: name.into(),
        incarnation: 1,
        zone: ZoneId::from("a"),
        role: Role::Agent,
        listen: ([127, 0, 0, 1], 0).into(),
    };
    let recorder = Rc::new(Recorder::default());
    let handler: Rc<dyn LinkHandler> = recorder.clone();
    let cfg = LinkConfig::new(own, ClusterKey::new([key; 32]));
    let links = Links::bind(cfg, |_| handler, timers, &Metrics::default(), discard()).await;
    (links.unwrap(), recorder)
}

async fn until(mut done: impl FnMut() -> bool) {
    while !done() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against frames that are lost or reordered while a connection is being opened.
#[gtest]
fn delivers_frames_in_order_in_both_directions() {
    actix_rt::System::new().block_on(async {
        let timers = TimerService::start();
        let (a, a_seen) = node("a", 1, &timers).await;
        let (b, b_seen) = node("b", 1, &timers).await;
        let credit = |up_to| Frame::Credit {
            req: 1,
            attempt: 1,
            up_to,
        };
        for i in 0..100 {
            a.send(&b.own().address(), credit(i)).unwrap();
        }
        until(|| b_seen.frames.borrow().len() == 100).await;
        let seen: Vec<Frame> = b_seen
            .frames
            .borrow()
            .iter()
            .map(|(_, f)| f.clone())
            .collect();
        expect_that!(seen, eq(&(0..100).map(credit).collect::<Vec<_>>()));
        b.send(&a.own().address(), credit(7)).unwrap();
        until(|| !a_seen.frames.borrow().is_empty()).await;
        expect_that!(
            *a_seen.frames.borrow(),
            elements_are![eq(&("b".into(), credit(7)))]
        );
    });
}

/// Guards against a process with another key that injects frames. Frames queued for such a process
/// must be handed back as undelivered, not counted as possibly delivered.
#[gtest]
fn refuses_a_peer_with_another_key_and_returns_the_frames() {
    actix_rt::System::new().block_on(async {
        let timers = TimerService::start();
        let (a, a_seen) = node("a", 1, &timers).await;
        let (b, b_seen) = node("b", 2, &timers).await;
        a.send(&b.own().address(), Frame::Leaving).unwrap();
        until(|| !a_seen.undelivered.borrow().is_empty()).await;
        expect_that!(
            *a_seen.undelivered.borrow(),
            elements_are![eq(&Frame::Leaving)]
        );
        expect_that!(*a_seen.down.borrow(), elements_are![eq(&"b".into())]);
        expect_true!(b_seen.frames.borrow().is_empty());
    });
}

/// Guards against a peer whose connection closes without a report to the handler.
#[gtest]
fn reports_a_link_that_closes() {
    actix_rt::System::new().block_on(async {
        let timers = TimerService::start();
        let (a, a_seen) = node("a", 1, &timers).await;
        let (b, b_seen) = node("b", 1, &timers).await;
        a.send(&b.own().address(), Frame::Leaving).unwrap();
        until(|| !b_seen.frames.borrow().is_empty()).await;
        b.close();
        until(|| !a_seen.down.borrow().is_empty()).await;
        expect_false!(a.is_up("b"));
    });
}
