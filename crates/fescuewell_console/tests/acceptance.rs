//! Accepting documents while the table and the object store misbehave.

mod fixture;

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use fescuewell_console::store::Store;
use fescuewell_core::platform::ObjectStore as _;
use fescuewell_core::prelude::*;
use fescuewell_core::table::{Error, Outcome, Range, Row, Table, Transaction};
use fescuewell_document::head::Head;
use fescuewell_document::prelude::*;
use fescuewell_platform::memory;
use fixture::document;

/// What a test does around each transaction: before it, with its number, and to its outcome.
type Before = Box<dyn Fn(&memory::Table, u32) + Send + Sync>;

/// A table that lets a test interfere with transactions and counts them.
struct Meddled {
    inner: memory::Table,
    before: Before,
    loses_replies: AtomicBool,
    is_down: AtomicBool,
    commits: AtomicU32,
}

impl Meddled {
    fn new<Act>(inner: &memory::Table, before: Act) -> Self
    where
        Act: Fn(&memory::Table, u32) + Send + Sync + 'static,
    {
        Self {
            inner: inner.clone(),
            before: Box::new(before),
            loses_replies: AtomicBool::new(false),
            is_down: AtomicBool::new(false),
            commits: AtomicU32::new(0),
        }
    }

    fn check_up(&self) -> Result<(), Error> {
        match self.is_down.load(Ordering::SeqCst) {
            true => Err(Error::Unreachable {
                reason: "down".into(),
            }),
            false => Ok(()),
        }
    }
}

impl Table for Meddled {
    fn commit(&self, transaction: &Transaction) -> Result<Outcome, Error> {
        self.check_up()?;
        let number = self.commits.fetch_add(1, Ordering::SeqCst);
        (self.before)(&self.inner, number);
        let outcome = self.inner.commit(transaction);
        if self.loses_replies.load(Ordering::SeqCst) {
            self.is_down.store(true, Ordering::SeqCst);
            return Err(Error::Unknown {
                reason: "reply lost".into(),
            });
        }
        outcome
    }

    fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        self.check_up()?;
        self.inner.read(key)
    }

    fn scan(&self, range: &Range) -> Result<Vec<Row>, Error> {
        self.check_up()?;
        self.inner.scan(range)
    }
}

struct Platform {
    table: memory::Table,
    objects: memory::Objects,
}

impl Platform {
    /// A platform with the fixture's document in force as version 1.
    fn with_document() -> Self {
        let platform = Self {
            table: memory::Table::default(),
            objects: memory::Objects::default(),
        };
        platform.accept(&platform.store(), &document()).unwrap();
        platform
    }

    fn store(&self) -> Store {
        Store::new(Arc::new(self.table.clone()), Arc::new(self.objects.clone()))
    }

    fn store_over(&self, table: &Arc<Meddled>) -> Store {
        Store::new(table.clone(), Arc::new(self.objects.clone()))
    }

    fn accept(&self, store: &Store, after: &Document) -> Result<Head, Refusal> {
        let base = store.current()?;
        store.accept(&base, after, "ana")
    }

    fn value(&self, key: &str) -> serde_json::Value {
        let row = self.table.read(key).unwrap().unwrap();
        serde_json::from_slice(&row.value).unwrap()
    }

    fn version(&self) -> u64 {
        self.value("head")["version"].as_u64().unwrap()
    }
}

fn raised(prepaid: u64) -> Document {
    let mut document = document();
    document.groups[0].prepaid = Tokens(prepaid);
    document
}

/// Draws from the first group's budget, as an instance would.
fn draw(table: &memory::Table, granted: u64) {
    let row = table.read("budget/signwise").unwrap().unwrap();
    let mut value: serde_json::Value = serde_json::from_slice(&row.value).unwrap();
    value["grants"] = serde_json::json!({"entry-1.1": {"granted": granted, "draw": "d"}});
    let transaction = Transaction::default()
        .with_compare("budget/signwise", row.revision)
        .with_put("budget/signwise", value.to_string().into_bytes());
    table.commit(&transaction).unwrap();
}

#[test]
fn another_console_reads_the_same_document() {
    let platform = Platform::with_document();
    let loaded = platform.store().current().unwrap();
    let mut expected = document();
    fescuewell_document::item::sort(&mut expected);
    assert_eq!((*loaded.document).clone(), expected);
}

#[test]
fn a_lost_reply_is_read_back_and_not_repeated() {
    // Symptom: the operator is told of a race with nobody, or the change is accepted twice. Sequence: the head's
    // transaction takes effect, its reply is lost. Cause: trying again without reading back.
    let platform = Platform::with_document();
    let store = platform.store();
    let base = store.current().unwrap();
    platform.table.fault().lose_next_replies(1);
    let head = store.accept(&base, &raised(20_000), "ana").unwrap();
    assert_eq!((head.version, platform.version()), (Version(2), 2));
}

#[test]
fn a_lost_request_is_sent_again() {
    let platform = Platform::with_document();
    let store = platform.store();
    let base = store.current().unwrap();
    platform.table.fault().lose_next_requests(2);
    store.accept(&base, &raised(20_000), "ana").unwrap();
    assert_eq!(platform.version(), 2);
    assert_eq!(platform.value("budget/signwise")["prepaid"], 20_000);
}

#[test]
fn an_outcome_that_cannot_be_learned_is_reported_as_unknown() {
    // Symptom: the operator is told that nothing happened, while the new total is in force. Sequence: the
    // transaction takes effect, its reply is lost, and the table stays away. Cause: reporting the last error alone.
    let platform = Platform::with_document();
    let table = Arc::new(Meddled::new(&platform.table, |_, _| {}));
    let store = platform.store_over(&table);
    let base = store.current().unwrap();
    table.loses_replies.store(true, Ordering::SeqCst);
    let refusal = store.accept(&base, &raised(20_000), "ana").unwrap_err();
    assert_eq!(
        (refusal.code, refusal.run),
        (Code::StoreUnavailable, Run::Unknown)
    );
    assert_eq!(platform.version(), 2);
}

