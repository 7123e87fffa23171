//! Gossip between instances: the head in force and membership updates.
//!
//! Each instance keeps a few partners, some of them in other zones, and also sends to those that
//! recently sent it something. A new head or update is sent at once. In addition, each round sends
//! the head to the chosen partners, which makes up for lost messages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

use crate::pacing::TokenBucket;
use crate::row::State;
use crate::update::Update;
use crate::view::View;

/// Maximum number of updates kept for partners that have not received them yet.
const MAX_PENDING: usize = 64;
/// Rounds for which an update is kept.
const PENDING_ROUNDS: u32 = 4;
/// Rounds of silence after which an instance that was not chosen is no longer a partner.
const SILENT_ROUNDS: u32 = 3;
/// Share of the byte rate that membership updates may use. After a restart of a whole large fleet
/// there are so many that heads behind them would wait for minutes.
const UPDATE_SHARE: f64 = 0.5;
/// Size of a message without updates, including the packet around it, rounded up.
pub const MESSAGE_BYTES: usize = 160;
/// Size of one update, rounded up.
pub const UPDATE_BYTES: usize = 200;

fescuewell_core::data! {
    /// Identifies one version of the document.
    #[derive(Copy)]
    pub struct Head {
        /// Its version.
        pub version: Version,
        /// Hash of its root object.
        pub root: Digest,
    }

    /// A gossip message.
    pub struct Message {
        /// The head in force at the sender, which has all objects of that document.
        pub head: Option<Head>,
        /// Membership updates.
        #[serde(rename = "news")]
        pub updates: Vec<Update>,
    }

    /// How much is sent, how often and to how many.
    pub struct Settings {
        /// Time between two rounds.
        pub interval: Duration,
        /// Number of chosen partners.
        pub fanout: usize,
        /// How many of them are in other zones, if there are any.
        #[serde(rename = "far")]
        pub remote_partners: usize,
        /// Time after which one partner is replaced.
        pub partner_period: Duration,
        /// Maximum number of updates in one message.
        #[serde(rename = "most_news")]
        pub max_updates: usize,
        /// Maximum bytes sent per second, including packet overhead.
        pub bytes_per_second: u32,
    }
}

fescuewell_core::message! {
    /// A message and the instance to send it to.
    pub struct Outgoing {
        /// Name of the receiving instance.
        pub to: Arc<str>,
        /// The message.
        pub message: Message,
    }
}

/// Rounds per second in a small fleet.
const SMALL_FLEET_ROUNDS: f64 = 2.0;
/// Largest fleet size that uses this frequency.
const SMALL_FLEET: f64 = 100.0;
/// Seconds between rounds in a larger fleet.
const LARGE_FLEET_INTERVAL: f64 = 4.0;

impl Settings {
    /// Settings for a fleet of `instances`.
    pub fn sized(instances: u32) -> Self {
        let interval = match f64::from(instances) <= SMALL_FLEET {
            true => 1.0 / SMALL_FLEET_ROUNDS,
            false => LARGE_FLEET_INTERVAL,
        };
        Self {
            interval: Duration::from_secs_f64(interval),
            fanout: 4,
            remote_partners: 2,
            partner_period: Duration::from_secs(60),
            max_updates: 4,
            bytes_per_second: 1_400,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::sized(9)
    }
}

/// An instance that this one exchanges messages with.
#[derive(Debug, Clone, Default)]
struct Partner {
    chosen: bool,
    last_received: Option<Instant>,
    version: Version,
}

/// An update that is being sent to partners.
#[derive(Debug, Clone)]
struct PendingUpdate {
    update: Update,
    sent_to: BTreeSet<Arc<str>>,
    queued_at: Instant,
}

/// The gossip state machine of one instance.
///
/// ```
/// use fescuewell_core::prelude::*;
/// use fescuewell_membership::gossip::{Gossip, Head, Message, Settings};
/// let mut gossip = Gossip::new(Settings::default(), "entry-1".into(), "a".into(), 7);
/// let head = Head { version: Version(3), root: Digest(9) };
/// let now = Instant::from_millis(5);
/// let received = gossip.receive(now, "entry-2", Message { head: Some(head), updates: vec![] });
/// assert_eq!(received.head, Some(head));
/// ```
#[derive(Debug)]
pub struct Gossip {
    settings: Settings,
    instance: Arc<str>,
    zone: Arc<str>,
    rng: SmallRng,
    partners: BTreeMap<Arc<str>, Partner>,
    head: Option<Head>,
    pending: VecDeque<PendingUpdate>,
    urgent: bool,
    next_round_at: Instant,
    next_rotation_at: Instant,
    bucket: TokenBucket,
    update_bucket: TokenBucket,
}

impl Gossip {
    /// Creates an instance that knows no partners yet.
    pub fn new(settings: Settings, instance: Arc<str>, zone: Arc<str>, seed: u64) -> Self {
        let rate = f64::from(settings.bytes_per_second);
        let message = MESSAGE_BYTES + settings.max_updates * UPDATE_BYTES;
        let burst = rate.max((2 * settings.fanout * message) as f64);
        Self {
            bucket: TokenBucket::new(rate, burst),
            update_bucket: TokenBucket::new(rate * UPDATE_SHARE, burst * UPDATE_SHARE),
            settings,
            instance,
            zone,
            rng: SmallRng::seed_from_u64(seed),
            partners: BTreeMap::new(),
            head: None,
            pending: VecDeque::new(),
            urgent: false,
            next_round_at: Instant::default(),
            next_rotation_at: Instant::default(),
        }
    }

