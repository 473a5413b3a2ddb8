//! The fleet's keys: several are accepted, one is used for sending, so that keys can be rotated without a pause.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The shortest secret accepted, in bytes.
pub const MIN_SECRET_BYTES: usize = 32;

/// The number of a key, chosen by the operator.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u32);

/// A secret shared by all nodes of a fleet.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey {
    /// The key's number.
    pub id: KeyId,
    /// The secret bytes.
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The secret must never reach a log.
        write!(formatter, "FleetKey({})", self.id)
    }
}

/// Why a set of keys is unusable.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum KeySetError {
    /// The key used for sending is not in the set.
    #[display("the sending key {id} is not among the accepted keys")]
    SendingKeyMissing {
        /// The key's number.
        id: KeyId,
    },
    /// A secret is shorter than [`MIN_SECRET_BYTES`].
    #[display("the secret of key {id} is shorter than {MIN_SECRET_BYTES} bytes")]
    SecretTooShort {
        /// The key's number.
        id: KeyId,
    },
}

/// The keys that a node accepts and the one that it sends with.
#[derive(Clone, Debug)]
pub struct FleetKeys {
    accepted: BTreeMap<KeyId, FleetKey>,
    sending: KeyId,
}

impl FleetKeys {
    /// Checks the keys and makes a set of them.
    ///
    /// # Errors
    ///
    /// Returns an error if the sending key is missing or a secret is too short.
    pub fn new(accepted: Vec<FleetKey>, sending: KeyId) -> Result<Self, KeySetError> {
        if let Some(short) = accepted.iter().find(|key| key.secret.len() < MIN_SECRET_BYTES) {
            return Err(KeySetError::SecretTooShort { id: short.id });
        }
        let accepted: BTreeMap<KeyId, FleetKey> = accepted.into_iter().map(|key| (key.id, key)).collect();
        if !accepted.contains_key(&sending) {
            return Err(KeySetError::SendingKeyMissing { id: sending });
        }
        Ok(FleetKeys { accepted, sending })
    }

    /// The number of the key used for sending.
    pub fn sending_key_id(&self) -> KeyId {
        self.sending
    }

    /// The authentication tag of `bytes` under the sending key.
    pub fn sign(&self, bytes: &[u8]) -> Vec<u8> {
        self.state(self.sending)
            .map(|mut state| {
                state.update(bytes);
                state.finalize().into_bytes().to_vec()
            })
            .unwrap_or_default()
    }

    /// Whether `tag` is the tag of `bytes` under the accepted key `id`; `None` if the key is not accepted.
    pub fn verify(&self, id: KeyId, bytes: &[u8], tag: &[u8]) -> Option<bool> {
        let mut state = self.state(id)?;
        state.update(bytes);
        Some(state.verify_slice(tag).is_ok())
    }

    fn state(&self, id: KeyId) -> Option<Hmac<Sha256>> {
        let key = self.accepted.get(&id)?;
        Hmac::<Sha256>::new_from_slice(&key.secret).ok()
    }
}
