//! Whether callers send an instance more than its link or its processor passes on.
//!
//! Addresses tell only some callers where to go: others come back to the instance that they used before, for as long
//! as it says that it is ready. A narrow link that all callers of a large account keep to is full within seconds, and
//! then connections to backend servers and calls to the store fail as well. An instance that sees this coming says
//! that it is not ready while others can take its callers.

use crate::window::Window;

/// Span over which the callers' traffic is measured, in milliseconds: long enough for a mean of some ten requests on the
/// narrowest link, short against the seconds in which its queue fills.
const SPAN_MS: u64 = 1_000;
/// The same in seconds.
const SPAN_S: f64 = SPAN_MS as f64 / 1_000.0;
/// Part of the link from which callers' requests are too many: each body goes out once more to a backend server, and
/// answers, repeats and calls to the store need room beside it.
const LINK_PART: f64 = 0.4;
/// Part of the processor from which they are too many.
const PROCESSOR_PART: f64 = 0.6;
/// Processor time of one request, in seconds.
const PROCESSOR_EACH: f64 = 0.000_9;
/// Bytes of a request beside its body: the request line and some ten headers.
const HEAD_BYTES: u64 = 500;
/// Time after which an instance that is needed takes callers again, in milliseconds: several signs of the others.
const NEEDED_MS: u64 = 5_000;
/// Time within which the callers of an instance that stays out have gone elsewhere, in milliseconds: an address answer is kept
/// for six seconds by some, and two questions after readiness take two more. Whoever comes after that knows no other instance.
/// New connections are kept out as long: who finds none tries elsewhere at once, who is served now and then stays.
const GONE_MS: u64 = 8_000;
/// Span over which it is measured for how long new connections were kept out, in milliseconds: some ten times
/// [`THROTTLE_MS`].
const SHUT_SPAN_MS: u64 = 3_000;
/// Part of that span from which a busy instance sends its callers away. Below it the instance serves most of them where they
/// are; they would lose two seconds at each move, and most instances that they may come to are as small.
///
/// A full link is left at once: connections to backend servers and calls to the store fail behind it too.
const HOPELESS_PART: f64 = 0.6;
/// Time for which new connections are kept out after a request that was too much, in milliseconds. Short, so that what is
/// let in stays near the bound, and far below the seconds after which a ready instance would be missed.
pub const THROTTLE_MS: u64 = 300;
/// Time for which an instance stays out, in milliseconds. Its callers would come back at once, so it is long against
/// the seconds in which they fill the link again.
pub const PAUSE_MS: u64 = 300_000;

/// What follows from a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// It is taken; nothing else.
    Admit,
    /// Callers send too much: new connections are kept out for [`THROTTLE_MS`].
    Throttle,
    /// The instance stays out for [`PAUSE_MS`].
    Leave,
}

/// What callers send, measured against what the instance can pass on.
#[derive(Debug, Clone)]
pub struct Intake {
    bytes_each_s: f64,
    requests_each_s: f64,
    bytes: Window,
    requests: Window,
    has_room_beside: bool,
    spared_until_ms: u64,
    throttled_until_ms: u64,
    shut: Window,
    needed_since_ms: Option<u64>,
    left_at_ms: u64,
    out_until_ms: u64,
}

impl Intake {
    /// Nothing has come yet; `link_mbps` in Mbit/s, `cores` in parts of a core.
    pub fn new(link_mbps: f64, cores: f64) -> Self {
        Self {
            bytes_each_s: link_mbps * 1_000_000.0 / 8.0 * LINK_PART,
            requests_each_s: cores * PROCESSOR_PART / PROCESSOR_EACH,
            bytes: Window::new(SPAN_MS),
            requests: Window::new(SPAN_MS),
            // Until the others are known: a process that starts behind a full link could not read who they are.
            has_room_beside: true,
            spared_until_ms: 0,
            throttled_until_ms: 0,
            shut: Window::new(SHUT_SPAN_MS),
            needed_since_ms: None,
            left_at_ms: 0,
            out_until_ms: 0,
        }
    }