#[test]
fn without_the_table_nothing_is_accepted_and_said_to_be() {
    let platform = Platform::with_document();
    let store = platform.store();
    let base = store.current().unwrap();
    platform.table.fault().set_down(true);
    let refusal = store.accept(&base, &raised(20_000), "ana").unwrap_err();
    assert_eq!(
        (refusal.code, refusal.run),
        (Code::StoreUnavailable, Run::NotRun)
    );
}

#[test]
fn every_object_is_stored_before_the_head() {
    // Symptom: instances cannot follow a new version. Sequence: they read the head while its objects are still
    // being stored, or the console dies in between. Cause: head first.
    let platform = Platform::with_document();
    let objects = platform.objects.clone();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let log = seen.clone();
    let expected = fescuewell_document::chunk::split(&raised(20_000));
    let table = Meddled::new(&platform.table, move |_, _| {
        let stored = |name: &Arc<str>| objects.get(name).unwrap().is_some();
        log.lock()
            .unwrap()
            .push(expected.objects.keys().all(stored));
    });
    let table = Arc::new(table);
    platform
        .accept(&platform.store_over(&table), &raised(20_000))
        .unwrap();
    assert_eq!(*seen.lock().unwrap(), [true]);
}

#[test]
fn without_the_object_store_the_head_stays() {
    let platform = Platform::with_document();
    let store = platform.store();
    let base = store.current().unwrap();
    platform.objects.fault().set_down(true);
    let refusal = store.accept(&base, &raised(20_000), "ana").unwrap_err();
    assert_eq!(
        (refusal.code, refusal.run),
        (Code::StoreUnavailable, Run::NotRun)
    );
    assert_eq!(
        (
            platform.version(),
            &platform.value("budget/signwise")["prepaid"]
        ),
        (1, &10_000.into())
    );
}

#[test]
fn a_draw_between_look_and_write_is_not_lost() {
    // Symptom: an instance's grant vanishes and the money is spent twice. Sequence: the console reads the budget's row,
    // an instance draws, the console writes what it read. Cause: no compare on the budget's row.
    let platform = Platform::with_document();
    let table = Meddled::new(&platform.table, |table, number| {
        if number == 0 {
            draw(table, 700);
        }
    });
    let table = Arc::new(table);
    platform
        .accept(&platform.store_over(&table), &raised(20_000))
        .unwrap();
    let budget = platform.value("budget/signwise");
    assert_eq!(budget["prepaid"], 20_000);
    assert_eq!(budget["grants"]["entry-1.1"]["granted"], 700);
    assert_eq!(table.commits.load(Ordering::SeqCst), 2);
}

#[test]
fn a_total_below_what_is_drawn_is_refused_and_nothing_changes() {
    let platform = Platform::with_document();
    draw(&platform.table, 9_000);
    let refusal = platform
        .accept(&platform.store(), &raised(8_999))
        .unwrap_err();
    assert_eq!(refusal.code, Code::PrepaidBelowDrawn);
    assert_eq!(platform.version(), 1);
}

#[test]
fn of_two_operators_at_once_one_is_accepted_and_one_is_told() {
    let platform = Platform::with_document();
    let rival = platform.store();
    let rival_base = rival.current().unwrap();
    let mine = Arc::new(Meddled::new(&platform.table, move |_, number| {
        if number == 0 {
            rival.accept(&rival_base, &raised(15_000), "ben").unwrap();
        }
    }));
    let refusal = platform
        .accept(&platform.store_over(&mine), &raised(20_000))
        .unwrap_err();
    assert_eq!(
        (refusal.code, refusal.run),
        (Code::DocumentRaced, Run::NotRun)
    );
    assert_eq!(
        (
            platform.version(),
            &platform.value("budget/signwise")["prepaid"]
        ),
        (2, &15_000.into())
    );
}

#[test]
fn an_instance_that_cannot_read_the_format_holds_the_acceptance_back() {
    // Symptom: half the fleet stops serving at an acceptance. Sequence: a new console writes a format that old
    // instances do not read. Cause: not asking what the instances read.
    let platform = Platform::with_document();
    let put = |state: &str| {
        let row = format!(r#"{{"state":"{state}","formats":0}}"#);
        let write = Transaction::default().with_put("member/entry-1", row.into_bytes());
        platform.table.commit(&write).unwrap();
    };
    put("ready");
    let refusal = platform
        .accept(&platform.store(), &raised(20_000))
        .unwrap_err();
    assert_eq!(refusal.code, Code::DocumentUnreadable);
    put("gone");
    platform.accept(&platform.store(), &raised(20_000)).unwrap();
}

#[test]
fn an_edit_that_is_taken_back_rises_in_version_all_the_same() {
    let platform = Platform::with_document();
    let store = platform.store();
    platform.accept(&store, &raised(20_000)).unwrap();
    let head = platform.accept(&store, &document()).unwrap();
    assert_eq!(head.version, Version(3));
    assert_eq!(
        store.at(Version(1)).unwrap().document,
        store.at(Version(3)).unwrap().document
    );
    assert_eq!(store.at(Version(1)).unwrap().version(), Version(1));
    let history = store.history(Version(3), 2).unwrap();
    let versions: Vec<u64> = history.iter().map(|head| head.version.0).collect();
    assert_eq!(versions, [3, 2]);
}