    /// Sets the head in force here and sends it at once. An older head changes nothing.
    pub fn set_head(&mut self, head: Head) {
        let known = self.head.map(|known| known.version);
        if known >= Some(head.version) {
            return;
        }
        self.head = Some(head);
        self.urgent = true;
    }

    /// Queues updates for all partners.
    pub fn broadcast(&mut self, now: Instant, updates: Vec<Update>) {
        for update in updates {
            if self.pending.len() >= MAX_PENDING {
                self.pending.pop_front();
            }
            self.pending.push_back(PendingUpdate {
                update,
                sent_to: BTreeSet::new(),
                queued_at: now,
            });
            self.urgent = true;
        }
    }

    /// Handles a message and returns it. The caller passes its head to the propagation and its
    /// updates to the members, which queue again those that were new to them.
    pub fn receive(&mut self, now: Instant, from: &str, message: Message) -> Message {
        let partner = self.partners.entry(from.into()).or_default();
        partner.last_received = Some(now);
        partner.version = message.head.map_or(Version(0), |head| head.version);
        let behind = self.head.is_some_and(|head| head.version > partner.version);
        self.urgent |= behind;
        for pending_update in &mut self.pending {
            if message.updates.contains(&pending_update.update) {
                pending_update.sent_to.insert(from.into());
            }
        }
        message
    }

    /// The messages to send now.
    pub fn take_outgoing(&mut self, now: Instant, view: &View) -> Vec<Outgoing> {
        let is_round = now >= self.next_round_at;
        if !is_round && !self.urgent {
            return Vec::new();
        }
        self.choose_partners(now, view);
        let mut outgoing = Vec::new();
        let mut is_throttled = false;
        // With a fixed order, the last partners would get nothing while the rate is used up.
        let mut names: Vec<Arc<str>> = self.partners.keys().cloned().collect();
        names.shuffle(&mut self.rng);
        for to in names {
            let Some(mut message) = self.message_to(&to, is_round) else {
                continue;
            };
            let updates_size = message.updates.len() * UPDATE_BYTES;
            if !self.update_bucket.take(now, updates_size as f64) {
                is_throttled = true;
                message.updates.clear();
                if !self.needs_head(&to, is_round) {
                    continue;
                }
            }
            let size = MESSAGE_BYTES + message.updates.len() * UPDATE_BYTES;
            // A burst of updates must not take bandwidth from requests. Messages held back here are
            // sent as soon as the rate allows; the table carries the same changes.
            if !self.bucket.take(now, size as f64) {
                is_throttled = true;
                continue;
            }
            self.record_sent(&to, &message);
            outgoing.push(Outgoing { to, message });
        }
        self.urgent = is_throttled;
        if is_round {
            let jitter = self.rng.random_range(0.8..1.2);
            self.next_round_at = now + self.settings.interval.mul_f64(jitter);
            let kept = self.settings.interval * PENDING_ROUNDS;
            self.pending
                .retain(|pending_update| now.since(pending_update.queued_at) < kept);
        }
        outgoing
    }

