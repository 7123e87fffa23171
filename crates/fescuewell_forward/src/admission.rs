//! Admission control: protects an instance whose callers exceed its link or processor.
//!
//! Advertised addresses redirect only some callers; the others return to the instance that they
//! used before for as long as it is ready. A narrow link fills within seconds when all callers of a
//! large account use it, and then connections to backend servers and calls to the store fail too.
//! While other instances have capacity, an overloaded instance therefore closes its listener for
//! short intervals, and reports itself unready if the fleet can spare it.

use crate::window::Window;

/// Window over which callers' traffic is measured, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Window over which callers' traffic is measured, in seconds.
const WINDOW_S: f64 = WINDOW_MS as f64 / 1_000.0;
/// Fraction of the link that requests may use; each body is sent again to a backend server, besides
/// responses, retries and store calls.
const LINK_FRACTION: f64 = 0.4;
/// Fraction of the processor that requests may use.
const PROCESSOR_FRACTION: f64 = 0.6;
/// Fraction of the limits up to which requests are sent for other instances; the rest is for callers.
const FORWARDED_FRACTION: f64 = 0.8;
/// Processor time of a request in seconds.
const PROCESSOR_PER_REQUEST_S: f64 = 0.000_9;
/// Size of a request's head in bytes.
const HEAD_BYTES: u64 = 500;
/// Time for which an unready instance must be advertised before it is ready again, in milliseconds;
/// several heartbeats.
const MIN_ADVERTISED_MS: u64 = 5_000;
/// Time within which callers follow a change of readiness, in milliseconds; the maximum TTL of
/// advertised addresses and two readiness checks. Without a stronger instance in the zone the
/// listener stays closed as long, since callers whose connection is refused try another one.
const REDIRECT_MS: u64 = 8_000;
/// Window over which the time with a closed listener is measured, in milliseconds; several times
/// [`THROTTLE_MS`].
const CLOSED_WINDOW_MS: u64 = 3_000;
/// Time for which an instance that is ready again stays ready where callers can move to a stronger
/// one, in milliseconds; longer than callers take to follow a change of readiness by checks.
const MIN_READY_MS: u64 = 5_000;
/// Fraction of the window with a closed listener above which a busy instance is saturated.
const SATURATED_FRACTION: f64 = 0.6;
/// Time for which the listener is closed after a request over the limit, in milliseconds.
pub const THROTTLE_MS: u64 = 300;
/// Time for which an instance reports itself unready, in milliseconds; long compared to the seconds
/// within which its callers overload it again.
pub const UNREADY_MS: u64 = 300_000;

/// Consequence of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The request is within the limits.
    Admit,
    /// The listener is closed for [`THROTTLE_MS`].
    Throttle,
    /// The instance reports itself unready for [`UNREADY_MS`].
    Leave,
}

/// Callers' traffic per second, as measured or as limited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Traffic {
    /// Bytes of requests per second.
    pub bytes: f64,
    /// Requests per second.
    pub requests: f64,
}

/// Limits on callers' traffic, derived from the instance's link and processor.
#[derive(Debug, Clone)]
pub struct Limiter {
    bytes_per_s: f64,
    requests_per_s: f64,
    bytes: Window,
    requests: Window,
    fleet_has_capacity: bool,
    has_stronger_peer: bool,
    spare_until_ms: u64,
    throttled_until_ms: u64,
    closed: Window,
    advertised_since_ms: Option<u64>,
    unready_since_ms: u64,
    /// When it becomes or became ready again; 0 if it was never unready.
    unready_until_ms: u64,
}

impl Limiter {
    /// Creates a limiter for a link of `link_mbps` Mbit/s and `cores` processor cores.
    pub fn new(link_mbps: f64, cores: f64) -> Self {
        Self {
            bytes_per_s: link_mbps * 1_000_000.0 / 8.0 * LINK_FRACTION,
            requests_per_s: cores * PROCESSOR_FRACTION / PROCESSOR_PER_REQUEST_S,
            bytes: Window::new(WINDOW_MS),
            requests: Window::new(WINDOW_MS),
            // An instance that starts behind a full link cannot read the other members.
            fleet_has_capacity: true,
            has_stronger_peer: false,
            spare_until_ms: 0,
            throttled_until_ms: 0,
            closed: Window::new(CLOSED_WINDOW_MS),
            advertised_since_ms: None,
            unready_since_ms: 0,
            unready_until_ms: 0,
        }
    }

    /// Sets until when the fleet can spare this instance; see
    /// [`crate::directory::Directory::spare_ms`]. The permission expires, since an instance that
    /// cannot read the heartbeats of the others does not know whether they are alive.
    pub fn set_spare(&mut self, until_ms: u64) {
        self.spare_until_ms = until_ms;
    }

    /// Sets whether other instances have capacity for this one's callers; see
    /// [`crate::directory::Directory::has_capacity_beside`].
    pub fn set_fleet_has_capacity(&mut self, has_capacity: bool) {
        self.fleet_has_capacity = has_capacity;
    }

    /// Sets whether callers can move to a much stronger instance of the availability zone; see
    /// [`crate::directory::Directory::has_stronger_peer`].
    pub fn set_has_stronger_peer(&mut self, has_stronger_peer: bool) {
        self.has_stronger_peer = has_stronger_peer;
    }

    /// Sets whether this instance is advertised. An unready instance becomes ready again only after
    /// being advertised for `MIN_ADVERTISED_MS`, since late heartbeats of others may cause it to be
    /// advertised for a moment.
    pub fn set_advertised(&mut self, now_ms: u64, is_advertised: bool) {
        let since = match (is_advertised, self.advertised_since_ms) {
            (false, _) => None,
            (true, since) => since.or(Some(now_ms)),
        };
        self.advertised_since_ms = since;
        if since.is_some_and(|since| now_ms >= since + MIN_ADVERTISED_MS) {
            self.end_unready(now_ms);
        }
    }

