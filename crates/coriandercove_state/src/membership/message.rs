//! Datagrams of membership.

use super::record::{Liveness, LoadReport, MemberInfo, MemberKey, MemberRecord};
use coriandercove_base::{ConfigVersion, Incarnation, data};
use std::net::SocketAddr;

data! {
    /// A datagram between nodes, encoded with postcard.
    #[derive(Eq)]
    pub enum Message {
        /// From any node to its observers.
        Heartbeat(Heartbeat),
        /// From an observer to a node whose heartbeat it got.
        Ack(Ack),
        /// From an entry to other entries.
        Digest(Digest),
        /// From an entry to another one whose table differs.
        Query(Query),
    }

    /// Shows that a node lives, to the entries that observe it.
    #[derive(Eq)]
    pub struct Heartbeat {
        /// The sender.
        #[serde(with = "postcard::fixint::le")]
        pub key: MemberKey,
        /// Its run.
        #[serde(with = "postcard::fixint::le")]
        pub incarnation: Incarnation,
        /// Rises with each round of heartbeats, and with each datagram of an entry.
        pub seq: u64,
        /// Version of the configuration in force.
        pub config: ConfigVersion,
        /// Its load.
        pub load: LoadReport,
        /// Whether it leaves.
        pub leaving: bool,
        /// Hash of the observers that the sender uses, so that the receiver can correct them.
        pub observers: u8,
        /// What the sender says of itself; only after start, on a change, and when asked.
        pub info: Option<Box<MemberInfo>>,
    }

    /// Tells a node what an observer knows better. Sent when there is such news, and now and then.
    #[derive(Eq)]
    pub struct Ack {
        /// The observer.
        pub info: Option<Box<MemberInfo>>,
        /// Key of the observer.
        #[serde(with = "postcard::fixint::le")]
        pub key: MemberKey,
        /// Run of the observer.
        #[serde(with = "postcard::fixint::le")]
        pub incarnation: Incarnation,
        /// Heartbeat that this answers.
        pub seq: u64,
        /// Version of the configuration in force at the observer.
        pub config: ConfigVersion,
        /// Whether the next heartbeat should carry the sender's info.
        pub wants_info: bool,
        /// Higher incarnation of the receiver that the observer knows.
        pub superseded_by: Option<Incarnation>,
        /// Observers that the receiver should use, if they differ.
        pub observers: Vec<SocketAddr>,
    }

    /// A member's state without its info.
    #[derive(Eq, Copy)]
    pub struct StateRecord {
        /// The member.
        #[serde(with = "postcard::fixint::le")]
        pub key: MemberKey,
        /// Its run.
        #[serde(with = "postcard::fixint::le")]
        pub incarnation: Incarnation,
        /// Heartbeat that the state refers to.
        pub beat: u64,
        /// Whether it is heard.
        pub liveness: Liveness,
        /// Whether it leaves.
        pub leaving: bool,
        /// Version of its detail.
        pub detail_version: u32,
    }

    /// Load of a member at a heartbeat.
    #[derive(Eq, Copy)]
    pub struct LoadRecord {
        /// High 32 bits of the member's key. A collision shows one member's load at another for
        /// some seconds, which routing tolerates.
        #[serde(with = "postcard::fixint::le")]
        pub key: u32,
        /// Low 16 bits of the heartbeat, which order reports of the last hours.
        pub beat: u16,
        /// The load.
        pub load: LoadReport,
    }

    /// What an entry has learned, changes first, in a bounded number of bytes.
    #[derive(Eq, Default)]
    pub struct Digest {
        /// The sender.
        #[serde(with = "postcard::fixint::le")]
        pub key: MemberKey,
        /// Its run.
        #[serde(with = "postcard::fixint::le")]
        pub incarnation: Incarnation,
        /// Rises with each datagram of the sender.
        pub seq: u64,
        /// Version of the configuration in force.
        pub config: ConfigVersion,
        /// Hash of the sender's whole table.
        pub summary: u32,
        /// Members whose info the sender lacks.
        pub wants: Vec<MemberKey>,
        /// Changed members.
        pub changes: Vec<StateRecord>,
        /// Members with their info, for those who lack it.
        pub full: Vec<MemberRecord>,
        /// Loads, those longest not sent first.
        pub loads: Vec<LoadRecord>,
    }

    /// Asks for the records in which two tables differ.
    #[derive(Eq, Default)]
    pub struct Query {
        /// The sender.
        #[serde(with = "postcard::fixint::le")]
        pub key: MemberKey,
        /// Its run.
        #[serde(with = "postcard::fixint::le")]
        pub incarnation: Incarnation,
        /// Rises with each datagram of the sender.
        pub seq: u64,
        /// Hash of each bucket of the sender's table, 16 bits each.
        pub buckets: Vec<u16>,
    }
}

impl Message {
    /// The postcard encoding.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into memory fails for no value of these types.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a datagram; `None` if it is malformed.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
