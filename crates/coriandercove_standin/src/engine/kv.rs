//! Export and import of the KV state of a sequence between engine stand-ins.

use coriandercove_base::{Attempt, Layer, ModelId, data};
use coriandercove_target::EngineInfo;

use super::sequence::Sequence;

data! {
    /// KV state of a sequence as the stand-in exports it; body of `/v1/sequences/{seq}/kv`.
    #[derive(Eq)]
    pub struct KvState {
        /// Model that computed the state.
        pub model: ModelId,
        /// Version of the weights.
        pub version: String,
        /// First layer with state.
        pub first_layer: Layer,
        /// Layer after the last one with state.
        pub end_layer: Layer,
        /// Attempt that owned the sequence at the export.
        pub epoch: Attempt,
        /// Inputs of all positions, from position 0.
        pub inputs: Vec<u64>,
        /// State of each layer after all inputs.
        pub states: Vec<u64>,
    }
}

impl KvState {
    /// Exports a sequence of an engine that holds `info`.
    pub fn export(info: &EngineInfo, sequence: &Sequence) -> Self {
        Self {
            model: info.model.clone(),
            version: info.version.clone(),
            first_layer: sequence.first_layer(),
            end_layer: info.end_layer,
            epoch: sequence.epoch,
            inputs: sequence.inputs().to_vec(),
            states: sequence.states().to_vec(),
        }
    }

    /// Imports the sequence into an engine that holds `info`. A real engine copies the KV state;
    /// the stand-in computes the states again from the inputs and refuses state that differs, which
    /// detects any damage on the way.
    pub fn import(&self, info: &EngineInfo) -> Result<Sequence, String> {
        if (&self.model, &self.version) != (&info.model, &info.version) {
            return Err("state of another model or version".to_owned());
        }
        let held = (info.first_layer..info.end_layer).contains(&self.first_layer);
        if !held || self.end_layer != info.end_layer {
            return Err("state of other layers".to_owned());
        }
        if self.inputs.len() as u64 > info.kv_capacity_tokens {
            return Err("more positions than the memory holds".to_owned());
        }
        let mut sequence = Sequence::new(self.epoch, self.first_layer, self.end_layer);
        sequence.extend(&self.inputs);
        if sequence.states() != self.states {
            return Err("damaged state".to_owned());
        }
        Ok(sequence)
    }
}
