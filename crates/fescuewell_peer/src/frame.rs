//! Framing of a message on a stream: one format byte, then the message.
//!
//! The format byte lets a later version add a format that older versions reject instead of misreading.

use snafu::Snafu;

/// Maximum size of a message, in bytes.
pub const MESSAGE_LIMIT: usize = 256 * 1024;

/// Maximum size of a frame, in bytes.
pub(crate) const FRAME_LIMIT: usize = MESSAGE_LIMIT + 1;

/// Format byte of a frame that contains the message unchanged.
const FORMAT_PLAIN: u8 = 1;

/// Why a frame or message was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The stream ended before the format byte.
    #[snafu(display("the frame is empty"))]
    Empty,
    /// This version does not know the format.
    #[snafu(display("the frame has the unknown format {format}"))]
    Format {
        /// The format byte.
        format: u8,
    },
    /// The message is larger than [`MESSAGE_LIMIT`].
    #[snafu(display("the message has {length} bytes"))]
    TooLarge {
        /// The message's length.
        length: usize,
    },
}

/// Encodes a message as a frame.
///
/// # Errors
///
/// When it is larger than [`MESSAGE_LIMIT`].
pub fn encode(payload: &[u8]) -> Result<Vec<u8>, Error> {
    check_length(payload)?;
    let mut frame = Vec::with_capacity(payload.len() + 1);
    frame.push(FORMAT_PLAIN);
    frame.extend_from_slice(payload);
    Ok(frame)
}

/// Decodes a frame and returns its message.
///
/// # Errors
///
/// When the frame is empty, too large, or of an unknown format.
pub fn decode(mut frame: Vec<u8>) -> Result<Vec<u8>, Error> {
    match frame.first() {
        None => Err(Error::Empty),
        Some(&FORMAT_PLAIN) => {
            check_length(&frame[1..])?;
            frame.remove(0);
            Ok(frame)
        }
        Some(&format) => Err(Error::Format { format }),
    }
}

fn check_length(payload: &[u8]) -> Result<(), Error> {
    let length = payload.len();
    if length > MESSAGE_LIMIT {
        return Err(Error::TooLarge { length });
    }
    Ok(())
}
