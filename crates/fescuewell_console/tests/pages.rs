//! The console as a browser without scripts meets it.

mod fixture;

use fescuewell_console::prelude::*;
use fescuewell_core::prelude::*;
use fescuewell_document::lookup::Index;
use fixture::{Browser, PASSWORD, TOKEN, set, start, start_with};

#[test]
fn nothing_opens_without_signing_in() {
    let world = start();
    let mut stranger = Browser::new(world.console.address());
    for path in ["/", "/groups", "/groups/signwise", "/history", "/state"] {
        let page = stranger.get(path);
        assert_eq!(
            (page.status, page.location.as_str()),
            (303, "/sign-in"),
            "{path}"
        );
    }
    assert_eq!(
        stranger
            .post("/edit/accept", &[("action", "remove")])
            .status,
        401
    );
    let wrong = stranger.post("/sign-in", &[("operator", "ana"), ("password", "guess")]);
    assert_eq!(wrong.status, 401);
    let unknown = stranger.post("/sign-in", &[("operator", "eve"), ("password", PASSWORD)]);
    assert_eq!(unknown.status, 401);
}

#[test]
fn guessing_a_password_is_slowed_down() {
    // Symptom: an operator's password is found by trying. Sequence: thousands of sign-ins a minute.
    // Cause: no limit on failures.
    let world = start();
    let mut stranger = Browser::new(world.console.address());
    for _ in 0..fescuewell_console::session::MOST_FAILURES {
        stranger.post("/sign-in", &[("operator", "ana"), ("password", "guess")]);
    }
    let right = stranger.post("/sign-in", &[("operator", "ana"), ("password", PASSWORD)]);
    assert_eq!(right.status, 429);
    assert!(right.contains("E5008"));
}

#[test]
fn a_form_without_the_sessions_token_is_refused() {
    // Symptom: a top-up that no operator asked for. Sequence: an operator opens another site, which makes
    // the browser send a form here, cookie included. Cause: trusting the cookie alone.
    let world = start();
    let mut ana = world.browser("ana");
    let mut review = ana
        .review("/groups/signwise", &[("weight", "2")])
        .form("/edit/accept");
    set(&mut review, "csrf", "guess");
    assert_eq!(ana.post("/edit/accept", &review).status, 403);
    assert_eq!(world.in_force().0, Version(1));
}

#[test]
fn an_edit_is_reviewed_accepted_and_kept_in_the_history() {
    let world = start();
    let mut ana = world.browser("ana");
    let review = ana.review(
        "/groups/signwise",
        &[("prepaid", "20 000"), ("weight", "3")],
    );
    assert_eq!(review.status, 200);
    assert!(
        review.contains("<td>prepaid</td><td>10000</td><td>20000</td>"),
        "{}",
        review.text
    );
    assert_eq!(world.in_force().0, Version(1));
    let accepted = ana.accept(&review);
    assert_eq!(accepted.location, "/groups?accepted=2");
    assert_eq!(world.prepaid("signwise"), 20_000);
    assert!(ana.get("/history").contains("/history/2"));
    let change = ana.get("/history/2");
    assert!(change.contains("<td>weight</td><td>1</td><td>3</td>") && change.contains("by ana"));
}

#[test]
fn every_section_can_be_filled_from_empty_forms() {
    let world = start_with(Limits::default());
    let mut ana = world.browser("ana");
    let kind = [
        ("name", "urgent"),
        ("priority", "0"),
        ("floor_percent", "0"),
        ("deadline_ms", "500"),
    ];
    let model = [
        ("name", "chat"),
        ("context_tokens", "4096"),
        ("default_output", "99"),
        ("least_servers", "0"),
    ];
    let engine = [
        ("name", "engine-1"),
        ("role", "engine"),
        ("address", "127.0.0.1:9001"),
        ("zone", "a"),
        ("concurrency", "4"),
        ("models", "chat"),
        ("checks_fencing", "yes"),
    ];
    let desk = [
        ("name", "desk-1"),
        ("role", "service"),
        ("address", "127.0.0.1:9002"),
        ("zone", "a"),
        ("concurrency", "4"),
    ];
    let service = [
        ("name", "bookings"),
        ("servers", "desk-1"),
        ("calls.0.name", "status"),
        ("calls.0.repeatable", "yes"),
        ("calls.0.kind", "urgent"),
        ("calls.0.price", "0"),
        ("calls.2.name", "confirm"),
        ("calls.2.kind", "urgent"),
        ("calls.2.price", "5"),
    ];
    let group = [
        ("name", "signwise"),
        ("prepaid", "1000"),
        ("weight", "1"),
        ("allowance.outage_seconds", "60"),
        ("allowance.share_percent", "10"),
        ("allowance.least", "100"),
        ("reach", "engine-1"),
    ];
    let account = [
        ("name", "venues"),
        ("group", "signwise"),
        ("default_kind", "urgent"),
    ];
    let steps: [(&str, &[(&str, &str)]); 7] = [
        ("kinds", &kind),
        ("models", &model),
        ("servers", &engine),
        ("servers", &desk),
        ("services", &service),
        ("groups", &group),
        ("accounts", &account),
    ];
    for (section, typed) in steps {
        let review = ana.review(&format!("/{section}/new"), typed);
        assert_eq!(review.status, 200, "{section}: {}", review.text);
        assert_eq!(ana.accept(&review).status, 303, "{section}");
    }
    let (version, document) = world.in_force();
    assert_eq!(version, Version(7));
    assert!(document.servers[1].checks_fencing && !document.servers[0].checks_fencing);
    let calls = &document.services[0].calls;
    assert_eq!(
        (calls.len(), calls[0].repeatable, calls[1].repeatable),
        (2, true, false)
    );
}

