//! Bytes of the rows and messages, as written down. Instances of different program versions run side
//! by side, so a change of these bytes needs a new format.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_forward::choice::Report;
use fescuewell_forward::condition::limit;
use fescuewell_forward::config::{
    Account, Change as ConfigurationChange, Configuration, Edit, Engine, Kind, Limits, Route,
    Service, Split,
};
use fescuewell_forward::crash::{self, Crash, Fingerprint};
use fescuewell_forward::directory::Member;
use fescuewell_forward::directory::summary::Summary;
use fescuewell_forward::evacuation::Order;
use fescuewell_forward::health::failure::{Batch, Failure};
use fescuewell_forward::loan;
use fescuewell_forward::message::{Key, Message};
use fescuewell_forward::quota::row::{Entry as JournalEntry, Grant, Journal, Ledger, Usage};
use fescuewell_forward::relay::{self, Digest};
use fescuewell_forward::server::{Build, Change, Entry, Incarnation, State, Update};
use fescuewell_forward::snapshot::{Request, Servers, Snapshot, Subject};
use fescuewell_forward::stream::{Answer, Attempt, Batch as RecordBatch, Query, Record};
use fescuewell_forward::warmup;

/// Bytes of the attempt `r-1` of account `g`.
const ATTEMPT: &str = "d001e7d35345092a";
/// Bytes of version `v1` of service `s`.
const BUILD: &str = "638fd77549692189";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn encode<Content>(content: &Content) -> String
where
    Content: serde::Serialize,
{
    hex(&postcard::to_allocvec(content).unwrap())
}

fn address(port: u16) -> SocketAddr {
    ([10, 1, 0, 2], port).into()
}

fn member() -> Member {
    Member {
        address: address(1),
        peer: Some(address(2)),
        zone: "z".into(),
        weight: 3,
        requests_per_s: 4,
        usage: vec![Usage {
            account: "g".into(),
            consumed: 5,
            demand_per_s: 6,
        }],
        heartbeat_at_ms: 7,
        unready_until_ms: 8,
        era: 9,
        knows_grants: true,
        interval_ms: 10,
    }
}

fn summary() -> Summary {
    Summary {
        at_ms: 1,
        count: 2,
        advertised: vec!["e".into()],
        readers: BTreeMap::from([("z".into(), vec!["f".into()])]),
        members: BTreeMap::from([("e".into(), member())]),
    }
}

/// Record of a part of prompts under which a server crashed.
fn part_update() -> crash::Update {
    let mut record = crash::Record::default();
    record.add(Crash {
        at_ms: 3,
        server: Incarnation::from_number(4),
    });
    crash::Update {
        request: Fingerprint::of_part("s", "m", "a1"),
        record,
    }
}

fn update() -> Update {
    Update {
        id: "i".into(),
        version: 2,
        change: Change::Entry(Entry {
            id: "i".into(),
            started_at_ms: Some(3),
            service: "s".into(),
            address: address(4),
            zone: "z".into(),
            slots: 5,
            cold_left_ms: 6,
            version: None,
            state: State::Draining,
        }),
    }
}

fn configuration() -> Configuration {
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/p/".into(),
        kind: Kind::Stream { resumable: true },
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(2),
        priority: 3,
        splits: vec![Split {
            service: "s".into(),
            weight: 4,
        }],
        max_attempts: 5,
        public: true,
        sticky: false,
        target_gap: Duration::from_secs(6),
    };
    let service = Service {
        name: "s".into(),
        max_connections: 7,
        engine: Some(Engine {
            slots: 8,
            kv_capacity: 9,
            tokens_per_event: 10,
        }),
        warmup: Some(warmup::Limit {
            duration: Duration::from_secs(11),
            interval: Duration::from_secs(12),
        }),
    };
    let account = Account {
        name: "g".into(),
        keys: vec!["k".into()],
        priority: Some(13),
        prepaid: Some(14),
    };
    Configuration {
        version: 15,
        routes: vec![Arc::new(route)],
        services: vec![service],
        accounts: vec![Arc::new(account)],
        limits: Some(Limits {
            head_bytes: 16,
            body_bytes: 17,
            head_timeout: Duration::from_secs(18),
            idle_timeout: Duration::from_secs(19),
        }),
    }
}

fn change() -> ConfigurationChange {
    let after = configuration();
    ConfigurationChange {
        from: 1,
        to: 2,
        fingerprint: 3,
        routes: Edit {
            changed: after.routes,
            removed: vec!["a".into()],
        },
        services: Edit {
            changed: after.services,
            removed: vec!["b".into()],
        },
        accounts: Edit {
            changed: after.accounts,
            removed: vec!["c".into()],
        },
        limits: after.limits,
    }
}

