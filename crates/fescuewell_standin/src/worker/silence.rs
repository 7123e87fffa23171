//! Silence of a worker: the points at which its answers stop until it speaks again.

use fescuewell_http::listener::{Closed, Disconnected};

use super::Shared;

/// Where the answers of a silent worker stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silence {
    /// Wherever they are: no head, no event and no end is sent.
    Whole,
    /// Before their heads and ends, and in the middle of the next event.
    InsideEvent,
    /// Streams stop after so many events; all else is answered.
    After(u64),
    /// Streams stop in the middle of the event after so many; all else is answered.
    Inside(u64),
}

/// A point of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Point {
    /// Before the head.
    Head,
    /// Before the event of this number.
    Event(u64),
    /// In the middle of the event of this number.
    Half(u64),
    /// After the last event, before the end of the body.
    End,
}

impl Silence {
    fn stops(self, point: Point) -> bool {
        match (self, point) {
            (Self::Whole, _) => true,
            (Self::InsideEvent, point) => !matches!(point, Point::Event(_)),
            (Self::After(count), Point::Event(number)) => number > count,
            (Self::After(_), Point::End) => true,
            (Self::Inside(count), Point::Half(number)) => number > count,
            _ => false,
        }
    }
}

impl Shared {
    /// Whether an answer stops at this point now.
    pub(super) fn stops(&self, point: Point) -> bool {
        self.silence
            .borrow()
            .is_some_and(|silence| silence.stops(point))
    }

    /// Waits until an answer may go on from this point.
    ///
    /// # Errors
    ///
    /// [`Disconnected`] if its caller leaves meanwhile.
    pub(super) async fn hold(&self, point: Point, closed: Closed) -> Result<(), Disconnected> {
        let may_go_on =
            |silence: &Option<Silence>| !silence.is_some_and(|silence| silence.stops(point));
        let mut silence = self.silence.subscribe();
        tokio::select! {
            // An error means that the stand-in is being dropped.
            _ = silence.wait_for(may_go_on) => Ok(()),
            _ = closed.wait_for_disconnect() => Err(Disconnected),
        }
    }
}
