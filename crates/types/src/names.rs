//! Validated names of the entities in a configuration.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The maximum length of a name, in bytes.
pub const MAXIMUM_NAME_LENGTH: usize = 64;

/// Why a string is not a valid name.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum NameError {
    /// The name is empty.
    #[display("a name must not be empty")]
    Empty,
    /// The name is longer than [`MAXIMUM_NAME_LENGTH`].
    #[display("a name must not be longer than {MAXIMUM_NAME_LENGTH} bytes")]
    TooLong,
    /// The name contains a character outside `a-z A-Z 0-9 - _ .`.
    #[display("the character {character:?} is not allowed in a name; use letters, digits, '-', '_' and '.'")]
    Character {
        /// The first character that is not allowed.
        character: char,
    },
}

fn validate(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAXIMUM_NAME_LENGTH {
        return Err(NameError::TooLong);
    }
    let allowed = |character: char| character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.');
    match text.chars().find(|character| !allowed(*character)) {
        Some(character) => Err(NameError::Character { character }),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `text` and creates a name from it.
            ///
            /// # Errors
            ///
            /// Returns an error if the text is not a valid name.
            pub fn new(text: &str) -> Result<Self, NameError> {
                validate(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }
    };
}

name_type!(
    /// A deployment: one fleet with its own configuration document and key.
    DeploymentName
);
name_type!(
    /// A site (data centre).
    SiteName
);
name_type!(
    /// A zone inside a site.
    ZoneName
);
name_type!(
    /// A service: a set of interchangeable targets.
    ServiceName
);
name_type!(
    /// A class of calls of one service.
    ClassName
);
name_type!(
    /// A caller as identified by the edge: by its address, or by the name it authenticated with.
    CallerName
);
name_type!(
    /// The id of a plan: a hash over the plan's contents and the state that it is based on.
    PlanId
);
