//! An interpreter for state charts that are kept as JSON files.
//!
//! A chart lists states and, for each, which signal leads where. The file stands beside the module
//! that uses it (`include_str!`), so that the chart can be read, drawn and reviewed by itself.
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

/// A parsed and checked chart.
#[derive(Debug, Clone)]
pub struct Chart {
    initial: State,
    names: Vec<Arc<str>>,
    steps: Vec<BTreeMap<Arc<str>, State>>,
}

crate::key! {
    /// A state of one chart.
    pub struct State(u16);
}

/// Why a chart could not be read, or a step could not be taken.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The file is not a chart.
    #[snafu(display("not a state chart: {reason}"))]
    Malformed {
        /// What the JSON reader said.
        reason: Arc<str>,
    },
    /// A step leads to a state that the chart does not have.
    #[snafu(display("state chart names an unknown state {state}"))]
    UnknownState {
        /// The missing state.
        state: Arc<str>,
    },
    /// The state has no step for the signal.
    #[snafu(display("state {state} has no step for {signal}"))]
    NoTransition {
        /// The present state.
        state: Arc<str>,
        /// The refused signal.
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
    /// Reads a chart and checks that every step leads to a state it has.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] or [`Error::UnknownState`].
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
        let mut steps = Vec::with_capacity(names.len());
        for entry in file.states.values() {
            let mut targets = BTreeMap::new();
            for (signal, target) in &entry.on {
                targets.insert(signal.clone(), find(target)?);
            }
            steps.push(targets);
        }
        let initial = find(&file.initial)?;
        Ok(Self {
            initial,
            names,
            steps,
        })
    }

    /// The state in which everything starts.
    pub fn initial(&self) -> State {
        self.initial
    }

    /// The name of a state.
    pub fn name(&self, state: State) -> &str {
        &self.names[state.0 as usize]
    }

    /// The state of that name.
    pub fn state(&self, name: &str) -> Option<State> {
        let position = self.names.iter().position(|known| &**known == name);
        position.map(|index| State(index as u16))
    }

    /// Takes the step that `signal` asks for; the state stays as it was when there is none.
    ///
    /// # Errors
    ///
    /// [`Error::NoTransition`].
    pub fn step(&self, state: &mut State, signal: &str) -> Result<(), Error> {
        let Some(&next) = self.steps[state.0 as usize].get(signal) else {
            return Err(Error::NoTransition {
                state: self.names[state.0 as usize].clone(),
                signal: signal.into(),
            });
        };
        *state = next;
        Ok(())
    }
}
