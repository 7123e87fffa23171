//! Checks that the committed reference pages match the code.

use std::collections::BTreeSet;

use fescuewell_core::code::Code;
use fescuewell_core::event::Event;

// Guards against stale pages, in which an operator finds a wrong meaning of a code or none. A page becomes stale when a code
// or event is added or reworded and the page, a second copy of the table, is not regenerated.
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
