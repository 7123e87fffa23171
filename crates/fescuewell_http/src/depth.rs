//! A limit on the nesting depth of JSON, checked before the text is parsed.

use snafu::Snafu;

/// Arrays and objects are nested more deeply than allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("JSON nested deeper than {max} levels at byte {offset}"))]
pub struct TooDeep {
    /// The maximum depth.
    pub max: usize,
    /// Byte offset of the first bracket beyond the maximum depth.
    pub offset: usize,
}

/// Checks that `text` nests arrays and objects at most `max` levels deep.
///
/// The scan does not recurse: a parser that recurses once per level overflows its thread's stack on a
/// few hundred kilobytes of `[`, which aborts the process. Invalid JSON is not detected here but by the
/// parser.
///
/// # Errors
///
/// [`TooDeep`] with the offset of the first bracket beyond the maximum depth.
///
/// ```
/// use fescuewell_http::depth;
/// assert!(depth::check(br#"{"messages":["[[[[ in a string"]}"#, 2).is_ok());
/// assert_eq!(depth::check(b"[[[]]]", 2).unwrap_err().offset, 2);
/// ```
pub fn check(text: &[u8], max: usize) -> Result<(), TooDeep> {
    let mut level = 0usize;
    let mut in_string = false;
    let mut escaped = false;
    for (offset, byte) in text.iter().enumerate() {
        if in_string {
            in_string = escaped || *byte != b'"';
            escaped = !escaped && *byte == b'\\';
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'[' | b'{' if level == max => return Err(TooDeep { max, offset }),
            b'[' | b'{' => level += 1,
            b']' | b'}' => level = level.saturating_sub(1),
            _ => {}
        }
    }
    Ok(())
}