#[test]
fn a_new_key_is_shown_once_and_opens_the_account() {
    let world = start();
    let mut ana = world.browser("ana");
    let mut form = ana.get("/accounts/venues").form("value=\"add-key\"");
    set(&mut form, "action", "add-key");
    set(&mut form, "key_name", "front-desk");
    let review = ana.post("/edit/review", &form);
    assert!(
        review.contains("It is made when you accept"),
        "{}",
        review.text
    );
    let shown = ana.accept(&review);
    let (_, rest) = shown.text.split_once("<code class=\"key\">").unwrap();
    let (key, _) = rest.split_once("</code>").unwrap();
    let index = Index::new(world.in_force().1.into());
    assert_eq!(&*index.account_by_key(key).unwrap().name, "venues");
    assert!(!ana.get("/accounts/venues").contains(key));
    // A caller's key opens nothing here.
    let caller = Client::new(format!("http://{}", world.console.address()), key);
    assert!(caller.get(None).unwrap_err().to_string().contains("5006"));
}

#[test]
fn faults_are_shown_beside_what_was_typed() {
    let world = start();
    let mut ana = world.browser("ana");
    let page = ana.review(
        "/groups/signwise",
        &[("weight", "many"), ("prepaid", "12345")],
    );
    assert_eq!(page.status, 422);
    assert!(page.contains("href=\"#field-weight\""), "{}", page.text);
    assert!(page.contains("value=\"many\"") && page.contains("value=\"12345\""));
    let page = ana.review("/groups/signwise", &[("weight", "0")]);
    assert!(page.contains("href=\"#field-weight\"") && page.contains("allowed: 1 to 10000"));
    let mut form = ana.get("/groups/signwise").form("value=\"top-up\"");
    set(&mut form, "action", "top-up");
    set(&mut form, "add", "lots");
    let page = ana.post("/edit/review", &form);
    // The form beside it comes back filled, not empty as if to be saved so.
    assert!(page.contains("href=\"#field-add\"") && page.contains("value=\"lots\""));
    assert!(page.contains("value=\"10000\""), "{}", page.text);
    let mut form = ana.get("/servers/desk-1").form("value=\"remove\"");
    set(&mut form, "action", "remove");
    let page = ana.post("/edit/review", &form);
    assert!(
        page.contains("services/bookings servers[0]"),
        "{}",
        page.text
    );
}

#[test]
fn typed_text_is_never_taken_for_markup() {
    // Symptom: a name that an operator pastes runs as script in the console. Cause: text put into a page unescaped.
    let world = start();
    let mut ana = world.browser("ana");
    let page = ana.review("/groups/new", &[("name", "\"><script>alert(1)</script>")]);
    assert!(!page.contains("<script>") && page.contains("&lt;script&gt;"));
    let page = ana.get("/groups?find=%3Cscript%3E");
    assert!(!page.contains("<script>"));
}

#[test]
fn a_raced_edit_of_other_fields_is_joined_after_a_second_look() {
    // Symptom: one operator's accepted change disappears. Sequence: two operators open the same form; the first
    // accepts; the second accepts a form that still holds the old text of the first one's field.
    // Cause: writing whole items without looking at what changed meanwhile.
    let world = start();
    let (mut ana, mut ben) = (world.browser("ana"), world.browser("ben"));
    let ana_review = ana.review("/groups/signwise", &[("weight", "7")]);
    let ben_review = ben.review("/groups/signwise", &[("prepaid", "15000")]);
    assert_eq!(ben.accept(&ben_review).status, 303);
    let again = ana.accept(&ana_review);
    assert_eq!(again.status, 409);
    assert!(again.contains("Accepted meanwhile") && again.contains("<td>10000</td><td>15000</td>"));
    assert!(
        again.contains("<td>weight</td><td>1</td><td>7</td>"),
        "{}",
        again.text
    );
    assert_eq!(world.in_force().0, Version(2));
    assert_eq!(ana.accept(&again).status, 303);
    let (_, document) = world.in_force();
    let signwise = document
        .groups
        .iter()
        .find(|group| &*group.name == "signwise")
        .unwrap();
    assert_eq!((signwise.weight, signwise.prepaid), (7, Tokens(15_000)));
}

