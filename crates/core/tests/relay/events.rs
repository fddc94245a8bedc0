//! Streams cut into events, whatever the reads were.

use proptest::prelude::*;
use wasabipier_core::relay::events::{EventSplitter, EventVerdict};

use crate::fixtures::config;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: lane {id}\n\n")
}

proptest! {
    #![proptest_config(config(300))]

    #[test]
    fn events_do_not_depend_on_how_bytes_arrive(count in 1_u64..20, cuts in prop::collection::vec(1_usize..40, 0..40)) {
        let whole: String = (1..=count).map(event).collect();
        let mut splitter = EventSplitter::default();
        let mut rest = whole.as_bytes();
        let mut joined = Vec::new();
        let mut ids = Vec::new();
        for cut in cuts.iter().copied().chain([usize::MAX]) {
            let (now, later) = rest.split_at(cut.min(rest.len()));
            rest = later;
            for event in splitter.push(now) {
                prop_assert_eq!(splitter.check_sequence(&event), EventVerdict::Forward);
                ids.push(event.id);
                joined.extend_from_slice(&event.bytes);
            }
        }
        prop_assert_eq!(joined, whole.into_bytes());
        prop_assert_eq!(ids, (1..=count).map(Some).collect::<Vec<_>>());
        prop_assert!(splitter.take_rest().is_empty());
    }

    #[test]
    fn a_stream_that_goes_on_elsewhere_brings_each_event_once(broken_at in 0_u64..20, resumed_from in 1_u64..25, count in 20_u64..25) {
        let mut first = EventSplitter::default();
        for event in first.push((1..=broken_at).map(event).collect::<String>().as_bytes()) {
            first.check_sequence(&event);
        }
        let last = first.last_id();
        let mut second = EventSplitter::after(last);

        let mut forwarded: Vec<u64> = (1..=broken_at).collect();
        for event in second.push((resumed_from..=count).map(event).collect::<String>().as_bytes()) {
            match second.check_sequence(&event) {
                EventVerdict::Forward => forwarded.extend(event.id),
                EventVerdict::Duplicate => {}
                EventVerdict::Gap => break,
            }
        }

        let expected: Vec<u64> = if last.is_none() {
            (resumed_from..=count).collect()
        } else if resumed_from <= broken_at + 1 {
            (1..=count).collect()
        } else {
            (1..=broken_at).collect()
        };
        prop_assert_eq!(forwarded, expected);
    }
}

#[test]
fn an_event_that_is_cut_off_is_not_handed_out() {
    let mut splitter = EventSplitter::default();

    let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");

    assert_eq!(events.len(), 1);
    assert_eq!(splitter.take_rest(), b"id: 2\ndata: b\n");
}
