//! Export and import of KV state.

use coriandercove_base::{Attempt, Layer, ModelId, data};
use coriandercove_target::EngineInfo;

use super::sequence::Sequence;

data! {
    /// State of a sequence as the stand-in exports it.
    #[derive(Eq)]
    pub struct KvState {
        /// The model.
        pub model: ModelId,
        /// Version of the weights.
        pub version: String,
        /// First layer with state.
        pub first_layer: Layer,
        /// Layer after the last one with state.
        pub end_layer: Layer,
        /// Attempt that owned the sequence.
        pub epoch: Attempt,
        /// Inputs of all positions.
        pub inputs: Vec<u64>,
        /// State of each layer after all inputs.
        pub states: Vec<u64>,
    }
}

impl KvState {
    /// The state of a sequence of an engine that holds `info`.
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

    /// Rebuilds the sequence for an engine that holds `info`. Real KV state can only be copied; here
    /// the states are computed again from the inputs, which shows any damage.
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
