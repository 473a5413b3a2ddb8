//! The fleet keys. A node accepts several keys and signs with one, so that keys can be rotated without downtime.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The minimum length of a secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 32;

/// The number of a key, which the operator assigns.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u32);

/// A secret shared by all nodes of a fleet.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey {
    /// The key number.
    pub id: KeyId,
    /// The secret bytes.
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The secret must never be logged.
        write!(formatter, "FleetKey({})", self.id)
    }
}

/// Why a set of keys is invalid.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum KeySetError {
    /// The sending key is not among the accepted keys.
    #[display("the sending key {id} is not among the accepted keys")]
    SendingKeyMissing {
        /// The key number.
        id: KeyId,
    },
    /// A secret is shorter than [`MIN_SECRET_BYTES`].
    #[display("the secret of key {id} is shorter than {MIN_SECRET_BYTES} bytes")]
    SecretTooShort {
        /// The key number.
        id: KeyId,
    },
}

/// The keys that a node accepts, and the sending key, which signs its own frames.
#[derive(Clone, Debug)]
pub struct FleetKeys {
    accepted: BTreeMap<KeyId, FleetKey>,
    sending_key_id: KeyId,
}

impl FleetKeys {
    /// Creates a set of keys.
    ///
    /// # Errors
    ///
    /// Returns an error if the sending key is missing or a secret is too short.
    pub fn new(accepted: Vec<FleetKey>, sending_key_id: KeyId) -> Result<Self, KeySetError> {
        if let Some(short) = accepted.iter().find(|key| key.secret.len() < MIN_SECRET_BYTES) {
            return Err(KeySetError::SecretTooShort { id: short.id });
        }
        let accepted: BTreeMap<KeyId, FleetKey> = accepted.into_iter().map(|key| (key.id, key)).collect();
        if !accepted.contains_key(&sending_key_id) {
            return Err(KeySetError::SendingKeyMissing { id: sending_key_id });
        }
        Ok(FleetKeys { accepted, sending_key_id })
    }

    /// The number of the sending key.
    pub fn sending_key_id(&self) -> KeyId {
        self.sending_key_id
    }

    /// Returns the authentication tag of `bytes` under the sending key.
    pub fn sign(&self, bytes: &[u8]) -> Vec<u8> {
        self.mac(self.sending_key_id)
            .map(|mut mac| {
                mac.update(bytes);
                mac.finalize().into_bytes().to_vec()
            })
            .unwrap_or_default()
    }

    /// Whether `tag` is the tag of `bytes` under the key `id`; `None` if the key is not accepted.
    pub fn verify(&self, id: KeyId, bytes: &[u8], tag: &[u8]) -> Option<bool> {
        let mut mac = self.mac(id)?;
        mac.update(bytes);
        Some(mac.verify_slice(tag).is_ok())
    }

    fn mac(&self, id: KeyId) -> Option<Hmac<Sha256>> {
        let key = self.accepted.get(&id)?;
        Hmac::<Sha256>::new_from_slice(&key.secret).ok()
    }
}
