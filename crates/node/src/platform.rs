//! Reads the platform's VM list.

use std::thread;

use spdlog::warn;
use wasabipier_core::event::{VmEntry, VmState};
use wasabipier_core::prelude::*;
use wasabipier_wire::agent::ip_agent;
use wasabipier_wire::platform::{VmsReply, WireVm};

use crate::input::{InputSender, NodeInput};
use crate::part::PLATFORM;
use crate::settings::NodeSettings;

/// Starts to read the VM list at an interval.
///
/// # Errors
///
/// The machine refuses the thread.
pub fn start(settings: &NodeSettings, sender: InputSender) -> std::io::Result<()> {
    let url = format!("http://{}/v1/vms", settings.platform_address);
    let edges = settings.edges.clone();
    let config = ureq::Agent::config_builder().timeout_global(Some(edges.store_within)).build();
    let agent = ip_agent(config);
    thread::Builder::new().name("vm-list".to_owned()).spawn(move || {
        loop {
            let list = agent.get(&url).call().and_then(|mut response| response.body_mut().read_json::<VmsReply>());
            match list {
                Ok(list) => {
                    let entries = list.vms.into_iter().map(entry).collect();
                    if sender.send(NodeInput::Core(Event::VmsListed(entries))).is_err() {
                        return;
                    }
                }
                Err(error) => warn!("{PLATFORM} the VM list cannot be read: {error}."),
            }
            thread::sleep(edges.vms_every);
        }
    })?;
    Ok(())
}

fn entry(vm: WireVm) -> VmEntry {
    VmEntry {
        node: NodeName::new(vm.node),
        dc: DcName::new(vm.data_centre),
        caller_address: vm.caller_address,
        peer_address: vm.peer_address,
        // A state that this version does not know is not a reason to give a VM up.
        state: vm.state.parse().unwrap_or(VmState::Live),
    }
}
