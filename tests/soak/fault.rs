//! What is done to the system from outside.

use fescuewell::standin::rows;
use fescuewell::standin::worker::Behaviour;
use rand::Rng;
use rand::rngs::SmallRng;

/// One fault, with what it strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An instance stands still.
    Pause(usize),
    /// An instance is killed and started again.
    Kill(usize),
    /// An instance is asked to stop and started again.
    Stop(usize),
    /// All instances are killed at once.
    KillAll,
    /// An instance loses the way to the store.
    Cut(usize),
    /// Its connections to the store go silent.
    Silence(usize),
    /// The store's answers to it go missing.
    Deafen(usize),
    /// Its connections to the store are reset.
    Reset(usize),
    /// The store misbehaves for all.
    Store(rows::Fault),
    /// The store forgets its history.
    Compact,
    /// A backend server misbehaves with its next requests.
    Worker(usize, Behaviour),
    /// A backend server drains and comes back.
    Drain(usize),
    /// The operator tops the account up.
    TopUp,
}

/// Draws a fault.
pub fn draw(random: &mut SmallRng, instances: usize, workers: usize) -> Fault {
    let instance = random.random_range(0..instances);
    let worker = random.random_range(0..workers);
    match random.random_range(0..16) {
        0 => Fault::Pause(instance),
        1 => Fault::Kill(instance),
        2 => Fault::Stop(instance),
        3 => Fault::KillAll,
        4 => Fault::Cut(instance),
        5 => Fault::Silence(instance),
        6 => Fault::Deafen(instance),
        7 => Fault::Reset(instance),
        8 => Fault::Store(store(random)),
        9 => Fault::Compact,
        10..=12 => Fault::Worker(worker, behaviour(random)),
        13 => Fault::Drain(worker),
        _ => Fault::TopUp,
    }
}

fn store(random: &mut SmallRng) -> rows::Fault {
    match random.random_range(0..5) {
        0 => rows::Fault::Silent,
        1 => rows::Fault::Reset,
        2 => rows::Fault::Busy,
        3 => rows::Fault::LostReplies,
        _ => rows::Fault::SilentFeeds,
    }
}

fn behaviour(random: &mut SmallRng) -> Behaviour {
    match random.random_range(0..6) {
        0 => Behaviour::Lose,
        1 => Behaviour::TurnAway,
        2 => Behaviour::Fail,
        3 => Behaviour::Hang,
        4 => Behaviour::WrongId,
        _ => Behaviour::Break(random.random_range(0..6)),
    }
}
