//! Passwords, sessions, forms and pages by themselves.

mod fixture;

use std::net::IpAddr;
use std::time::Duration;

use fescuewell_console::form::Typed;
use fescuewell_console::html::{escape, time};
use fescuewell_console::password;
use fescuewell_console::session::{
    AGE_LIMIT, FAILURE_WINDOW, IDLE_LIMIT, MOST_FAILURES, Sessions, Throttle,
};
use fescuewell_core::prelude::*;
use fescuewell_document::for_each_section;
use fescuewell_document::item::Item;

const START: Instant = Instant(1_000_000);

#[test]
fn a_password_is_verified_and_stored_salted() {
    let stored = password::hash("secret").unwrap();
    assert_ne!(stored, password::hash("secret").unwrap());
    assert!(password::verify("secret", &stored) && !password::verify("Secret", &stored));
    assert!(!password::verify("secret", "not a hash"));
}

#[test]
fn sessions_end_when_idle_and_when_old() {
    let mut sessions = Sessions::default();
    sessions.open(START, "cookie", "csrf", "ana");
    let just_in_time = START + IDLE_LIMIT - Duration::from_secs(1);
    assert!(sessions.get(just_in_time, "cookie").is_some());
    assert!(sessions.get(just_in_time + IDLE_LIMIT, "cookie").is_none());
    sessions.open(START, "busy", "csrf", "ana");
    let mut now = START;
    while now.since(START) + IDLE_LIMIT < AGE_LIMIT {
        now = now + IDLE_LIMIT / 2;
        assert!(sessions.get(now, "busy").is_some());
    }
    assert!(sessions.get(START + AGE_LIMIT, "busy").is_none());
    assert!(sessions.get(START, "guess").is_none());
}

#[test]
fn failures_are_counted_by_address_and_forgotten() {
    let mut throttle = Throttle::default();
    let (stranger, neighbour): (IpAddr, IpAddr) = ([10, 0, 0, 1].into(), [10, 0, 0, 2].into());
    for _ in 0..MOST_FAILURES {
        assert!(throttle.allows(START, stranger));
        throttle.failed(START, stranger);
    }
    assert!(!throttle.allows(START, stranger) && throttle.allows(START, neighbour));
    assert!(throttle.allows(START + FAILURE_WINDOW, stranger));
}

#[test]
fn every_form_gives_back_the_item_that_it_shows() {
    let document = fixture::document();
    for_each_section!(T => {
        for item in T::list(&document) {
            let value = serde_json::to_value(item).unwrap();
            let typed = Typed::from_item(T::SECTION, &value);
            assert_eq!(typed.to_item(T::SECTION, Some(&value)).unwrap(), value);
        }
    });
}

#[test]
fn text_is_escaped_and_times_are_readable() {
    assert_eq!(
        escape("<a href='x'>&\"</a>"),
        "&lt;a href=&#39;x&#39;&gt;&amp;&quot;&lt;/a&gt;"
    );
    assert_eq!(time(0), "1970-01-01 00:00:00 UTC");
    assert_eq!(time(1_735_689_599), "2024-12-31 23:59:59 UTC");
    assert_eq!(time(1_709_210_096), "2024-02-29 12:34:56 UTC");
}
