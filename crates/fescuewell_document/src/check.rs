//! Every rule that a document must keep before it can be accepted: names, uniqueness, ranges,
//! cross-references.
//!
//! ```
//! use fescuewell_document::prelude::*;
//! let faults = fescuewell_document::check::check(&Document {
//!     kinds: vec![Kind { name: "urgent".into(), priority: 0, floor_percent: 60, deadline_ms: 500 }],
//!     ..Document::default()
//! });
//! assert_eq!(&*faults[0].path, "kinds");
//! ```

mod sections;

use std::collections::{HashMap, HashSet};
use std::ops::RangeInclusive;
use std::sync::Arc;

use crate::fault::{Fault, nearest};
use crate::model::Document;

/// Most faults that one check reports; a broken import of thousands of items stays readable.
pub const MAX_FAULTS: usize = 100;
/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Most that the floors of all kinds may sum to, in percent: half of the capacity stays free to go to
/// whatever is most urgent.
pub const MAX_FLOOR_SUM_PERCENT: u32 = 50;
/// Most items in one list of a document.
pub const MAX_LIST_LEN: usize = 100_000;
/// Most names in one list of an item, such as the backend servers that a group may reach.
pub const MAX_INNER_LIST_LEN: usize = 2_000;
/// Largest amount of tokens: every amount is exact in JSON readers that use floating point, and no sum
/// of budgets comes near the end of 64 bits.
pub const MAX_TOKENS: u64 = 1 << 53;

/// All faults of a document, at most [`MAX_FAULTS`]; empty when it may be accepted.
pub fn check(document: &Document) -> Vec<Fault> {
    let mut report = Report::default();
    sections::check_sizes(document, &mut report);
    if !report.faults.is_empty() {
        return report.faults;
    }
    let names = Names::of(document);
    sections::check_kinds(document, &mut report);
    sections::check_groups(document, &names, &mut report);
    sections::check_accounts(document, &names, &mut report);
    sections::check_models(document, &names, &mut report);
    sections::check_servers(document, &names, &mut report);
    sections::check_services(document, &names, &mut report);
    report.faults
}

/// Whether `name` may name something: 1 to 64 of `a-z 0-9 . -`, with a letter or digit first.
///
/// Names become parts of row keys and paths, so a slash would let one name reach into another's rows.
pub fn is_name(name: &str) -> bool {
    let bytes = name.as_bytes();
    let allowed = |b: &u8| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'-');
    (1..=MAX_NAME_BYTES).contains(&bytes.len())
        && bytes[0].is_ascii_alphanumeric()
        && bytes.iter().all(allowed)
}

/// Collects faults up to the limit.
#[derive(Default)]
struct Report {
    faults: Vec<Fault>,
}

impl Report {
    fn add(&mut self, fault: Fault) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(fault);
        }
    }

    /// Checks the form of `name` and that `seen` has not met it.
    fn check_name<'a>(&mut self, path: &str, name: &'a str, seen: &mut HashSet<&'a str>) {
        if !is_name(name) {
            let fault = Fault::new(format!("{path}.name"), format!("`{name}` cannot be a name"));
            self.add(fault.with_suggestion(
                "1 to 64 lower-case letters, digits, dots and hyphens; a letter or digit first",
            ));
        }
        if !seen.insert(name) {
            let message = format!("the name `{name}` stands twice in this section");
            self.add(Fault::new(format!("{path}.name"), message));
        }
    }

    fn check_range<Number>(&mut self, path: &str, value: Number, allowed: RangeInclusive<Number>)
    where
        Number: PartialOrd + std::fmt::Display,
    {
        if allowed.contains(&value) {
            return;
        }
        let fault = Fault::new(path, format!("{value} is out of range"));
        let (start, end) = (allowed.start(), allowed.end());
        self.add(fault.with_suggestion(format!("allowed: {start} to {end}")));
    }

    fn check_reference(&mut self, path: &str, what: &str, name: &str, known: &Table<'_>) {
        if known.contains_key(name) {
            return;
        }
        let mut fault = Fault::new(path, format!("there is no {what} `{name}`"));
        if let Some(meant) = nearest(name, known.keys().copied()) {
            fault = fault.with_suggestion(format!("did you mean `{meant}`?"));
        }
        self.add(fault);
    }

    /// Checks a list of names: each known, none twice, not too many.
    fn check_references(&mut self, path: &str, what: &str, names: &[Arc<str>], known: &Table<'_>) {
        if names.len() > MAX_INNER_LIST_LEN {
            let message = format!("{} names; at most {MAX_INNER_LIST_LEN}", names.len());
            return self.add(Fault::new(path, message));
        }
        let mut seen = HashSet::new();
        for (index, name) in names.iter().enumerate() {
            let path = format!("{path}[{index}]");
            if !seen.insert(&**name) {
                self.add(Fault::new(path, format!("`{name}` stands twice")));
                continue;
            }
            self.check_reference(&path, what, name, known);
        }
    }
}

/// Names of one section with the item's index.
type Table<'a> = HashMap<&'a str, usize>;

/// The names that cross-references may use.
struct Names<'a> {
    kinds: Table<'a>,
    groups: Table<'a>,
    models: Table<'a>,
    servers: Table<'a>,
}

impl<'a> Names<'a> {
    fn of(document: &'a Document) -> Self {
        Self {
            kinds: table(document.kinds.iter().map(|kind| &kind.name)),
            groups: table(document.groups.iter().map(|group| &group.name)),
            models: table(document.models.iter().map(|model| &model.name)),
            servers: table(document.servers.iter().map(|server| &server.name)),
        }
    }
}

fn table<'a, Items>(names: Items) -> Table<'a>
where
    Items: Iterator<Item = &'a Arc<str>>,
{
    names.enumerate().map(|(i, name)| (&**name, i)).collect()
}
