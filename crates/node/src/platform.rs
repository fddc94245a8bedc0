//! Reader of the platform's VM list.

use std::thread;

use spdlog::warn;
use wasabipier_core::event::{VmEntry, VmState};
use wasabipier_core::prelude::*;
use wasabipier_wire::agent::ip_agent;
use wasabipier_wire::platform::{VmsReply, WireVm};

use crate::log_prefix::PLATFORM;
use crate::node_input::{InputSender, NodeInput};
use crate::settings::NodeSettings;

/// Starts the thread that reads the VM list at the interval of the settings and passes it to the decision thread. A
/// list that cannot be read is skipped.
///
/// # Errors
///
/// Fails if the operating system refuses the thread.
pub fn spawn_vm_list_reader(settings: &NodeSettings, inputs: InputSender) -> std::io::Result<()> {
    let url = format!("http://{}/v1/vms", settings.platform_address);
    let edges = settings.edges.clone();
    let config = ureq::Agent::config_builder().timeout_global(Some(edges.store_timeout)).build();
    let agent = ip_agent(config);
    thread::Builder::new().name("vm-list".to_owned()).spawn(move || {
        loop {
            let list = agent.get(&url).call().and_then(|mut response| response.body_mut().read_json::<VmsReply>());
            match list {
                Ok(list) => {
                    let entries = list.vms.into_iter().map(convert_vm).collect();
                    if inputs.send(NodeInput::Core(Event::VmsListed(entries))).is_err() {
                        return;
                    }
                }
                Err(error) => warn!("{PLATFORM} VM list could not be read: {error}."),
            }
            thread::sleep(edges.vm_list_interval);
        }
    })?;
    Ok(())
}

/// Converts a VM of the list to the core's form.
fn convert_vm(vm: WireVm) -> VmEntry {
    VmEntry {
        node: NodeName::new(vm.node),
        dc: DcName::new(vm.data_centre),
        caller_address: vm.caller_address,
        peer_address: vm.peer_address,
        // A VM whose state this version does not know still counts as live.
        state: vm.state.parse().unwrap_or(VmState::Live),
    }
}
