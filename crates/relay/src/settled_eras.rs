//! Writes into the store that its era is settled, and reads it there.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::clock;
use crate::log_prefixes::STORE;
use crate::ports::RowReply;
use crate::state::SharedNode;
use crate::store;
use crate::store_link::{StoreError, StoreLink};

/// Interval at which a node checks whether it has to write that the era is settled.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Writes into the store that its era is settled if it is this node's turn, until the node ends.
pub async fn run(node: SharedNode) {
    let mut link = StoreLink::new(&node);
    loop {
        sleep(CHECK_INTERVAL).await;
        let due = node.board.borrow_mut().take_era_to_record(clock::now());
        if let Some(era) = due {
            write_row(&node, &mut link, era).await;
        }
    }
}

/// Learns from a page of the nodes' announcements whether the store's era is settled.
pub fn learn_from_store(node: &SharedNode, response: &Response<Bytes>) {
    if let Some(written_in) = node.platform.read_settled_era(response) {
        node.board.borrow_mut().record_settled_row(written_in);
        update_settlement(node);
        store::start_serving_if_ready(node);
    }
}

/// Notes and logs the eras that have become settled.
pub fn update_settlement(node: &SharedNode) {
    let news = node.board.borrow_mut().update_settlement(clock::now());
    for settlement in news {
        let (settled_from, basis) = (settlement.settled_from.to_string(), settlement.basis.to_string());
        let age_ms = clock::now().since(node.started_at).as_millis() as u64;
        info!("{STORE} era is settled.", kv: { from = settled_from.as_str(), basis = basis.as_str(), node_age_ms = age_ms });
    }
}

async fn write_row(node: &SharedNode, link: &mut StoreLink, era: u64) {
    let answer = link.call(node.platform.settled_era_request(era)).await;
    let reply = answer.and_then(|response| node.platform.read_row_reply(&response).map_err(StoreError::Fault));
    match reply {
        Ok(reply) => {
            let is_new = matches!(reply, RowReply::Written(_));
            info!("{STORE} settled era recorded.", kv: { era, new = is_new });
            node.board.borrow_mut().record_settled_row_written(era);
        }
        Err(error) => {
            let error = error.to_string();
            warn!("{STORE} settled era not recorded; trying again.", kv: { era, error = error.as_str() });
        }
    }
}
