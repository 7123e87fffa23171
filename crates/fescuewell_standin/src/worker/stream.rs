//! Event streams of a worker.

use bytes::Bytes;
use fescuewell_http::listener::{Disconnected, Reply, Sink};
use http::{HeaderMap, StatusCode};

use super::silence::Point;
use super::{Behaviour, LAST_EVENT_ID, Run, Shared};

impl Shared {
    /// Begins the body of a stream.
    pub(super) fn begin_stream(&self, reply: Reply, headers: HeaderMap) -> Sink {
        match self.state().is_unframed {
            true => reply.stream_until_close(StatusCode::OK, headers),
            false => reply.stream(StatusCode::OK, headers),
        }
    }

    /// Sends the events after the last one that the request names.
    pub(super) async fn stream(
        &self,
        reply: Reply,
        headers: HeaderMap,
        run: &Run,
        behaviour: Behaviour,
    ) {
        let last = run.headers.get(LAST_EVENT_ID);
        let last = last.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let first = last.map_or(1, |last| last + 1);
        let version = self.state().version.clone();
        let sink = self.begin_stream(reply, headers);
        let mut released = self.released.subscribe();
        for number in first..=self.events {
            match behaviour {
                Behaviour::Break(after) if number > after => {
                    // Half an event, and the connection is cut without the end of the body.
                    let half = format!("id: {number}\ndata: ha");
                    let _ = sink.send(Bytes::from(half)).await;
                    return;
                }
                Behaviour::Pause(after) if number > after => {
                    // An error means that the stand-in is being dropped.
                    let _ = released.wait_for(|released| *released).await;
                }
                _ => {}
            }
            let event = format!("id: {number}\ndata: piece {number} of {version}\n\n");
            if self.send_event(&sink, number, event.into()).await.is_err() {
                self.state().gone += 1;
                return;
            }
        }
        if self.hold(Point::End, sink.closed()).await.is_err() {
            self.state().gone += 1;
            return;
        }
        sink.finish();
    }

    /// Sends an event, in two parts if a silence stops it in the middle.
    async fn send_event(
        &self,
        sink: &Sink,
        number: u64,
        mut event: Bytes,
    ) -> Result<(), Disconnected> {
        let interval = self.state().event_interval;
        if !interval.is_zero() {
            tokio::time::sleep(interval).await;
        }
        self.hold(Point::Event(number), sink.closed()).await?;
        if self.stops(Point::Half(number)) {
            sink.send(event.split_to(event.len() / 2)).await?;
            self.hold(Point::Half(number), sink.closed()).await?;
        }
        sink.send(event).await
    }
}
