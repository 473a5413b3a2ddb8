//! Models of the core protocols, which are explored exhaustively.
//!
//! [`list`] returns the models with their properties and mutations, [`run`] explores one. A mutation disables one check
//! of the protocol and must lead to a violated property; otherwise the property would prove nothing.
//! `docs/MODEL.md` maps the rules to the code that implements them.

pub mod claims;
pub mod explore;
pub mod group;
mod intern;
pub mod retry_tokens;
pub mod slot_move;

use derive_more::{Display, Error};

pub use explore::{explore, ActionLabel, Bounds, Exploration, Property, Specification, Trace};

/// The description of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelInfo {
    /// The name of the model, as passed to [`run`].
    pub name: &'static str,
    /// The actions that may happen in the model and its bounds.
    pub description: &'static str,
    /// The properties that must hold in every state.
    pub properties: Vec<Property>,
    /// The checks that can be disabled. Without any one of them, some property is violated.
    pub mutations: Vec<&'static str>,
}

/// A model that can be run. The module of each protocol returns its models from a function `models`.
#[derive(Clone)]
pub struct Model {
    /// The description of the model.
    pub info: ModelInfo,
    /// Explores the model, with one of its mutations or none.
    pub explore: fn(mutation: Option<&str>) -> Exploration,
}

/// Why a model cannot be run.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ModelError {
    /// No model has that name.
    #[display("there is no model {name:?}")]
    UnknownModel {
        /// The requested name.
        name: String,
    },
    /// The model has no mutation of that name.
    #[display("the model {model} has no mutation {mutation:?}")]
    UnknownMutation {
        /// The name of the model.
        model: &'static str,
        /// The requested mutation.
        mutation: String,
    },
}

/// Returns the descriptions of all models.
pub fn list() -> Vec<ModelInfo> {
    all_models().into_iter().map(|model| model.info).collect()
}

/// Explores the model `name`, without the check called `mutation` if one is given.
///
/// # Errors
///
/// Returns [`ModelError`] if there is no such model or mutation.
pub fn run(name: &str, mutation: Option<&str>) -> Result<Exploration, ModelError> {
    let unknown = || ModelError::UnknownModel { name: name.to_owned() };
    let model = all_models().into_iter().find(|model| model.info.name == name).ok_or_else(unknown)?;
    if let Some(mutation) = mutation.filter(|mutation| !model.info.mutations.contains(mutation)) {
        return Err(ModelError::UnknownMutation { model: model.info.name, mutation: mutation.to_owned() });
    }
    Ok((model.explore)(mutation))
}

fn all_models() -> Vec<Model> {
    [claims::models(), group::models(), retry_tokens::models(), slot_move::models()].concat()
}
