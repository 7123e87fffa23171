//! Errors in a document or a settings file, with their location.

use std::fmt;
use std::sync::Arc;

use crate::parse::Position;

fescuewell_core::data! {
    /// An error in a document or a settings file.
    pub struct Fault {
        /// Path of field names and indexes, such as `groups[3].reach[0]`. Empty for the whole text.
        pub path: Arc<str>,
        /// Human-readable description.
        pub message: Arc<str>,
        /// Likely intended value, or the allowed values.
        #[serde(default)]
        pub suggestion: Option<Arc<str>>,
        /// Line and column, if the document was read from text.
        #[serde(default)]
        pub position: Option<Position>,
    }
}

impl Fault {
    /// Creates a fault at `path`, without suggestion or position.
    pub fn new<Path, Message>(path: Path, message: Message) -> Self
    where
        Path: Into<Arc<str>>,
        Message: Into<Arc<str>>,
    {
        Self {
            path: path.into(),
            message: message.into(),
            suggestion: None,
            position: None,
        }
    }

    /// Adds a suggestion.
    pub fn with_suggestion<Text>(mut self, suggestion: Text) -> Self
    where
        Text: Into<Arc<str>>,
    {
        self.suggestion = Some(suggestion.into());
        self
    }

    /// Adds the line and column.
    pub fn with_position(mut self, position: Position) -> Self {
        self.position = Some(position);
        self
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(position) = self.position {
            write!(f, "line {}, column {}: ", position.line, position.column)?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)?;
        match &self.suggestion {
            Some(suggestion) => write!(f, " ({suggestion})"),
            None => Ok(()),
        }
    }
}

/// Maximum length of a word to compare, in bytes. Bounds the cost of malicious input.
const MAX_COMPARED_BYTES: usize = 64;

/// Returns the entry of `known` with the smallest edit distance to `word`, if the distance is small enough for a
/// likely misspelling.
///
/// ```
/// use fescuewell_document::fault::nearest;
/// assert_eq!(nearest("prepayed", ["prepaid", "weight"]), Some("prepaid"));
/// assert_eq!(nearest("zone", ["prepaid", "weight"]), None);
/// ```
pub fn nearest<'a, Names>(word: &str, known: Names) -> Option<&'a str>
where
    Names: IntoIterator<Item = &'a str>,
{
    if word.len() > MAX_COMPARED_BYTES {
        return None;
    }
    let mut best: Option<(usize, &str)> = None;
    for name in known {
        let limit = 1 + word.len().min(name.len()) / 4;
        if name.len().abs_diff(word.len()) > limit {
            continue;
        }
        let distance = edit_distance(word.as_bytes(), name.as_bytes());
        if distance > limit || best.is_some_and(|(smallest, _)| smallest <= distance) {
            continue;
        }
        best = Some((distance, name));
    }
    best.map(|(_, name)| name)
}

/// Computes the Levenshtein distance in bytes, keeping one row of the matrix.
fn edit_distance(left: &[u8], right: &[u8]) -> usize {
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.iter().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(a != b);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
