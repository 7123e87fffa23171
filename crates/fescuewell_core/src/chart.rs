//! An interpreter for state charts in JSON files.
//!
//! A chart lists its states and, for each state, the target state of every accepted signal. The file is next to the
//! module that includes it with `include_str!`, so that the chart can be read, drawn and reviewed separately.
//!
//! ```
//! use fescuewell_core::chart::Chart;
//! let chart = Chart::parse(r#"{
//!     "initial": "open",
//!     "states": {"open": {"on": {"close": "closed"}}, "closed": {"on": {}}}
//! }"#).unwrap();
//! let mut state = chart.initial();
//! assert!(chart.step(&mut state, "close").is_ok());
//! assert_eq!(chart.name(state), "closed");
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use snafu::Snafu;

/// A parsed and validated state chart.
#[derive(Debug, Clone)]
pub struct Chart {
    initial: State,
    names: Vec<Arc<str>>,
    transitions: Vec<BTreeMap<Arc<str>, State>>,
}

crate::key! {
    /// A state of a chart.
    pub struct State(u16);
}

/// Why a chart could not be parsed or a transition is not possible.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text is not a valid chart.
    #[snafu(display("invalid state chart: {reason}"))]
    Malformed {
        /// Error of the JSON parser.
        reason: Arc<str>,
    },
    /// The initial state or the target of a transition does not exist.
    #[snafu(display("state chart refers to the unknown state {state}"))]
    UnknownState {
        /// Name of the unknown state.
        state: Arc<str>,
    },
    /// The state has no transition for the signal.
    #[snafu(display("state {state} has no transition for {signal}"))]
    NoTransition {
        /// The current state.
        state: Arc<str>,
        /// The signal.
        signal: Arc<str>,
    },
}

#[derive(Deserialize)]
struct File {
    initial: Arc<str>,
    states: BTreeMap<Arc<str>, Entry>,
}

#[derive(Deserialize)]
struct Entry {
    #[serde(default)]
    on: BTreeMap<Arc<str>, Arc<str>>,
}

impl Chart {
    /// Parses a chart and checks that the initial state and the targets of all transitions exist.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] or [`Error::UnknownState`].
    pub fn parse(text: &str) -> Result<Self, Error> {
        let file: File = serde_json::from_str(text).map_err(|error| Error::Malformed {
            reason: error.to_string().into(),
        })?;
        let names: Vec<Arc<str>> = file.states.keys().cloned().collect();
        let find = |state: &Arc<str>| {
            let position = names.iter().position(|name| name == state);
            position
                .map(|index| State(index as u16))
                .ok_or_else(|| Error::UnknownState {
                    state: state.clone(),
                })
        };
        let mut transitions = Vec::with_capacity(names.len());
        for entry in file.states.values() {
            let mut targets = BTreeMap::new();
            for (signal, target) in &entry.on {
                targets.insert(signal.clone(), find(target)?);
            }
            transitions.push(targets);
        }
        let initial = find(&file.initial)?;
        Ok(Self {
            initial,
            names,
            transitions,
        })
    }

    /// Returns the initial state.
    pub fn initial(&self) -> State {
        self.initial
    }

    /// Returns the name of a state.
    pub fn name(&self, state: State) -> &str {
        &self.names[state.0 as usize]
    }

    /// Returns the state with this name.
    pub fn state(&self, name: &str) -> Option<State> {
        let position = self.names.iter().position(|known| &**known == name);
        position.map(|index| State(index as u16))
    }

    /// Performs the transition for `signal`. The state is unchanged if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoTransition`] if the state has no transition for `signal`.
    pub fn step(&self, state: &mut State, signal: &str) -> Result<(), Error> {
        let Some(&next) = self.transitions[state.0 as usize].get(signal) else {
            return Err(Error::NoTransition {
                state: self.names[state.0 as usize].clone(),
                signal: signal.into(),
            });
        };
        *state = next;
        Ok(())
    }
}
