use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use coriandercove_base::telemetry::Metrics;
use coriandercove_peer::ClusterKey;
use googletest::prelude::*;

use super::Datagrams;

type Received = Rc<RefCell<Vec<Vec<u8>>>>;

fn bind(key: &str) -> std::io::Result<(Rc<Datagrams>, Received, SocketAddr)> {
    let received = Received::default();
    let sink = Rc::clone(&received);
    let net = Datagrams::bind(
        (Ipv4Addr::LOCALHOST, 0).into(),
        ClusterKey::from_secret(key),
        ("node".into(), 1),
        &Metrics::default(),
        move |_, message| sink.borrow_mut().push(message),
    )?;
    let address = net.sender.local_addr()?;
    Ok((net, received, address))
}

/// Guards against a panic, and against delivery of a datagram that was not sealed with the cluster
/// key.
#[gtest]
fn foreign_datagrams_are_counted_and_dropped() -> Result<()> {
    actix_rt::System::new().block_on(async {
        let (net, received, address) = bind("the cluster key")?;
        let stranger = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        stranger.send_to(b"", address)?;
        stranger.send_to(b"short", address)?;
        stranger.send_to(&[7; 1500], address)?;
        let (other, _, _) = bind("another key")?;
        other.send(address, b"foreign".to_vec());
        let (peer, _, _) = bind("the cluster key")?;
        peer.send(address, b"own".to_vec());
        let end = tokio::time::Instant::now() + Duration::from_secs(30);
        while received.borrow().is_empty() && tokio::time::Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        expect_that!(*received.borrow(), elements_are![eq(b"own")]);
        let foreign = [("reason", "foreign".to_owned())];
        expect_that!(net.dropped.get_or_create(&foreign).get(), eq(4));
        Ok(())
    })
}
