//! Stand-in for the platform: table service, object store and VM list at one address.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tiny_http::{Method, Request};
use wasabipier_wire::platform::{BatchCall, BatchReply, ObjectsReply, VmsReply, WireVm};

use crate::faults::FaultSwitch;
use crate::server::{FakeHandler, read_json, reply};
use crate::table::FakeTable;

/// VM list whose readers see each change after a lag.
#[derive(Debug)]
struct LaggingVmList {
    lag: Duration,
    /// List that readers see now.
    visible: Vec<WireVm>,
    /// Changes that readers do not see yet, with the instants from which they do.
    pending: VecDeque<(Instant, Vec<WireVm>)>,
}

/// Handler of the platform.
#[derive(Debug)]
pub struct FakePlatform {
    faults: FaultSwitch,
    table: Mutex<FakeTable>,
    objects: Mutex<BTreeMap<String, String>>,
    vms: Mutex<LaggingVmList>,
}

impl FakePlatform {
    /// Creates a platform without rows, objects and VMs, whose VM list shows changes after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        let list = LaggingVmList { lag, visible: Vec::new(), pending: VecDeque::new() };
        Self {
            faults: FaultSwitch::default(),
            table: Mutex::default(),
            objects: Mutex::default(),
            vms: Mutex::new(list),
        }
    }

    /// Replaces the VM list. Readers see the new list after the lag.
    pub fn set_vms(&self, vms: Vec<WireVm>) {
        let mut list = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        let due = Instant::now() + list.lag;
        list.pending.push_back((due, vms));
    }

    /// Calls `read` with the table service's state and returns the result of `read`. Batches of clients wait meanwhile.
    pub fn with_table<T>(&self, read: impl FnOnce(&FakeTable) -> T) -> T {
        read(&self.table.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies the changes that are due and returns the VM list that readers see.
    fn read_vms(&self) -> VmsReply {
        let mut list = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        while list.pending.front().is_some_and(|(due, _)| *due <= Instant::now()) {
            if let Some((_, vms)) = list.pending.pop_front() {
                list.visible = vms;
            }
        }
        VmsReply { vms: list.visible.clone() }
    }

    fn handle_batch(&self, mut request: Request) {
        let batch: BatchCall = match read_json(&mut request) {
            Ok(batch) => batch,
            Err(error) => return reply(request, 400, &serde_json::json!({ "error": error })),
        };
        let results = self.table.lock().unwrap_or_else(PoisonError::into_inner).apply(&batch);
        self.reply_unless_lost(request, &BatchReply { results });
    }

    /// Answers a call that has been done, unless the injected fault withholds the answer.
    fn reply_unless_lost(&self, request: Request, body: &impl serde::Serialize) {
        if self.faults.get().lose_answers {
            // Keeps the connection open, so that the client waits for an answer that never comes.
            std::mem::forget(request.into_writer());
            return;
        }
        reply(request, 200, body);
    }

    fn handle_object(&self, mut request: Request, key: &str) {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        match request.method() {
            Method::Put => {
                let mut text = String::new();
                let _ = request.as_reader().read_to_string(&mut text);
                objects.insert(key.to_owned(), text);
                drop(objects);
                self.reply_unless_lost(request, &serde_json::json!({}));
            }
            _ => match objects.get(key) {
                Some(text) => {
                    let value: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
                    reply(request, 200, &value);
                }
                None => reply(request, 404, &serde_json::json!({ "error": "no such object" })),
            },
        }
    }

    fn list_objects(&self, request: Request, prefix: &str) {
        let objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        let keys = objects.keys().filter(|key| key.starts_with(prefix)).cloned().collect();
        drop(objects);
        reply(request, 200, &ObjectsReply { keys });
    }
}

impl FakeHandler for FakePlatform {
    fn handle(&self, mut request: Request) {
        self.faults.sleep_for_delay();
        if self.faults.get().down {
            return reply(request, 503, &serde_json::json!({ "error": "out of service" }));
        }
        let url = request.url().to_owned();
        match (request.method().clone(), url.as_str()) {
            (Method::Post, "/v1/batch") => self.handle_batch(request),
            (Method::Get, "/v1/vms") => reply(request, 200, &self.read_vms()),
            (Method::Put, "/v1/vms") => match read_json::<VmsReply>(&mut request) {
                Ok(list) => {
                    self.set_vms(list.vms);
                    reply(request, 200, &serde_json::json!({}));
                }
                Err(error) => reply(request, 400, &serde_json::json!({ "error": error })),
            },
            (_, path) if path.starts_with("/v1/objects?prefix=") => {
                self.list_objects(request, path.trim_start_matches("/v1/objects?prefix="));
            }
            (_, path) if path.starts_with("/v1/objects/") => {
                self.handle_object(request, path.trim_start_matches("/v1/objects/"));
            }
            _ => reply(request, 404, &serde_json::json!({ "error": "no such path" })),
        }
    }

    fn stats(&self) -> serde_json::Value {
        self.with_table(
            |table| serde_json::json!({ "writes": table.writes, "reads": table.reads, "batches": table.batches }),
        )
    }

    fn faults(&self) -> &FaultSwitch {
        &self.faults
    }
}
