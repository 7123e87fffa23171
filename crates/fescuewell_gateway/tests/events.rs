//! Tests of the division of a byte stream into events.

use fescuewell_gateway::stream::EventFramer;

/// Guards against an empty line that is not found because it arrives in several parts.
#[test]
fn events_that_arrive_byte_by_byte_are_whole() {
    for line_end in ["\n", "\r\n"] {
        let event = |id: u64| format!("id: {id}{line_end}data: x{line_end}{line_end}");
        let mut framer = EventFramer::new(Some(0));
        let mut received = Vec::new();

        for byte in (1..=3).map(event).collect::<String>().bytes() {
            received.extend_from_slice(&framer.push(&[byte]).unwrap());
        }

        let expected: String = (1..=3).map(event).collect();
        assert_eq!(received, expected.as_bytes());
        assert_eq!(framer.forwarded(), 3);
        assert!(!framer.has_partial());
    }
}

#[test]
fn an_event_is_found_after_a_partial_one_was_discarded() {
    let mut framer = EventFramer::new(None);

    let partial = framer.push(b"id: 1\ndata: a long part").unwrap();
    framer.discard_partial();
    let whole = framer.push(b"id: 1\n\n").unwrap();

    assert!(partial.is_empty());
    assert_eq!(whole, &b"id: 1\n\n"[..]);
}
