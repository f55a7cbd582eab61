//! An in-memory store, and a simulated network for the calls to it.

use std::collections::{BTreeMap, BTreeSet};

use coriandercove_state::store_call::{StoreCall, StoreReply, Version};

/// An in-memory object store.
#[derive(Debug, Default)]
pub struct MemStore {
    objects: BTreeMap<String, (Version, Vec<u8>)>,
    version: Version,
}

impl MemStore {
    pub fn apply(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::List { prefix } => {
                let names = self.objects.keys().filter(|n| n.starts_with(prefix));
                StoreReply::Names(names.cloned().collect())
            }
            StoreCall::Get { name } => match self.objects.get(name).cloned() {
                Some((version, value)) => StoreReply::Value { version, value },
                None => StoreReply::Absent,
            },
            StoreCall::Create { name, value } => match self.objects.get(name) {
                Some(_) => StoreReply::Conflict,
                None => self.write(name, value),
            },
            StoreCall::PutIf {
                name,
                version,
                value,
            } => match self.objects.get(name) {
                None => StoreReply::Absent,
                Some((v, _)) if v != version => StoreReply::Conflict,
                Some(_) => self.write(name, value),
            },
            StoreCall::DeleteIf { name, version } => match self.objects.get(name) {
                None => StoreReply::Absent,
                Some((v, _)) if v != version => StoreReply::Conflict,
                Some(_) => {
                    self.objects.remove(name);
                    StoreReply::Deleted
                }
            },
        }
    }

    fn write(&mut self, name: &str, value: &[u8]) -> StoreReply {
        self.version += 1;
        let object = (self.version, value.to_vec());
        self.objects.insert(name.to_owned(), object);
        StoreReply::Written(self.version)
    }
}

/// Identifies a store call by index of the node, run of the node and number of the call.
pub type CallId = (usize, u32, u64);

/// Store calls in flight. Requests and answers may be delayed, duplicated, lost and reordered.
#[derive(Debug, Default)]
pub struct StoreNet {
    pub store: MemStore,
    /// Whether the store cannot be reached: requests that arrive have no effect.
    pub down: bool,
    pub requests: Vec<(CallId, StoreCall)>,
    pub replies: Vec<(CallId, StoreReply)>,
    /// Calls whose caller still waits for the result.
    pub waiting: BTreeSet<CallId>,
    /// Calls of which at least one copy reached the store.
    applied: BTreeSet<CallId>,
}

impl StoreNet {
    pub fn send(&mut self, id: CallId, call: StoreCall) {
        self.waiting.insert(id);
        self.requests.push((id, call));
    }

    /// Lets request `i` arrive at the store. Returns the call and its result if it was carried out.
    pub fn arrive(&mut self, i: usize) -> Option<(StoreCall, StoreReply)> {
        let (id, call) = self.requests.remove(i);
        if self.down {
            let is_only = !self.requests.iter().any(|(other, _)| *other == id);
            if is_only && !self.applied.contains(&id) {
                self.replies.push((id, StoreReply::Unavailable));
            }
            return None;
        }
        self.applied.insert(id);
        let reply = self.store.apply(&call);
        self.replies.push((id, reply.clone()));
        Some((call, reply))
    }

    /// Removes answer `i`. Returns `None` if its caller no longer waits for it.
    pub fn take_reply(&mut self, i: usize) -> Option<(CallId, StoreReply)> {
        let (id, reply) = self.replies.remove(i);
        self.waiting.remove(&id).then_some((id, reply))
    }

    /// Lets a waiting call of `node` time out. Its request may still arrive at the store.
    pub fn time_out(&mut self, node: usize, i: usize) -> Option<CallId> {
        let own: Vec<_> = self.waiting.iter().filter(|id| id.0 == node).collect();
        let id = *own.get(i % own.len().max(1)).copied()?;
        self.waiting.remove(&id);
        Some(id)
    }

    pub fn forget_node(&mut self, node: usize) {
        self.waiting.retain(|id| id.0 != node);
    }
}

/// Returns `i` modulo `len`, or `None` if `len` is zero.
pub fn pick(i: usize, len: usize) -> Option<usize> {
    (len > 0).then(|| i % len)
}

pub fn duplicate<T: Clone>(list: &mut Vec<T>, i: usize) {
    if let Some(i) = pick(i, list.len()) {
        list.push(list[i].clone());
    }
}

pub fn remove<T>(list: &mut Vec<T>, i: usize) {
    if let Some(i) = pick(i, list.len()) {
        list.remove(i);
    }
}
