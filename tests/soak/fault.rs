//! Faults that the soak injects into the system from outside.

use fescuewell::standin::rows;
use fescuewell::standin::worker::Behaviour;
use rand::Rng;
use rand::rngs::SmallRng;

/// A fault and the index of the instance or backend server that it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Suspends an instance with SIGSTOP.
    Pause(usize),
    /// Kills an instance and later restarts it.
    Kill(usize),
    /// Stops an instance with SIGTERM and later restarts it.
    Stop(usize),
    /// Kills all instances at once.
    KillAll,
    /// Closes the connections of an instance to the store, and new ones right after accepting them.
    Partition(usize),
    /// Stops forwarding on the open connections of an instance to the store, in both directions.
    Blackhole(usize),
    /// Drops the replies of the store to an instance.
    DropReplies(usize),
    /// Closes the open connections of an instance to the store.
    Reset(usize),
    /// Makes the store fail for all instances.
    Store(rows::Fault),
    /// Compacts the history of the store.
    Compact,
    /// Makes a backend server fail its next requests.
    Server(usize, Behaviour),
    /// Registers a backend server as draining and later as ready.
    Drain(usize),
    /// Adds prepaid tokens to the client account.
    TopUp,
}

/// Draws a random fault.
pub fn draw(random: &mut SmallRng, instances: usize, servers: usize) -> Fault {
    let instance = random.random_range(0..instances);
    let server = random.random_range(0..servers);
    match random.random_range(0..16) {
        0 => Fault::Pause(instance),
        1 => Fault::Kill(instance),
        2 => Fault::Stop(instance),
        3 => Fault::KillAll,
        4 => Fault::Partition(instance),
        5 => Fault::Blackhole(instance),
        6 => Fault::DropReplies(instance),
        7 => Fault::Reset(instance),
        8 => Fault::Store(store(random)),
        9 => Fault::Compact,
        10..=12 => Fault::Server(server, behaviour(random)),
        13 => Fault::Drain(server),
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
