//! What stands on a stream: one byte for the format, then the message.
//!
//! The byte lets a later program add a format that an older one refuses by name instead of misreading.

use snafu::Snafu;

/// Largest message, in bytes.
pub const MESSAGE_LIMIT: usize = 256 * 1024;

/// Largest frame, in bytes.
pub(crate) const FRAME_LIMIT: usize = MESSAGE_LIMIT + 1;

/// The format whose content is the message as it is.
const PLAIN: u8 = 1;

/// Why a frame was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The stream ended before the format byte.
    #[snafu(display("the frame is empty"))]
    Empty,
    /// The format is not known to this program.
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

/// Frames a message.
///
/// # Errors
///
/// When it is larger than [`MESSAGE_LIMIT`].
pub fn encode(payload: &[u8]) -> Result<Vec<u8>, Error> {
    check_length(payload)?;
    let mut frame = Vec::with_capacity(payload.len() + 1);
    frame.push(PLAIN);
    frame.extend_from_slice(payload);
    Ok(frame)
}

/// Takes the message out of a frame.
///
/// # Errors
///
/// When the frame is empty, too large, or of an unknown format.
pub fn decode(mut frame: Vec<u8>) -> Result<Vec<u8>, Error> {
    match frame.first() {
        None => Err(Error::Empty),
        Some(&PLAIN) => {
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
