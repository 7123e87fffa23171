//! What instances tell each other: the head in force and changes of the membership.
//!
//! Each instance keeps a few partners, some of them in other zones, and also tells those that lately
//! told it something. A new head or a change is passed on at once; besides, each round tells the
//! head to the chosen partners, so that whatever was lost is made up for.

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

/// Changes kept for partners that have not been told yet.
const MOST_ITEMS: usize = 64;
/// Rounds for which a change is kept.
const ITEM_ROUNDS: u32 = 4;
/// Rounds of silence after which an instance that was not chosen is no partner any more.
const SILENT_ROUNDS: u32 = 3;
/// Part of the byte rate that changes of the membership may take. After a restart of a whole large
/// fleet they are many, and the heads behind them would wait for minutes.
const UPDATE_SHARE: f64 = 0.5;
/// Bytes of a message without changes, and of the packet around it, rounded up.
pub const MESSAGE_BYTES: usize = 160;
/// Bytes of one change, rounded up.
pub const UPDATE_BYTES: usize = 200;

fescuewell_core::data! {
    /// Names one version of the document.
    #[derive(Copy)]
    pub struct Head {
        /// Its version.
        pub version: Version,
        /// Hash of its root object.
        pub root: Digest,
    }

    /// What one instance tells another.
    pub struct Message {
        /// The head in force at the sender, which then has all objects of the document.
        pub head: Option<Head>,
        /// Changes of the membership.
        #[serde(rename = "news")]
        pub updates: Vec<Update>,
    }

    /// How much is told, how often and to how many.
    pub struct Settings {
        /// Time between two rounds.
        pub interval: Duration,
        /// Chosen partners.
        pub fanout: usize,
        /// How many of them are in other zones, where there are any.
        #[serde(rename = "far")]
        pub remote_partners: usize,
        /// Time after which one partner is chosen anew.
        pub partner_period: Duration,
        /// Most changes in one message.
        #[serde(rename = "most_news")]
        pub max_updates: usize,
        /// Bytes a second that may be sent, packets included.
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

/// Rounds a second in a small fleet.
const SMALL_FLEET_ROUNDS: f64 = 2.0;
/// Fleet size up to which rounds are that frequent.
const SMALL_FLEET: f64 = 100.0;
/// Seconds between rounds of a larger fleet.
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

/// An instance that this one talks to.
#[derive(Debug, Clone, Default)]
struct Partner {
    chosen: bool,
    heard_at: Option<Instant>,
    version: Version,
}

/// A change that is being passed on.
#[derive(Debug, Clone)]
struct Item {
    update: Update,
    told: BTreeSet<Arc<str>>,
    since: Instant,
}

/// One instance's part in spreading heads and changes.
///
/// ```
/// use fescuewell_core::prelude::*;
/// use fescuewell_membership::gossip::{Gossip, Head, Message, Settings};
/// let mut gossip = Gossip::new(Settings::default(), "entry-1".into(), "a".into(), 7);
/// let head = Head { version: Version(3), root: Digest(9) };
/// let now = Instant::from_millis(5);
/// let heard = gossip.receive(now, "entry-2", Message { head: Some(head), updates: vec![] });
/// assert_eq!(heard.head, Some(head));
/// ```
#[derive(Debug)]
pub struct Gossip {
    settings: Settings,
    instance: Arc<str>,
    zone: Arc<str>,
    rng: SmallRng,
    partners: BTreeMap<Arc<str>, Partner>,
    head: Option<Head>,
    items: VecDeque<Item>,
    urgent: bool,
    due_round: Instant,
    due_choice: Instant,
    bucket: TokenBucket,
    update_bucket: TokenBucket,
}

impl Gossip {
    /// An instance that knows nobody yet.
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
            items: VecDeque::new(),
            urgent: false,
            due_round: Instant::default(),
            due_choice: Instant::default(),
        }
    }

    /// A newer head is in force here: tell it at once. An older one changes nothing.
    pub fn set_head(&mut self, head: Head) {
        let known = self.head.map(|known| known.version);
        if known >= Some(head.version) {
            return;
        }
        self.head = Some(head);
        self.urgent = true;
    }

    /// Passes changes on.
    pub fn broadcast(&mut self, now: Instant, updates: Vec<Update>) {
        for update in updates {
            if self.items.len() >= MOST_ITEMS {
                self.items.pop_front();
            }
            self.items.push_back(Item {
                update,
                told: BTreeSet::new(),
                since: now,
            });
            self.urgent = true;
        }
    }

    /// Takes a message. The caller passes the head on to the propagation and the changes to the
    /// members, which say by their own news what was new to them.
    pub fn receive(&mut self, now: Instant, from: &str, message: Message) -> Message {
        let partner = self.partners.entry(from.into()).or_default();
        partner.heard_at = Some(now);
        partner.version = message.head.map_or(Version(0), |head| head.version);
        let behind = self.head.is_some_and(|head| head.version > partner.version);
        self.urgent |= behind;
        for item in &mut self.items {
            if message.updates.contains(&item.update) {
                item.told.insert(from.into());
            }
        }
        message
    }

    /// The messages to send now.
    pub fn take_outgoing(&mut self, now: Instant, view: &View) -> Vec<Outgoing> {
        let round = now >= self.due_round;
        if !round && !self.urgent {
            return Vec::new();
        }
        self.choose_partners(now, view);
        let mut outgoing = Vec::new();
        let mut held_back = false;
        // In the same order each time, the last ones would get nothing while the rate is used up.
        let mut names: Vec<Arc<str>> = self.partners.keys().cloned().collect();
        names.shuffle(&mut self.rng);
        for to in names {
            let Some(mut message) = self.message_to(&to, round) else {
                continue;
            };
            let updates_size = message.updates.len() * UPDATE_BYTES;
            if !self.update_bucket.take(now, updates_size as f64) {
                held_back = true;
                message.updates.clear();
                if !self.is_due(&to, round) {
                    continue;
                }
            }
            let size = MESSAGE_BYTES + message.updates.len() * UPDATE_BYTES;
            // A storm of changes must not take the network from the requests. What is held back here
            // goes out as soon as the rate allows it; the table tells it too.
            if !self.bucket.take(now, size as f64) {
                held_back = true;
                continue;
            }
            self.note_told(&to, &message);
            outgoing.push(Outgoing { to, message });
        }
        self.urgent = held_back;
        if round {
            let jitter = self.rng.random_range(0.8..1.2);
            self.due_round = now + self.settings.interval.mul_f64(jitter);
            let kept = self.settings.interval * ITEM_ROUNDS;
            self.items.retain(|item| now.since(item.since) < kept);
        }
        outgoing
    }

    fn message_to(&self, to: &Arc<str>, round: bool) -> Option<Message> {
        let untold = self.items.iter().filter(|item| !item.told.contains(to));
        let untold = untold.take(self.settings.max_updates);
        let updates: Vec<Update> = untold.map(|item| item.update.clone()).collect();
        let worth_sending = self.is_due(to, round) || !updates.is_empty();
        worth_sending.then_some(Message {
            head: self.head,
            updates,
        })
    }

    /// Whether the partner is to be told the head, whatever else there is to tell.
    fn is_due(&self, to: &Arc<str>, round: bool) -> bool {
        let partner = &self.partners[to];
        let newer = self.head.is_some_and(|head| head.version > partner.version);
        newer || round && partner.chosen
    }

    fn note_told(&mut self, to: &Arc<str>, message: &Message) {
        for item in &mut self.items {
            if message.updates.contains(&item.update) {
                item.told.insert(to.clone());
            }
        }
        let Some(partner) = self.partners.get_mut(to) else {
            return;
        };
        // Taken as received; if it was lost, the partner's next message shows its older version.
        let told = message.head.map_or(Version(0), |head| head.version);
        partner.version = partner.version.max(told);
    }

    fn choose_partners(&mut self, now: Instant, view: &View) {
        let silent = self.settings.interval * SILENT_ROUNDS;
        self.partners.retain(|name, partner| {
            let heard = partner.heard_at.is_some_and(|at| now.since(at) <= silent);
            let live = view.peer(name).is_some_and(|peer| !peer.suspected);
            heard || partner.chosen && live
        });
        if now >= self.due_choice {
            self.due_choice = now + self.settings.partner_period;
            self.drop_one();
        }
        let chosen = self.partners.values().filter(|partner| partner.chosen);
        if chosen.count() < self.settings.fanout {
            self.choose_more(view);
        }
    }

    /// Changing partners now and then joins what an unlucky choice may have parted.
    fn drop_one(&mut self) {
        let chosen = self.partners.iter().filter(|(_, partner)| partner.chosen);
        let chosen: Vec<Arc<str>> = chosen.map(|(name, _)| name.clone()).collect();
        let Some(name) = chosen.choose(&mut self.rng) else {
            return;
        };
        if let Some(partner) = self.partners.get_mut(name) {
            partner.chosen = false;
        }
    }

    fn choose_more(&mut self, view: &View) {
        let others = view.live.iter().filter(|peer| {
            peer.instance != self.instance && !peer.suspected && peer.state != State::Gone
        });
        let (near, far): (Vec<_>, Vec<_>) = others.partition(|peer| peer.zone == self.zone);
        let mut missing_far = self.settings.remote_partners;
        let mut missing = self.settings.fanout;
        for (name, partner) in &self.partners {
            if !partner.chosen {
                continue;
            }
            missing = missing.saturating_sub(1);
            if far.iter().any(|peer| peer.instance == *name) {
                missing_far = missing_far.saturating_sub(1);
            }
        }
        let far_names = self.pick(&far, missing_far.min(missing));
        let near_names = self.pick(&near, missing - far_names.len());
        let rest = missing - far_names.len() - near_names.len();
        let more_far = self.pick(&far, far_names.len() + rest);
        for name in far_names.into_iter().chain(near_names).chain(more_far) {
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
