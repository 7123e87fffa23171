//! Checks that every module, test and scenario named in docs/HAZARDS.md exists.

use std::fs;
use std::path::{Path, PathBuf};

/// Number of hazards that the page must cover.
const HAZARDS: usize = 30;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page() -> String {
    fs::read_to_string(root().join("docs/HAZARDS.md")).expect("the page is committed")
}

/// Returns the paths in backquotes, except the example forms in the head of the page.
fn names(page: &str) -> Vec<String> {
    let quoted = page.split('`').skip(1).step_by(2);
    let examples = [
        "fescuewell_crate::module",
        "crate::file::test",
        "path::file::test",
        "program::file::test",
        "adapter::file::test",
        "scenario::name",
    ];
    let paths = quoted.filter(|text| text.contains("::") && !examples.contains(text));
    paths.map(str::to_owned).collect()
}

/// Returns the source file of a module path below `directory`: `a/b.rs`, `a/b/mod.rs` or `a/b/main.rs`.
fn file(directory: &Path, parts: &[&str]) -> Option<PathBuf> {
    let path: PathBuf = parts
        .iter()
        .fold(directory.to_owned(), |path, part| path.join(part));
    let forms = [
        path.with_extension("rs"),
        path.join("mod.rs"),
        path.join("main.rs"),
    ];
    forms.into_iter().find(|form| form.is_file())
}

fn exists(name: &str) -> bool {
    let parts: Vec<&str> = name.split("::").collect();
    match parts.as_slice() {
        ["scenario", scenario] => root().join("tests/scenarios").join(scenario).is_file(),
        [krate, module @ ..] if krate.starts_with("fescuewell_") => {
            file(&root().join("crates").join(krate).join("src"), module).is_some()
        }
        ["path", tests, test] => has_test(&root().join("tests/forward"), tests, test),
        ["program", tests, test] => has_test(&root().join("tests"), tests, test),
        ["adapter", tests, test] => has_test(&root().join("platform/tests"), tests, test),
        [krate, tests, test] => {
            let directory = root().join(format!("crates/fescuewell_{krate}/tests"));
            has_test(&directory, tests, test)
        }
        _ => false,
    }
}

fn has_test(directory: &Path, tests: &str, test: &str) -> bool {
    file(directory, &[tests]).is_some_and(|file| {
        let text = fs::read_to_string(file).unwrap_or_default();
        text.contains(&format!("fn {test}("))
    })
}

// Guards against a page that lists a test for a hazard where no test exists, after a test or module was renamed or removed
// without an update of the page.
#[test]
fn every_name_on_the_page_is_in_the_tree() {
    let page = page();
    let names = names(&page);

    let missing: Vec<&String> = names.iter().filter(|name| !exists(name)).collect();

    assert!(names.len() > HAZARDS, "the page's names were not found");
    assert!(missing.is_empty(), "not in the tree: {missing:#?}");
}

#[test]
fn the_page_speaks_of_every_hazard_in_order() {
    let page = page();

    let mut rest = page.as_str();
    for number in 1..=HAZARDS {
        let start = format!("\n**{number}. ");
        let offset = rest.find(&start);
        assert!(
            offset.is_some(),
            "hazard {number} is missing or out of order"
        );
        rest = &rest[offset.unwrap_or_default() + 1..];
    }
}

#[test]
fn a_name_that_is_not_in_the_tree_is_noticed() {
    assert!(exists("fescuewell_core::code"));
    assert!(!exists("fescuewell_core::no_such_module"));
    assert!(!exists("budget::regressions::no_such_test"));
    assert!(!exists("scenario::no_such_scenario"));
}