/// Guards against two fields of a type that change places: all instances of one version agree, and
/// those of two versions read each other wrongly.
#[test]
fn rows_have_the_written_bytes() {
    let ledger = Ledger {
        era: 0,
        grants: vec![Grant {
            holder: "e".into(),
            granted: 3,
            era: 0,
        }],
    };
    let ledger_of_an_era = Ledger {
        era: 1,
        grants: vec![Grant {
            holder: "e".into(),
            granted: 3,
            era: 2,
        }],
    };
    let journal = Journal {
        incarnation: 1,
        at_ms: 2,
        era: 3,
        knows_grants: true,
        entries: vec![JournalEntry {
            account: "g".into(),
            consumed: 4,
            burst: 5,
            peak_rate: 6,
            bucket_size: 7,
            sustained_rate: 8,
            max: None,
        }],
    };
    let mut journal_with_return = journal.clone();
    journal_with_return.entries[0].max = Some(9);
    assert_eq!(hex(&ledger.encode()), "0101016503");
    assert_eq!(hex(&ledger_of_an_era.encode()), "02010101650302");
    assert_eq!(hex(&journal.encode()), "03010203010101670405060708");
    assert_eq!(
        hex(&journal_with_return.encode()),
        "040102030101016704050607080109"
    );
    for journal in [&journal, &journal_with_return] {
        assert_eq!(Journal::decode(&journal.encode()).as_ref(), Ok(journal));
    }
    assert_eq!(
        hex(&member().encode()),
        "000a0100020101000a01000202017a03040101670506070809010a"
    );
    assert_eq!(
        hex(&summary().encode()),
        "01010201016501017a010166010165000a0100020101000a01000202017a03040101670506070809010a"
    );
}

#[test]
fn messages_have_the_written_bytes() {
    let request = loan::Request {
        id: 1,
        account: "g".into(),
        required_tokens: 2,
        wanted_tokens: 3,
        sent_at_ms: 4,
    };
    let response = loan::Response {
        id: 1,
        lender: "e".into(),
        tokens: 2,
        remaining: 3,
    };
    let digest = Digest {
        reader: "e".into(),
        after: 1,
        until: 2,
        at_ms: 3,
        configuration: 4,
        evacuations: vec![Order {
            zone: "z".into(),
            version: 5,
            is_evacuated: true,
        }],
        rows: vec![update()],
    };
    let report = Report {
        instance: "e".into(),
        sequence: 1,
        servers: vec![("i".into(), 2, 3)],
        locations: vec![(4, "i".into())],
    };

    let limit = limit::Update {
        server: "i".into(),
        incarnation: Incarnation::from_number(2),
        limit: limit::Rate::from_per_s(1.5),
        at_ms: 3,
    };

    assert_eq!(encode(&Message::LoanRequest(request)), "00010167020304");
    assert_eq!(encode(&Message::LoanResponse(response)), "010101650203");
    assert_eq!(
        encode(&Message::Digest(digest)),
        "0201650102030401017a05010101690200016901030173000a01000204017a050601"
    );
    let query = relay::Query { after: 2 };
    assert_eq!(encode(&Message::ListQuery(query)), "0d02");
    assert_eq!(
        encode(&Message::PartCrashes(vec![part_update()])),
        "0e0161f1baeda34fb07643020104578f1cab010304000000"
    );
    assert_eq!(encode(&Message::CrashesWanted), "04");
    assert_eq!(
        encode(&Message::SnapshotWanted(Request::new(Subject::Servers, 2))),
        "05010002"
    );
    assert_eq!(
        encode(&Message::Summary(summary())),
        "06010201016501017a010166010165000a0100020101000a01000202017a03040101670506070809010a"
    );
    assert_eq!(encode(&Message::Limits(vec![limit])), "070101690201dc0b03");
    let failures = Batch {
        instance: "e".into(),
        sent_at_ms: 3,
        failures: vec![Failure {
            server: "i".into(),
            incarnation: Incarnation::from_number(2),
        }],
    };
    assert_eq!(encode(&Message::Failures(failures)), "0801650301016902");
    assert_eq!(
        encode(&Message::Configuration(change())),
        "090102030101720168032f702f02010100020003010173040501000600010161010173070108090a010b000c0001016201016701016b010d010e01016301101112001300"
    );
    assert_eq!(
        encode(&Message::SnapshotWanted(Request::new(
            Subject::ConfigurationAfter(3),
            2
        ))),
        "0501020302"
    );
    assert_eq!(encode(&report), "016501010169020301040169");
    assert_eq!(
        hex(&Key::new([7; 32]).seal(&Message::CrashesWanted)),
        "001e8b8c657ce6f9b4a58ed8750f41ce7b04"
    );
}