    fn message_to(&self, to: &Arc<str>, is_round: bool) -> Option<Message> {
        let unsent = self
            .pending
            .iter()
            .filter(|pending_update| !pending_update.sent_to.contains(to));
        let unsent = unsent.take(self.settings.max_updates);
        let updates: Vec<Update> = unsent
            .map(|pending_update| pending_update.update.clone())
            .collect();
        let worth_sending = self.needs_head(to, is_round) || !updates.is_empty();
        worth_sending.then_some(Message {
            head: self.head,
            updates,
        })
    }

    /// Whether the partner must be sent the head, whatever updates there are.
    fn needs_head(&self, to: &Arc<str>, is_round: bool) -> bool {
        let partner = &self.partners[to];
        let newer = self.head.is_some_and(|head| head.version > partner.version);
        newer || is_round && partner.chosen
    }

    fn record_sent(&mut self, to: &Arc<str>, message: &Message) {
        for pending_update in &mut self.pending {
            if message.updates.contains(&pending_update.update) {
                pending_update.sent_to.insert(to.clone());
            }
        }
        let Some(partner) = self.partners.get_mut(to) else {
            return;
        };
        // Assumes delivery; if the message is lost, the partner's next message shows its older
        // version.
        let sent = message.head.map_or(Version(0), |head| head.version);
        partner.version = partner.version.max(sent);
    }

    fn choose_partners(&mut self, now: Instant, view: &View) {
        let max_silence = self.settings.interval * SILENT_ROUNDS;
        self.partners.retain(|name, partner| {
            let recent = partner
                .last_received
                .is_some_and(|at| now.since(at) <= max_silence);
            let live = view.peer(name).is_some_and(|peer| !peer.suspected);
            recent || partner.chosen && live
        });
        if now >= self.next_rotation_at {
            self.next_rotation_at = now + self.settings.partner_period;
            self.drop_partner();
        }
        let chosen = self.partners.values().filter(|partner| partner.chosen);
        if chosen.count() < self.settings.fanout {
            self.choose_new_partners(view);
        }
    }

    /// Replacing partners from time to time reconnects groups that an unlucky choice has separated.
    fn drop_partner(&mut self) {
        let chosen = self.partners.iter().filter(|(_, partner)| partner.chosen);
        let chosen: Vec<Arc<str>> = chosen.map(|(name, _)| name.clone()).collect();
        let Some(name) = chosen.choose(&mut self.rng) else {
            return;
        };
        if let Some(partner) = self.partners.get_mut(name) {
            partner.chosen = false;
        }
    }

    fn choose_new_partners(&mut self, view: &View) {
        let others = view.live.iter().filter(|peer| {
            peer.instance != self.instance && !peer.suspected && peer.state != State::Gone
        });
        let (local, remote): (Vec<_>, Vec<_>) = others.partition(|peer| peer.zone == self.zone);
        let mut missing_remote = self.settings.remote_partners;
        let mut missing = self.settings.fanout;
        for (name, partner) in &self.partners {
            if !partner.chosen {
                continue;
            }
            missing = missing.saturating_sub(1);
            if remote.iter().any(|peer| peer.instance == *name) {
                missing_remote = missing_remote.saturating_sub(1);
            }
        }
        let remote_names = self.pick(&remote, missing_remote.min(missing));
        let local_names = self.pick(&local, missing - remote_names.len());
        let rest = missing - remote_names.len() - local_names.len();
        let more_remote = self.pick(&remote, remote_names.len() + rest);
        for name in remote_names
            .into_iter()
            .chain(local_names)
            .chain(more_remote)
        {
            if missing == 0 {
                return;
            }
            let partner = self.partners.entry(name).or_default();
            if !std::mem::replace(&mut partner.chosen, true) {
                missing -= 1;
            }
        }
    }

    fn pick(&mut self, peers: &[&crate::view::Peer], count: usize) -> Vec<Arc<str>> {
        let partners = &self.partners;
        let chosen = |name: &str| partners.get(name).is_some_and(|partner| partner.chosen);
        let free = peers.iter().filter(|peer| !chosen(&peer.instance));
        let names: Vec<&Arc<str>> = free.map(|peer| &peer.instance).collect();
        let picked = names.choose_multiple(&mut self.rng, count);
        picked.map(|name| (*name).clone()).collect()
    }
}
