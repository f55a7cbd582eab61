//! The UDP socket of a node.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use coriandercove_base::telemetry::{CounterFamily, Metrics, count};
use coriandercove_base::{Incarnation, NodeId};
use coriandercove_peer::ClusterKey;
use coriandercove_peer::datagram::{self, Envelope, MAX_DATAGRAM_BYTES};
use tokio::task::JoinHandle;

/// Sends and receives datagrams that are sealed with the cluster key.
pub struct Datagrams {
    /// The same socket as the receiver's. A send never waits: if the socket is not ready, the
    /// datagram is dropped, which the protocol tolerates like any other loss.
    sender: std::net::UdpSocket,
    key: ClusterKey,
    node: NodeId,
    incarnation: Incarnation,
    sequence: Cell<u64>,
    datagrams: CounterFamily,
    bytes: CounterFamily,
    dropped: CounterFamily,
    receiver: RefCell<Option<JoinHandle<()>>>,
}

impl Drop for Datagrams {
    fn drop(&mut self) {
        self.close();
    }
}

impl Datagrams {
    /// Binds `address` and passes the message of each authentic datagram to `receive`, with the
    /// address that it came from.
    ///
    /// # Errors
    /// Returns the I/O error if the address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        key: ClusterKey,
        (node, incarnation): (NodeId, Incarnation),
        metrics: &Metrics,
        receive: impl Fn(SocketAddr, Vec<u8>) + 'static,
    ) -> std::io::Result<Rc<Self>> {
        let sender = std::net::UdpSocket::bind(address)?;
        sender.set_nonblocking(true)?;
        let socket = tokio::net::UdpSocket::from_std(sender.try_clone()?)?;
        let net = Rc::new(Self {
            sender,
            key,
            node,
            incarnation,
            sequence: Cell::new(0),
            datagrams: metrics.counters("datagrams", "Membership datagrams by direction"),
            bytes: metrics.counters(
                "datagram_bytes",
                "Bytes of membership datagrams without IP and UDP headers, by direction",
            ),
            dropped: metrics.counters("datagrams_dropped", "Datagrams dropped, by reason"),
            receiver: RefCell::default(),
        });
        let weak = Rc::downgrade(&net);
        let task = actix_rt::spawn(async move {
            let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
            loop {
                // An error concerns a datagram that this socket sent earlier, for example to a
                // closed port.
                let received = socket.recv_from(&mut buf).await;
                let Some(net) = weak.upgrade() else { return };
                match received {
                    Ok((length, from)) => {
                        if let Some(message) = net.open(&buf[..length]) {
                            receive(from, message);
                        }
                    }
                    Err(_) => count(&net.dropped, "reason", "receive"),
                }
            }
        });
        *net.receiver.borrow_mut() = Some(task);
        Ok(net)
    }

    /// Seals and sends a message. It may be lost; failures on this side are only counted.
    pub fn send(&self, to: SocketAddr, message: Vec<u8>) {
        self.sequence.set(self.sequence.get() + 1);
        let envelope = Envelope {
            from: self.node.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence.get(),
            message,
        };
        let Ok(bytes) = datagram::seal(&self.key, &envelope) else {
            return count(&self.dropped, "reason", "too_large");
        };
        match self.sender.send_to(&bytes, to) {
            Ok(_) => self.count("sent", bytes.len()),
            Err(_) => count(&self.dropped, "reason", "send"),
        }
    }

    /// Stops receiving. Sending still works.
    pub fn close(&self) {
        if let Some(task) = self.receiver.borrow_mut().take() {
            task.abort();
        }
    }

    fn open(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        self.count("received", bytes.len());
        match datagram::open::<Vec<u8>>(&self.key, bytes) {
            Ok(envelope) => Some(envelope.message),
            Err(datagram::DatagramError::Undecodable { .. }) => {
                count(&self.dropped, "reason", "malformed");
                None
            }
            Err(_) => {
                count(&self.dropped, "reason", "foreign");
                None
            }
        }
    }

    fn count(&self, direction: &str, bytes: usize) {
        let label = [("direction", direction.to_owned())];
        self.datagrams.get_or_create(&label).inc();
        self.bytes.get_or_create(&label).inc_by(bytes as u64);
    }
}

#[cfg(test)]
mod tests;
