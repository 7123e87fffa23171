//! Validation of a document before it is accepted: names, uniqueness, ranges and cross-references.
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

/// Maximum number of faults that a check reports. Keeps the report of a broken import of thousands of items
/// readable.
pub const MAX_FAULTS: usize = 100;
/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum sum of the floors of all kinds, in percent. Half of the capacity remains available to the most urgent
/// requests.
pub const MAX_FLOOR_SUM_PERCENT: u32 = 50;
/// Maximum number of items in a section.
pub const MAX_LIST_LEN: usize = 100_000;
/// Maximum length of a list within an item, such as the backend servers that a group may reach.
pub const MAX_INNER_LIST_LEN: usize = 2_000;
/// Maximum amount of tokens. All amounts are exact in JSON readers that use floating point, and sums of budgets
/// stay far below the 64-bit limit.
pub const MAX_TOKENS: u64 = 1 << 53;

/// Returns the faults of a document, at most [`MAX_FAULTS`]. Empty if the document is valid.
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

/// Returns whether `name` is valid: 1 to 64 characters of `a-z 0-9 . -`, starting with a letter or digit.
///
/// Names are used in row keys and paths, so a slash would allow one name to address the rows of another.
pub fn is_name(name: &str) -> bool {
    let bytes = name.as_bytes();
    let allowed = |b: &u8| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'-');
    (1..=MAX_NAME_BYTES).contains(&bytes.len())
        && bytes[0].is_ascii_alphanumeric()
        && bytes.iter().all(allowed)
}

/// Collects faults, at most [`MAX_FAULTS`].
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

    /// Checks that `name` is valid and not yet in `seen`.
    fn check_name<'a>(&mut self, path: &str, name: &'a str, seen: &mut HashSet<&'a str>) {
        if !is_name(name) {
            let fault = Fault::new(
                format!("{path}.name"),
                format!("`{name}` is not a valid name"),
            );
            self.add(fault.with_suggestion(
                "1 to 64 lower-case letters, digits, dots and hyphens, starting with a letter or digit",
            ));
        }
        if !seen.insert(name) {
            let message = format!("the name `{name}` is used more than once in this section");
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

    fn check_reference(&mut self, path: &str, what: &str, name: &str, known: &Positions<'_>) {
        if known.contains_key(name) {
            return;
        }
        let mut fault = Fault::new(path, format!("there is no {what} `{name}`"));
        if let Some(nearest_name) = nearest(name, known.keys().copied()) {
            fault = fault.with_suggestion(format!("did you mean `{nearest_name}`?"));
        }
        self.add(fault);
    }

    /// Checks that all names in a list are known and unique, and that there are not too many.
    fn check_references(
        &mut self,
        path: &str,
        what: &str,
        names: &[Arc<str>],
        known: &Positions<'_>,
    ) {
        if names.len() > MAX_INNER_LIST_LEN {
            let message = format!(
                "{} names exceed the limit of {MAX_INNER_LIST_LEN}",
                names.len()
            );
            return self.add(Fault::new(path, message));
        }
        let mut seen = HashSet::new();
        for (index, name) in names.iter().enumerate() {
            let path = format!("{path}[{index}]");
            if !seen.insert(&**name) {
                self.add(Fault::new(
                    path,
                    format!("`{name}` is listed more than once"),
                ));
                continue;
            }
            self.check_reference(&path, what, name, known);
        }
    }
}

/// Names of one section with the index of their item.
type Positions<'a> = HashMap<&'a str, usize>;

/// The names that cross-references may refer to.
struct Names<'a> {
    kinds: Positions<'a>,
    groups: Positions<'a>,
    models: Positions<'a>,
    servers: Positions<'a>,
}

impl<'a> Names<'a> {
    fn of(document: &'a Document) -> Self {
        Self {
            kinds: positions(document.kinds.iter().map(|kind| &kind.name)),
            groups: positions(document.groups.iter().map(|group| &group.name)),
            models: positions(document.models.iter().map(|model| &model.name)),
            servers: positions(document.servers.iter().map(|server| &server.name)),
        }
    }
}

fn positions<'a, Items>(names: Items) -> Positions<'a>
where
    Items: Iterator<Item = &'a Arc<str>>,
{
    names.enumerate().map(|(i, name)| (&**name, i)).collect()
}
