//! Tests of splitting streams into events.

use proptest::prelude::*;
use wasabipier_core::relay::events::{EventSplitter, EventVerdict};

use crate::fixtures::config;

/// Returns the bytes of the event with the identifier `id`.
fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: lane {id}\n\n")
}

proptest! {
    #![proptest_config(config(300))]

    /// Guards against events that are lost, repeated or changed when a read ends within an event or a terminator.
    #[test]
    fn events_do_not_depend_on_how_bytes_arrive(count in 1_u64..20, cuts in prop::collection::vec(1_usize..40, 0..40)) {
        let whole: String = (1..=count).map(event_text).collect();
        let mut splitter = EventSplitter::default();
        let mut unprocessed = whole.as_bytes();
        let mut forwarded_bytes = Vec::new();
        let mut ids = Vec::new();
        for cut in cuts.iter().copied().chain([usize::MAX]) {
            let (chunk, tail) = unprocessed.split_at(cut.min(unprocessed.len()));
            unprocessed = tail;
            for event in splitter.push(chunk) {
                prop_assert_eq!(splitter.check_sequence(&event), EventVerdict::Forward);
                ids.push(event.id);
                forwarded_bytes.extend_from_slice(&event.bytes);
            }
        }
        prop_assert_eq!(forwarded_bytes, whole.into_bytes());
        prop_assert_eq!(ids, (1..=count).map(Some).collect::<Vec<_>>());
        prop_assert!(splitter.take_rest().is_empty());
    }

    /// Guards against events that the caller misses or gets twice: a stream breaks, and another target continues it
    /// from an earlier or a later event.
    #[test]
    fn a_stream_that_another_target_continues_forwards_each_event_once(
        broken_at in 0_u64..20,
        resumed_from in 1_u64..25,
        count in 20_u64..25,
    ) {
        let mut first = EventSplitter::default();
        for event in first.push((1..=broken_at).map(event_text).collect::<String>().as_bytes()) {
            first.check_sequence(&event);
        }
        let last_id = first.last_id();
        let mut second = EventSplitter::after(last_id);

        let mut forwarded: Vec<u64> = (1..=broken_at).collect();
        for event in second.push((resumed_from..=count).map(event_text).collect::<String>().as_bytes()) {
            match second.check_sequence(&event) {
                EventVerdict::Forward => forwarded.extend(event.id),
                EventVerdict::Duplicate => {}
                EventVerdict::Gap | EventVerdict::Malformed => break,
            }
        }

        let expected: Vec<u64> = if last_id.is_none() {
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
fn an_incomplete_event_is_not_returned() {
    let mut splitter = EventSplitter::default();

    let events = splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");

    assert_eq!(events.len(), 1);
    assert_eq!(splitter.take_rest(), b"id: 2\ndata: b\n");
}

/// Guards against pieces of two runs that are joined: a part of an event without end was returned as an event, and
/// another target continued the stream after the event before.
#[test]
fn an_event_without_end_is_never_returned_in_part() {
    let mut splitter = EventSplitter::default();
    let mut events = splitter.push((event_text(1) + "id: 2\ndata: ").as_bytes());

    let pushes = (0..1_000).take_while(|_| {
        events.extend(splitter.push(&[b'x'; 1_024]));
        !splitter.is_overfull()
    });

    assert!(pushes.count() < 256, "a quarter of a megabyte is the most that an event may take");
    assert_eq!(events.iter().map(|event| event.id).collect::<Vec<_>>(), [Some(1)]);
}

/// Guards against a stream of comments that holds a caller without ever leading to an event.
#[test]
fn comments_without_an_event_are_bounded_and_an_event_starts_the_count_anew() {
    let comments = ":\n\n".repeat(60_000);
    let mut splitter = EventSplitter::default();

    splitter.push(comments.as_bytes());
    splitter.push(event_text(1).as_bytes());
    splitter.push(comments.as_bytes());
    assert!(!splitter.is_overfull());
    splitter.push(comments.as_bytes());

    assert!(splitter.is_overfull());
}

/// Guards against text that is no event, such as that of an error, in the middle of a stream.
#[test]
fn blocks_that_are_no_events_end_the_stream() {
    let malformed = [
        "HTTP/1.1 503 Unavailable\r\nretry-after: 1\r\n\r\n",
        "no capacity is left\n\n",
        "{\"error\": \"failed\"}\n\n",
        "data: an event without an identifier\n\n",
        "id: 2\ndata: laHTTP/1.1 500 Failed\r\ncontent-length: 4\r\n\r\n",
        "id: two\ndata: lane\n\n",
    ];
    let sound =
        ["id: 2\ndata: lane\n\n", "weights: 7\nid: 2\r\nevent: token\r\ndata\r\n\r\n", ":\nid: 2\nretry: 3\n\n"];
    let verdict = |text: &str| {
        let mut splitter = EventSplitter::after(Some(1));
        let events = splitter.push(text.as_bytes());
        splitter.check_sequence(&events[0])
    };

    assert_eq!(malformed.map(verdict), [EventVerdict::Malformed; 6]);
    assert_eq!(sound.map(verdict), [EventVerdict::Forward; 3]);
    assert_eq!(verdict(": a comment\n\n"), EventVerdict::Forward);
}

/// Guards against a stream that is taken for one endless event because its lines end in CR LF.
#[test]
fn lines_that_end_in_cr_lf_are_split_as_others_are() {
    let text = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n";
    for cut in 0..text.len() {
        let mut splitter = EventSplitter::default();

        let mut events = splitter.push(&text.as_bytes()[..cut]);
        events.extend(splitter.push(&text.as_bytes()[cut..]));

        assert_eq!(events.iter().map(|event| event.id).collect::<Vec<_>>(), [Some(1), Some(2)], "cut at {cut}");
        assert!(splitter.take_rest().is_empty());
    }
}

/// Guards against a stream that looks complete though it ended before the blank line of its last event.
#[test]
fn an_event_without_its_blank_line_is_left_over() {
    for text in ["id: 1\ndata: a\n", "id: 1\r\ndata: a\r\n", "id: 1\r\ndata: a\r\n\r", "id: 1"] {
        let mut splitter = EventSplitter::default();

        assert!(splitter.push(text.as_bytes()).is_empty(), "{text:?}");

        assert_eq!(splitter.take_rest(), text.as_bytes());
    }
}
