//! Which models are loaded, the engine's role, and the fencing number of the last order.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::{Value, json};

use super::problem::Problem;

/// The state of one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Loading { load: u64 },
    Loaded,
}

/// The models of an engine.
pub(super) struct Models {
    stages: BTreeMap<Arc<str>, Stage>,
    failed: BTreeMap<Arc<str>, Arc<str>>,
    role: Arc<str>,
    highest: u64,
    loads: u64,
}

impl Models {
    pub(super) fn new(loaded: &[Arc<str>]) -> Self {
        let loaded = loaded.iter().map(|model| (model.clone(), Stage::Loaded));
        Self {
            stages: loaded.collect(),
            failed: BTreeMap::new(),
            role: "mixed".into(),
            highest: 0,
            loads: 0,
        }
    }

    pub(super) fn is_loaded(&self, model: &str) -> bool {
        self.stages.get(model) == Some(&Stage::Loaded)
    }

    /// Notes an order's fencing number.
    ///
    /// An engine that does not check takes any number, and what it reports as the number is that of the last
    /// order, old or not.
    pub(super) fn fence(&mut self, number: u64, checks: bool) -> Result<(), Problem> {
        if checks && number < self.highest {
            let highest = self.highest;
            return Err(Problem::StaleFencing { highest });
        }
        self.highest = number;
        Ok(())
    }

    /// Begins a load and returns its number; `None` when the model is loaded or loading already.
    pub(super) fn begin_load(
        &mut self,
        model: &Arc<str>,
        room: usize,
    ) -> Result<Option<u64>, Problem> {
        if self.stages.contains_key(model) {
            return Ok(None);
        }
        if self.stages.len() >= room {
            return Err(Problem::NoRoom);
        }
        self.loads += 1;
        self.failed.remove(model);
        let stage = Stage::Loading { load: self.loads };
        self.stages.insert(model.clone(), stage);
        Ok(Some(self.loads))
    }

    /// Ends a load, unless the model was unloaded or loaded anew meanwhile.
    pub(super) fn end_load(&mut self, model: &Arc<str>, load: u64, outcome: Result<(), Arc<str>>) {
        if self.stages.get(model) != Some(&Stage::Loading { load }) {
            return;
        }
        match outcome {
            Ok(()) => {
                self.stages.insert(model.clone(), Stage::Loaded);
            }
            Err(reason) => {
                self.stages.remove(model);
                self.failed.insert(model.clone(), reason);
            }
        }
    }

    pub(super) fn unload(&mut self, model: &str) {
        self.stages.remove(model);
    }

    pub(super) fn set_role(&mut self, role: Arc<str>) {
        self.role = role;
    }

    /// Loaded models as model clients know the list, with what an order's sender reads back besides.
    pub(super) fn to_json(&self) -> Value {
        let of = |wanted: fn(&Stage) -> bool| {
            let matching = self.stages.iter().filter(move |(_, stage)| wanted(stage));
            matching.map(|(model, _)| model.clone())
        };
        let loaded = of(|stage| *stage == Stage::Loaded);
        let entries: Vec<Value> = loaded
            .map(|model| json!({"id": model, "object": "model", "owned_by": "engine"}))
            .collect();
        let loading: Vec<Arc<str>> = of(|stage| *stage != Stage::Loaded).collect();
        json!({
            "object": "list",
            "data": entries,
            "loading": loading,
            "failed": self.failed,
            "role": self.role,
            "fencing_number": self.highest,
        })
    }
}