#[test]
fn a_raced_edit_of_the_same_field_shows_both_and_keeps_what_was_typed() {
    let world = start();
    let (mut ana, mut ben) = (world.browser("ana"), world.browser("ben"));
    let ana_review = ana.review("/groups/signwise", &[("prepaid", "30000"), ("weight", "7")]);
    let ben_review = ben.review("/groups/signwise", &[("prepaid", "15000")]);
    ben.accept(&ben_review);
    let clash = ana.accept(&ana_review);
    assert_eq!(clash.status, 409);
    assert!(
        clash.contains("<td>10000</td><td>15000</td><td>30000</td>"),
        "{}",
        clash.text
    );
    assert!(clash.contains("value=\"30000\"") && clash.contains("value=\"7\""));
    let mut form = clash.form("value=\"save\"");
    set(&mut form, "action", "save");
    set(&mut form, "f.prepaid", "35000");
    let review = ana.post("/edit/review", &form);
    assert!(review.contains("<td>15000</td><td>35000</td>"));
    ana.accept(&review);
    assert_eq!(world.prepaid("signwise"), 35_000);
}

#[test]
fn a_top_up_that_is_sent_twice_counts_once() {
    // Symptom: a group has more than it paid for. Sequence: the operator presses Accept twice, or again after a
    // lost answer. Cause: sending the increment instead of the new total.
    let world = start();
    let mut ana = world.browser("ana");
    let mut form = ana.get("/groups/signwise").form("value=\"top-up\"");
    set(&mut form, "action", "top-up");
    set(&mut form, "add", "5000");
    let review = ana.post("/edit/review", &form);
    assert!(
        review.contains("<td>10000</td><td>15000</td>"),
        "{}",
        review.text
    );
    assert_eq!(ana.accept(&review).status, 303);
    let second = ana.accept(&review);
    assert_eq!(second.status, 409);
    assert!(second.contains("Your change: nothing"), "{}", second.text);
    assert_eq!(
        (world.prepaid("signwise"), world.in_force().0),
        (15_000, Version(2))
    );
}

#[test]
fn live_state_shows_budgets_and_instances_that_do_not_answer() {
    let world = start();
    let page = world.browser("ana").get("/state");
    assert_eq!(page.status, 200);
    assert!(page.contains("<th scope=\"row\">signwise</th><td class=\"number\">10000</td>"));
    assert!(world.client().state().unwrap()["budgets"][0]["free"] == 5_000);
}

#[test]
fn a_session_ends_with_signing_out() {
    let world = start();
    let mut ana = world.browser("ana");
    let form = ana.get("/").form("Sign out");
    assert_eq!(ana.post("/sign-out", &form).location, "/sign-in");
    assert_eq!(ana.get("/groups").location, "/sign-in");
}

#[test]
fn a_refusal_by_the_table_keeps_what_was_typed() {
    let world = start();
    let mut ana = world.browser("ana");
    let review = ana.review("/groups/signwise", &[("prepaid", "20000")]);
    world.objects.fault().set_down(true);
    let page = ana.accept(&review);
    assert_eq!(page.status, 503);
    assert!(
        page.contains("E5005") && page.contains("value=\"20000\""),
        "{}",
        page.text
    );
    world.objects.fault().set_down(false);
    assert_eq!(ana.accept(&page).status, 303);
}

#[test]
fn the_command_line_gets_checks_and_applies() {
    let world = start();
    let text = world.client().get(None).unwrap();
    let raised = text.replace("\"prepaid\": 10000", "\"prepaid\": 11000");
    assert_eq!(world.client().check(&raised).unwrap().changes.len(), 1);
    assert_eq!(
        world.client().apply(&raised, None, false).unwrap().version,
        Version(2)
    );
    // The same file again was made from version 1, which is not in force any more.
    let heavier = text.replace("\"weight\": 1,", "\"weight\": 2,");
    let raced = world
        .client()
        .apply(&heavier, None, false)
        .unwrap_err()
        .to_string();
    assert!(
        raced.contains("5002") && raced.contains("prepaid 10000 -> 11000"),
        "{raced}"
    );
    assert_eq!(
        world.client().apply(&heavier, None, true).unwrap().version,
        Version(3)
    );
    assert_eq!(world.prepaid("signwise"), 11_000);
    let clash = text.replace("\"prepaid\": 10000", "\"prepaid\": 12000");
    let refused = world
        .client()
        .apply(&clash, None, true)
        .unwrap_err()
        .to_string();
    assert!(
        refused.contains("clash: groups/signwise prepaid"),
        "{refused}"
    );
    let unnamed = world
        .client()
        .apply("{}", None, false)
        .unwrap_err()
        .to_string();
    assert!(unnamed.contains("--base"), "{unnamed}");
    let broken = world
        .client()
        .check("{\n \"grups\": []}")
        .unwrap_err()
        .to_string();
    assert!(
        broken.contains("line 2") && broken.contains("did you mean `groups`?"),
        "{broken}"
    );
    assert!(
        Client::new(format!("http://{}", world.console.address()), TOKEN)
            .get(Some(Version(9)))
            .is_err()
    );
}
