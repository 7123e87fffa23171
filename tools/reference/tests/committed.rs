//! The committed pages are those that the code gives.

use std::collections::BTreeSet;

use fescuewell_core::code::Code;
use fescuewell_core::event::Event;

// Symptom: an operator looks a code up and finds another meaning, or none.
// Sequence: a code or event was added or reworded; the page was not generated anew.
// Cause: two copies of one table.
#[test]
fn the_committed_pages_match_the_code() {
    for page in reference::pages() {
        let committed = std::fs::read_to_string(&page.path).expect("the page is committed");

        assert!(
            committed == page.text,
            "{} differs from the code; run `cargo run -p reference`",
            page.path.display()
        );
    }
}

#[test]
fn every_code_and_event_has_one_row_and_a_number_of_its_own() {
    let codes = reference::codes();
    let events = reference::events();

    let code_numbers: BTreeSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let event_numbers: BTreeSet<u16> = Event::ALL.iter().map(|event| event.number()).collect();

    assert_eq!(code_numbers.len(), Code::ALL.len());
    assert_eq!(event_numbers.len(), Event::ALL.len());
    for number in code_numbers {
        assert_eq!(codes.matches(&format!("\n| {number} |")).count(), 1);
    }
    for number in event_numbers {
        assert_eq!(events.matches(&format!("\n| E{number} |")).count(), 1);
    }
}
