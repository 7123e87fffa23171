//! The framing of a response body that is skipped.

/// Maximum length of a line of the chunked encoding, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// What is left of a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Skip(State);

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// So many bytes of a body with a length.
    Length(u64),
    /// A line with the size of a chunk.
    Size(Vec<u8>),
    /// So many bytes of a chunk, with the line end behind it.
    Chunk(u64),
    /// A line of the trailer section, which an empty one ends.
    Trailer(Vec<u8>),
    Complete,
    /// The bytes are no body: nothing behind them can be told apart.
    Malformed,
}

impl Skip {
    /// Returns `None` if the body ends with the connection or its length is malformed.
    pub(super) fn new(
        status: u16,
        transfer_encoding: Option<&[u8]>,
        length: Option<&[u8]>,
    ) -> Option<Self> {
        if matches!(status, 204 | 304) {
            return Some(Self(State::Complete));
        }
        if let Some(encoding) = transfer_encoding {
            let is_chunked = encoding.trim_ascii().eq_ignore_ascii_case(b"chunked");
            return is_chunked.then(|| Self(State::Size(Vec::new())));
        }
        let length = std::str::from_utf8(length?).ok()?;
        match length.trim().parse().ok()? {
            0 => Some(Self(State::Complete)),
            length => Some(Self(State::Length(length))),
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        self.0 == State::Complete
    }

    /// Takes the bytes that belong to the body. Returns how many these are.
    pub(super) fn advance(&mut self, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while taken < bytes.len() && !self.is_complete() {
            let rest = &bytes[taken..];
            match &mut self.0 {
                State::Length(left) => {
                    taken += consume(left, rest);
                    if *left == 0 {
                        self.0 = State::Complete;
                    }
                }
                State::Chunk(left) => {
                    taken += consume(left, rest);
                    if *left == 0 {
                        self.0 = State::Size(Vec::new());
                    }
                }
                State::Size(line) => {
                    taken += 1;
                    if let Some(line) = push(line, rest[0]) {
                        self.0 = after_size(&line);
                    }
                }
                State::Trailer(line) => {
                    taken += 1;
                    if let Some(line) = push(line, rest[0]) {
                        self.0 = match line.is_empty() {
                            true => State::Complete,
                            false => State::Trailer(Vec::new()),
                        };
                    }
                }
                State::Complete => {}
                State::Malformed => taken = bytes.len(),
            }
        }
        taken
    }
}

fn consume(left: &mut u64, bytes: &[u8]) -> usize {
    let count = usize::try_from(*left).map_or(bytes.len(), |left| left.min(bytes.len()));
    *left -= count as u64;
    count
}

/// Adds a byte to a line. Returns the line without its end once it is complete.
fn push(line: &mut Vec<u8>, byte: u8) -> Option<Vec<u8>> {
    if byte != b'\n' && line.len() < MAX_LINE_BYTES {
        line.push(byte);
        return None;
    }
    Some(std::mem::take(line).trim_ascii_end().to_vec())
}

fn after_size(line: &[u8]) -> State {
    let size = line.split(|byte| *byte == b';').next();
    let size = size.and_then(|size| std::str::from_utf8(size.trim_ascii()).ok());
    match size.and_then(|size| u64::from_str_radix(size, 16).ok()) {
        Some(0) => State::Trailer(Vec::new()),
        Some(size) => State::Chunk(size.saturating_add(2)),
        None => State::Malformed,
    }
}
