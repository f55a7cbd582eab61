//! Datagrams of the membership protocol. The order of fields and variants is the wire format.

use super::record::{Liveness, LoadReport, MemberInfo, MemberKey, MemberRecord};
use coriandercove_base::{ConfigVersion, Incarnation, data};
use std::net::SocketAddr;

data! {
    /// A datagram between nodes, encoded with postcard.
    #[derive(Eq)]
    pub enum Message {
        /// From any node to the entries that observe it.
        Heartbeat(Heartbeat),
        /// From an observer to a node, in answer to a heartbeat or to request heartbeats.
        Ack(Ack),
        /// From an entry to other entries: gossip of changed members and loads.
        Digest(Digest),
        /// From an entry to another one whose table differs, to ask for the differences.
        Query(Query),
    }

    /// Shows the entries that observe a node that the node is alive.
    #[derive(Eq)]
    pub struct Heartbeat {
        /// Key of the sender.
        #[serde(with = "postcard::fixint::le")]
        pub key: MemberKey,
        /// Incarnation of the sender.
        #[serde(with = "postcard::fixint::le")]
        pub incarnation: Incarnation,
        /// Sequence number of the sender in this incarnation. It rises with each round of
        /// heartbeats and, at an entry, with each digest and query.
        pub seq: u64,
        /// Version of the configuration in force at the sender.
        pub config: ConfigVersion,
        /// Load of the sender.
        pub load: LoadReport,
        /// Whether the sender is leaving.
        pub leaving: bool,
        /// Hash of the addresses of the observers that the sender uses, so that the receiver can
        /// correct them.
        pub observers: u8,
        /// The sender's description of itself; sent only after the start, after a change, and when
        /// requested.
        pub info: Option<Box<MemberInfo>>,
    }

    /// Answers a heartbeat with what the sender of the heartbeat does not know yet. Sent when there
    /// is such news, and otherwise for every fourth heartbeat.
    #[derive(Eq)]
    pub struct Ack {
        /// The observer's description of itself; sent if the heartbeat carried its sender's info,
        /// and with requests for heartbeats.
        pub info: Option<Box<MemberInfo>>,
        /// Key of the observer.
        #[serde(with = "postcard::fixint::le")]
        pub key: MemberKey,
        /// Incarnation of the observer.
        #[serde(with = "postcard::fixint::le")]
        pub incarnation: Incarnation,
        /// Sequence number of the heartbeat that this answers; 0 if this requests heartbeats.
        pub seq: u64,
        /// Version of the configuration in force at the observer.
        pub config: ConfigVersion,
        /// Whether the next heartbeat of the receiver should carry its info.
        pub wants_info: bool,
        /// Incarnation of the receiver that the observer knows, if it is higher than that of the
        /// heartbeat.
        pub superseded_by: Option<Incarnation>,
        /// Addresses of the observers that the receiver should use; empty if it uses them already.
        pub observers: Vec<SocketAddr>,
    }

    /// A member's state without its info.
    #[derive(Eq, Copy)]
    pub struct StateRecord {
        /// Key of the member.
        #[serde(with = "postcard::fixint::le")]
        pub key: MemberKey,
        /// Incarnation of the member.
        #[serde(with = "postcard::fixint::le")]
        pub incarnation: Incarnation,
        /// Sequence number of the heartbeat that the state refers to.
        pub beat: u64,
        /// Liveness as of `beat`.
        pub liveness: Liveness,
        /// Whether the member is leaving.
        pub leaving: bool,
        /// Version of the member's [`MemberInfo::detail`].
        pub detail_version: u32,
    }

    /// Load that a member reported with a heartbeat, shortened to keep digests small.
    #[derive(Eq, Copy)]
    pub struct LoadRecord {
        /// High 32 bits of the member's key. A collision shows one member's load at another for
        /// some seconds, which routing tolerates.
        #[serde(with = "postcard::fixint::le")]
        pub key: u32,
        /// Low 16 bits of the heartbeat's sequence number, enough to order the reports of the last
        /// hours.
        pub beat: u16,
        /// The reported load.
        pub load: LoadReport,
    }

    /// Gossip of an entry in a bounded number of bytes: changed members first, then loads.
    #[derive(Eq, Default)]
    pub struct Digest {
        /// Key of the sender.
        #[serde(with = "postcard::fixint::le")]
        pub key: MemberKey,
        /// Incarnation of the sender.
        #[serde(with = "postcard::fixint::le")]
        pub incarnation: Incarnation,
        /// Sequence number of the sender, see [`Heartbeat::seq`].
        pub seq: u64,
        /// Version of the configuration in force at the sender.
        pub config: ConfigVersion,
        /// Hash of the sender's whole table, without dead members.
        pub summary: u32,
        /// Members whose info the sender lacks and requests.
        pub wants: Vec<MemberKey>,
        /// States of changed members whose info is unchanged; in an answer to a query, the states
        /// of the members in the differing buckets.
        pub changes: Vec<StateRecord>,
        /// Whole records: of members whose info changed, and of those that the receiver requested.
        pub full: Vec<MemberRecord>,
        /// Loads of members that the sender observes, those not sent for the longest time first.
        pub loads: Vec<LoadRecord>,
    }

    /// Asks for the states in which two tables differ.
    #[derive(Eq, Default)]
    pub struct Query {
        /// Key of the sender.
        #[serde(with = "postcard::fixint::le")]
        pub key: MemberKey,
        /// Incarnation of the sender.
        #[serde(with = "postcard::fixint::le")]
        pub incarnation: Incarnation,
        /// Sequence number of the sender, see [`Heartbeat::seq`].
        pub seq: u64,
        /// Hash of each bucket of the sender's table, 16 bits each.
        pub buckets: Vec<u16>,
    }
}

impl Message {
    /// Returns the postcard encoding.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // No value of these types fails to encode into memory.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a datagram; `None` if it is malformed.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
