//! Small specifications of the core protocols, explored exhaustively.
//!
//! [`list`] names the models with their properties and mutations, [`run`] explores one. A mutation takes one check out
//! of the protocol and must lead to a violated property, or the property proves nothing. `docs/MODEL.md` maps the rules
//! to the code that carries them.

pub mod claims;
pub mod explore;
pub mod group;
mod intern;
pub mod retry_tokens;
pub mod slot_move;

use derive_more::{Display, Error};

pub use explore::{explore, ActionLabel, Bounds, Exploration, Property, Specification, Trace};

/// What a model is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelInfo {
    /// The name by which it is run.
    pub name: &'static str,
    /// What may happen in it, and up to where it is explored.
    pub description: &'static str,
    /// The properties that hold in every state.
    pub properties: Vec<Property>,
    /// The checks that can be taken out, each with a violated property as the consequence.
    pub mutations: Vec<&'static str>,
}

/// A model that can be run; each protocol's module gives its models as a `models()` function.
#[derive(Clone)]
pub struct Model {
    /// What it is about.
    pub info: ModelInfo,
    /// Explores it, with one of the named mutations or none.
    pub explore: fn(mutation: Option<&str>) -> Exploration,
}

/// Why a model cannot be run.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ModelError {
    /// No model has that name.
    #[display("there is no model {name:?}")]
    UnknownModel {
        /// The name asked for.
        name: String,
    },
    /// The model has no mutation of that name.
    #[display("the model {model} has no mutation {mutation:?}")]
    UnknownMutation {
        /// The model.
        model: &'static str,
        /// The mutation asked for.
        mutation: String,
    },
}

/// All models.
pub fn list() -> Vec<ModelInfo> {
    registry().into_iter().map(|model| model.info).collect()
}

/// Explores the model `name`, with the check called `mutation` taken out, if one is named.
///
/// # Errors
///
/// Returns [`ModelError`] if there is no such model or mutation.
pub fn run(name: &str, mutation: Option<&str>) -> Result<Exploration, ModelError> {
    let unknown = || ModelError::UnknownModel { name: name.to_owned() };
    let model = registry().into_iter().find(|model| model.info.name == name).ok_or_else(unknown)?;
    if let Some(mutation) = mutation.filter(|mutation| !model.info.mutations.contains(mutation)) {
        return Err(ModelError::UnknownMutation { model: model.info.name, mutation: mutation.to_owned() });
    }
    Ok((model.explore)(mutation))
}

fn registry() -> Vec<Model> {
    [claims::models(), group::models(), retry_tokens::models(), slot_move::models()].concat()
}
