//! A bound on the nesting of JSON, checked before any parser sees the text.

use snafu::Snafu;

/// The text nests arrays and objects deeper than allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("JSON nested deeper than {max} levels at byte {offset}"))]
pub struct TooDeep {
    /// The bound.
    pub max: usize,
    /// Where the bound was passed.
    pub offset: usize,
}

/// Checks that `text` opens at most `max` arrays and objects inside one another.
///
/// The scan is one loop without recursion: a parser that recurses once per level would overflow its
/// thread's stack on a body of a few hundred kilobytes of `[`, which ends the whole process. Text that
/// is not JSON passes here and is left to the parser.
///
/// # Errors
///
/// [`TooDeep`] at the first bracket beyond the bound.
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
