//! Server-Sent Events, as in the WHATWG HTML standard, section 9.2: an incremental decoder and an
//! encoder.
//!
//! ```
//! use fescuewell_http::sse::{Event, Decoder};
//! let mut decoder = Decoder::new(1024);
//! let mut events = Vec::new();
//! decoder.push(b"id: 7\nda", &mut events).unwrap();
//! decoder.push(b"ta: hello\n\n", &mut events).unwrap();
//! assert_eq!(events, vec![Event::data("hello").with_id("7")]);
//! ```

use std::sync::Arc;

use bytes::{BufMut, Bytes, BytesMut};
use snafu::Snafu;

/// A Server-Sent Event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Event {
    /// The `id` field, if present.
    pub id: Option<Arc<str>>,
    /// The `event` field, if present.
    pub name: Option<Arc<str>>,
    /// The `data` lines, joined by line feeds.
    pub data: Bytes,
}

impl Event {
    /// Creates an event without id and name.
    pub fn data(data: impl Into<Bytes>) -> Self {
        Self {
            data: data.into(),
            ..Self::default()
        }
    }

    /// Sets the id. An id that contains a line break or NUL cannot be encoded and is left out by [`Event::write`].
    pub fn with_id(mut self, id: impl Into<Arc<str>>) -> Self {
        self.id = Some(id.into());
        self
    }

    /// Sets the name.
    pub fn with_name(mut self, name: impl Into<Arc<str>>) -> Self {
        self.name = Some(name.into());
        self
    }

    /// Appends the encoded event to `out`.
    pub fn write(&self, out: &mut BytesMut) {
        out.reserve(self.data.len() + 32);
        put_field(out, b"id: ", self.id.as_deref());
        put_field(out, b"event: ", self.name.as_deref());
        for line in lines(&self.data) {
            out.put_slice(b"data: ");
            out.put_slice(line);
            out.put_u8(b'\n');
        }
        out.put_u8(b'\n');
    }

    /// Returns the encoded event.
    pub fn to_bytes(&self) -> Bytes {
        let mut out = BytesMut::new();
        self.write(&mut out);
        out.freeze()
    }
}

fn put_field(out: &mut BytesMut, name: &[u8], value: Option<&str>) {
    let Some(value) = value else {
        return;
    };
    // A line break inside a value would allow it to inject further fields or events.
    if value.contains(['\r', '\n', '\0']) {
        return;
    }
    out.put_slice(name);
    out.put_slice(value.as_bytes());
    out.put_u8(b'\n');
}

/// Splits a data field at the three line endings of the standard: CR, LF and CRLF.
fn lines(data: &[u8]) -> Vec<&[u8]> {
    let mut found = Vec::new();
    let mut rest = data;
    while let Some(end) = rest.iter().position(is_line_end) {
        found.push(&rest[..end]);
        let is_crlf = rest[end..].starts_with(b"\r\n");
        rest = &rest[end + 1 + usize::from(is_crlf)..];
    }
    found.push(rest);
    found
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Why an event stream cannot be decoded further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// An event exceeds the maximum size.
    #[snafu(display("an event of the stream is larger than {max} bytes"))]
    TooLarge {
        /// The maximum size in bytes.
        max: usize,
    },
}

/// Decodes events incrementally from chunks of any size.
#[derive(Debug, Clone)]
pub struct Decoder {
    max: usize,
    line: Vec<u8>,
    pending: Event,
    data: Vec<u8>,
    has_data: bool,
    after_carriage_return: bool,
    started: bool,
}

const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

impl Decoder {
    /// Creates a decoder for events of at most `max` bytes, including field names.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            line: Vec::new(),
            pending: Event::default(),
            data: Vec::new(),
            has_data: false,
            after_carriage_return: false,
            started: false,
        }
    }

    /// Decodes the next chunk and appends the events that it completes to `out`.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`], after which the decoder must not be used. Without the limit, a server that
    /// never ends an event would exhaust the memory.
    pub fn push(&mut self, chunk: &[u8], out: &mut Vec<Event>) -> Result<(), Error> {
        let mut rest = chunk;
        while !rest.is_empty() {
            if std::mem::take(&mut self.after_carriage_return) && rest[0] == b'\n' {
                rest = &rest[1..];
                continue;
            }
            let Some(end) = rest.iter().position(is_line_end) else {
                return self.extend_line(rest);
            };
            self.extend_line(&rest[..end])?;
            self.after_carriage_return = rest[end] == b'\r';
            rest = &rest[end + 1..];
            self.process_line(out);
        }
        Ok(())
    }

    /// Whether no event is partially decoded, so that the stream may end here without loss.
    pub fn is_between_events(&self) -> bool {
        let empty = self.line.is_empty() && !self.has_data;
        empty && self.pending == Event::default()
    }

    /// Returns the size of the partially decoded event in bytes.
    pub fn buffered(&self) -> usize {
        let id = self.pending.id.as_ref().map_or(0, |id| id.len());
        let name = self.pending.name.as_ref().map_or(0, |name| name.len());
        self.line.capacity() + self.data.capacity() + id + name
    }

    fn extend_line(&mut self, part: &[u8]) -> Result<(), Error> {
        if self.line.len() + self.data.len() + part.len() > self.max {
            return Err(Error::TooLarge { max: self.max });
        }
        self.line.extend_from_slice(part);
        Ok(())
    }

    fn process_line(&mut self, out: &mut Vec<Event>) {
        let mut line = std::mem::take(&mut self.line);
        if !std::mem::replace(&mut self.started, true) && line.starts_with(BYTE_ORDER_MARK) {
            line.drain(..BYTE_ORDER_MARK.len());
        }
        match line.is_empty() {
            true => self.dispatch_event(out),
            false => self.process_field(&line),
        }
        // Reuses the buffer for the next line.
        line.clear();
        self.line = line;
    }

    fn dispatch_event(&mut self, out: &mut Vec<Event>) {
        let mut event = std::mem::take(&mut self.pending);
        if !std::mem::take(&mut self.has_data) {
            return;
        }
        event.data = Bytes::copy_from_slice(&self.data);
        self.data.clear();
        out.push(event);
    }

    fn process_field(&mut self, line: &[u8]) {
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = match colon {
            Some(at) => (&line[..at], &line[at + 1..]),
            None => (line, &[][..]),
        };
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match name {
            b"data" => self.append_data(value),
            b"id" if !value.contains(&0) => self.pending.id = Some(decode_lossy(value)),
            b"event" => self.pending.name = Some(decode_lossy(value)),
            // A comment (empty name), `retry` or an unknown field.
            _ => {}
        }
    }

    fn append_data(&mut self, value: &[u8]) {
        if std::mem::replace(&mut self.has_data, true) {
            self.data.push(b'\n');
        }
        self.data.extend_from_slice(value);
    }
}

fn decode_lossy(value: &[u8]) -> Arc<str> {
    String::from_utf8_lossy(value).into()
}