    /// Counts a request with a body of so many bytes.
    pub fn admit(&mut self, now_ms: u64, body: usize) -> Action {
        self.bytes.add(now_ms, body as u64 + HEAD_BYTES);
        self.requests.add(now_ms, 1);
        // Where no other instance has capacity, a rejection with a retry delay serves callers
        // better than a closed listener.
        let is_link_full = self.is_link_full(now_ms);
        if !self.fleet_has_capacity || !(is_link_full || self.is_busy(now_ms)) {
            return Action::Admit;
        }
        self.throttle(now_ms);
        let is_unready = self.unready_left_ms(now_ms) > 0;
        if is_unready && now_ms >= self.unready_since_ms + REDIRECT_MS {
            // Callers ignore readiness, so that being unready relieves nothing and only uses up the
            // number of instances that may be unready.
            self.end_unready(now_ms);
            self.spare_until_ms = 0;
        }
        let is_spare = now_ms < self.spare_until_ms && !self.is_newly_ready(now_ms);
        if is_unready || !is_spare || !(is_link_full || self.is_saturated(now_ms)) {
            return Action::Throttle;
        }
        self.extend_unready(now_ms, UNREADY_MS);
        Action::Leave
    }

    /// Counts a request that this instance sends for another one, unless that would leave too little
    /// for its own callers. Returns `false` in that case.
    pub fn admit_forwarded(&mut self, now_ms: u64, body: usize) -> bool {
        let bytes = body as u64 + HEAD_BYTES;
        let traffic = self.traffic(now_ms);
        let has_capacity = traffic.bytes + bytes as f64 <= self.bytes_per_s * FORWARDED_FRACTION
            && traffic.requests + 1.0 <= self.requests_per_s * FORWARDED_FRACTION;
        if has_capacity {
            self.bytes.add(now_ms, bytes);
            self.requests.add(now_ms, 1);
        }
        has_capacity
    }

    fn throttle(&mut self, now_ms: u64) {
        let until_ms = now_ms + THROTTLE_MS;
        let from_ms = self.throttled_until_ms.max(now_ms);
        self.closed.add(now_ms, until_ms - from_ms);
        self.throttled_until_ms = until_ms;
    }

    /// Returns `true` if the listener was closed for most of the window. Below that an instance
    /// serves most of its callers, who would lose seconds by moving.
    fn is_saturated(&mut self, now_ms: u64) -> bool {
        self.closed.sum(now_ms) as f64 > CLOSED_WINDOW_MS as f64 * SATURATED_FRACTION
    }

    fn is_link_full(&mut self, now_ms: u64) -> bool {
        self.traffic(now_ms).bytes > self.bytes_per_s
    }

    fn is_busy(&mut self, now_ms: u64) -> bool {
        self.traffic(now_ms).requests > self.requests_per_s
    }

    /// Returns the traffic that was admitted within the last second.
    pub fn traffic(&mut self, now_ms: u64) -> Traffic {
        Traffic {
            bytes: self.bytes.sum(now_ms) as f64 / WINDOW_S,
            requests: self.requests.sum(now_ms) as f64 / WINDOW_S,
        }
    }

    /// Returns the traffic above which new connections are refused.
    pub fn limit(&self) -> Traffic {
        Traffic {
            bytes: self.bytes_per_s,
            requests: self.requests_per_s,
        }
    }

    /// Makes the instance unready for the time that its member row states. Where callers can move to
    /// a stronger instance, the row is ignored once the instance is ready again, since it was
    /// written before that.
    pub fn set_unready(&mut self, now_ms: u64, left_ms: u64) {
        let was_unready = self.unready_until_ms > 0 && self.unready_left_ms(now_ms) == 0;
        if left_ms > 0 && !(was_unready && self.has_stronger_peer) {
            self.extend_unready(now_ms, left_ms);
        }
    }

    fn extend_unready(&mut self, now_ms: u64, left_ms: u64) {
        if self.unready_left_ms(now_ms) == 0 {
            self.unready_since_ms = now_ms;
        }
        self.unready_until_ms = self.unready_until_ms.max(now_ms + left_ms);
    }

    fn end_unready(&mut self, now_ms: u64) {
        self.unready_until_ms = self.unready_until_ms.min(now_ms);
    }

    /// Returns `true` if the instance has to stay ready, since it became so within the last
    /// [`MIN_READY_MS`].
    fn is_newly_ready(&self, now_ms: u64) -> bool {
        let was_unready = self.unready_until_ms > 0;
        self.has_stronger_peer && was_unready && now_ms < self.unready_until_ms + MIN_READY_MS
    }

    /// Remaining time for which the instance is unready, in milliseconds; 0 if it is ready.
    pub fn unready_left_ms(&self, now_ms: u64) -> u64 {
        self.unready_until_ms.saturating_sub(now_ms)
    }

    /// Returns `true` if the listener is closed.
    ///
    /// A rejected request and its retry both cross the link, so rejections do not relieve a full
    /// one; a refused connection costs a packet.
    ///
    /// Where callers have a long way to a stronger instance, over other weak ones, an instance that
    /// became unready goes on to accept what it can pass on until they have moved.
    pub fn is_closed(&self, now_ms: u64) -> bool {
        let is_leaving = !self.has_stronger_peer
            && self.unready_left_ms(now_ms) > 0
            && now_ms < self.unready_since_ms + REDIRECT_MS;
        is_leaving || now_ms < self.throttled_until_ms
    }
}