#[test]
fn snapshots_have_the_written_bytes() {
    let servers = Snapshot::Servers(Servers {
        version: 1,
        rows: vec![update()],
    });

    assert_eq!(
        encode(&servers),
        "00010101690200016901030173000a01000204017a050601"
    );
    assert_eq!(
        encode(&Snapshot::Configuration(configuration())),
        "010f0101720168032f702f02010100020003010173040501000600010173070108090a010b000c0001016701016b010d010e01101112001300"
    );
}

#[test]
fn changes_have_the_written_bytes() {
    assert_eq!(
        encode(&Snapshot::Changes(vec![change()])),
        "02010102030101720168032f702f02010100020003010173040501000600010161010173070108090a010b000c0001016201016701016b010d010e01016301101112001300"
    );
}

fn with_version(version: &str) -> Update {
    let mut update = update();
    if let Change::Entry(entry) = &mut update.change {
        entry.version = Some(version.into());
    }
    update
}

/// Guards against software versions that an instance of an earlier program version cannot skip, or
/// without which its own messages cannot be read.
#[test]
fn software_versions_follow_the_bytes_of_earlier_messages() {
    let digest = |rows| {
        Message::Digest(Digest {
            reader: "e".into(),
            after: 1,
            until: 2,
            at_ms: 3,
            configuration: 4,
            evacuations: Vec::new(),
            rows,
        })
    };
    let servers = |rows| Snapshot::Servers(Servers { version: 1, rows });
    let earlier = "02016501020304000101690200016901030173000a01000204017a050601";
    let list = "00010101690200016901030173000a01000204017a050601";

    let rows = || vec![with_version("v1")];

    assert_eq!(encode(&digest(vec![update()])), earlier);
    assert_eq!(encode(&digest(rows())), earlier.to_owned() + "010276310100");
    assert_eq!(encode(&servers(rows())), list.to_owned() + "010276310100");
    let bytes = postcard::to_allocvec(&digest(rows())).unwrap();
    assert_eq!(postcard::from_bytes::<Message>(&bytes), Ok(digest(rows())));
    let bytes = postcard::to_allocvec(&servers(rows())).unwrap();
    assert_eq!(
        postcard::from_bytes::<Snapshot>(&bytes),
        Ok(servers(rows()))
    );
    let without = postcard::to_allocvec(&digest(vec![update()])).unwrap();
    let read = postcard::from_bytes::<Message>(&without);
    assert_eq!(read, Ok(digest(vec![update()])));
}

/// Guards against a record that another program version takes for one of another attempt or version.
#[test]
fn records_of_streams_have_the_written_bytes() {
    let attempt = Attempt::new("g", "r-1");
    let build = Build::new("s", "v1");
    let batch = RecordBatch {
        sent_at_ms: 1,
        distribute: true,
        records: vec![Record {
            attempt,
            build,
            ttl_s: 2,
        }],
    };
    let query = Query {
        id: 1,
        resolve: true,
        attempt,
    };
    let answer = |build| Answer { id: 1, build };

    assert_eq!(hex(&batch.encode()), format!("01010101{ATTEMPT}{BUILD}02"));
    assert_eq!(RecordBatch::decode(&batch.encode()), Some(batch.clone()));
    assert_eq!(RecordBatch::decode(&[2, 1, 0, 0]), None);
    assert_eq!(
        encode(&Message::StreamRecords(batch)),
        format!("0a010101{ATTEMPT}{BUILD}02")
    );
    assert_eq!(
        encode(&Message::StreamQuery(query)),
        format!("0b0101{ATTEMPT}")
    );
    assert_eq!(encode(&Message::StreamAnswer(answer(None))), "0c0100");
    assert_eq!(
        encode(&Message::StreamAnswer(answer(Some(build)))),
        format!("0c0101{BUILD}")
    );
}

/// Guards against a snapshot that an instance of another version reads wrongly.
#[test]
fn a_request_for_another_encoding_is_refused() {
    let request = Request::new(Subject::Configuration, 5_000);
    let other = Request {
        format: request.format + 1,
        ..request.clone()
    };

    assert!(request.is_acceptable(9_000));
    assert!(!request.is_acceptable(15_000), "an old one may be repeated");
    assert!(!other.is_acceptable(5_000));
}