    /// Sets until when the others can do without this instance; see [`crate::directory::Directory::can_spare`]. One that
    /// has not heard of the others for long cannot know it.
    pub fn set_spared(&mut self, until_ms: u64) {
        self.spared_until_ms = until_ms;
    }

    /// Sets whether callers that are kept out here find room elsewhere; see
    /// [`crate::directory::Directory::has_room_beside`].
    pub fn set_room_beside(&mut self, has_room: bool) {
        self.has_room_beside = has_room;
    }

    /// Sets whether callers are sent to this instance. One that is needed for a while takes callers again; for a moment it
    /// may seem to be, when the others' signs are late.
    pub fn set_needed(&mut self, now_ms: u64, is_needed: bool) {
        let since = match (is_needed, self.needed_since_ms) {
            (false, _) => None,
            (true, since) => since.or(Some(now_ms)),
        };
        self.needed_since_ms = since;
        if since.is_some_and(|since| now_ms >= since + NEEDED_MS) {
            self.out_until_ms = 0;
        }
    }

    /// A request came whose body has so many bytes.
    pub fn take(&mut self, now_ms: u64, body: usize) -> Action {
        self.bytes.add(now_ms, body as u64 + HEAD_BYTES);
        self.requests.add(now_ms, 1);
        // Where all others are as full, a refusal that says when to come back is better than none.
        let is_link_full = self.is_link_full(now_ms);
        if !self.has_room_beside || !(is_link_full || self.is_busy(now_ms)) {
            return Action::Admit;
        }
        self.throttle(now_ms);
        let is_out = self.out_left_ms(now_ms) > 0;
        if is_out && now_ms >= self.left_at_ms + GONE_MS {
            // Callers come although it says that it is not ready: to stay out is of no use, and counts against the others.
            self.out_until_ms = 0;
            self.spared_until_ms = 0;
        }
        let is_spared = now_ms < self.spared_until_ms;
        if is_out || !is_spared || !(is_link_full || self.is_hopeless(now_ms)) {
            return Action::Throttle;
        }
        self.leave(now_ms, PAUSE_MS);
        Action::Leave
    }

    fn throttle(&mut self, now_ms: u64) {
        let until_ms = now_ms + THROTTLE_MS;
        let from_ms = self.throttled_until_ms.max(now_ms);
        self.shut.add(now_ms, until_ms - from_ms);
        self.throttled_until_ms = until_ms;
    }

    /// Whether callers send so much that most of them find no connection.
    fn is_hopeless(&mut self, now_ms: u64) -> bool {
        self.shut.sum(now_ms) as f64 > SHUT_SPAN_MS as f64 * HOPELESS_PART
    }

    fn is_link_full(&mut self, now_ms: u64) -> bool {
        self.bytes.sum(now_ms) as f64 / SPAN_S > self.bytes_each_s
    }

    fn is_busy(&mut self, now_ms: u64) -> bool {
        self.requests.sum(now_ms) as f64 / SPAN_S > self.requests_each_s
    }

    /// Stays out from now on, for `left_ms` milliseconds.
    pub fn leave(&mut self, now_ms: u64, left_ms: u64) {
        if self.out_left_ms(now_ms) == 0 {
            self.left_at_ms = now_ms;
        }
        self.out_until_ms = self.out_until_ms.max(now_ms + left_ms);
    }

    /// How much longer it stays out, in milliseconds; 0 when it takes callers.
    pub fn out_left_ms(&self, now_ms: u64) -> u64 {
        self.out_until_ms.saturating_sub(now_ms)
    }

    /// Whether new connections are kept out.
    ///
    /// A request that is refused has crossed the link already, and its repeat crosses it once more, so that refusals do not
    /// empty a full link. A connection that is refused costs one packet, and what is let in is answered in time.
    pub fn is_shut(&self, now_ms: u64) -> bool {
        let is_leaving = self.out_left_ms(now_ms) > 0 && now_ms < self.left_at_ms + GONE_MS;
        is_leaving || now_ms < self.throttled_until_ms
    }
}
