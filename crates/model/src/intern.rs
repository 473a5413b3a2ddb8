//! Interns values: equal values have the same small ID, so that states are small and cheap to compare.

use std::collections::HashMap;
use std::hash::Hash;
use std::rc::Rc;

/// The ID of a value in its [`Interner`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InternedId(pub u32);

/// All values of one type that an exploration has reached.
#[derive(Debug)]
pub struct Interner<T> {
    ids: HashMap<Rc<T>, InternedId>,
    values: Vec<Rc<T>>,
}

impl<T: Eq + Hash> Default for Interner<T> {
    fn default() -> Self {
        Interner { ids: HashMap::new(), values: Vec::new() }
    }
}

impl<T: Eq + Hash> Interner<T> {
    /// Returns the ID of `value`, a new one if it was not interned before.
    pub fn id(&mut self, value: T) -> InternedId {
        if let Some(id) = self.ids.get(&value) {
            return *id;
        }
        let id = InternedId(u32::try_from(self.values.len()).unwrap_or(u32::MAX));
        let value = Rc::new(value);
        self.values.push(Rc::clone(&value));
        self.ids.insert(value, id);
        id
    }

    /// Returns the value of an ID that [`Interner::id`] has returned.
    pub fn value(&self, id: InternedId) -> Rc<T> {
        Rc::clone(&self.values[id.0 as usize])
    }
}

/// A set of interned values, stored as a bit set. Values are never removed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InternedSet(Vec<u64>);

impl InternedSet {
    /// Adds a value.
    pub fn insert(&mut self, id: InternedId) {
        let (word, bit) = (id.0 as usize / 64, id.0 % 64);
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        self.0[word] |= 1 << bit;
    }

    /// Whether the value is in the set.
    pub fn contains(&self, id: InternedId) -> bool {
        self.0.get(id.0 as usize / 64).is_some_and(|word| word >> (id.0 % 64) & 1 == 1)
    }

    /// Returns the IDs of the values in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = InternedId> + '_ {
        self.0.iter().enumerate().flat_map(|(word, bits)| {
            (0..64).filter(move |bit| bits >> bit & 1 == 1).map(move |bit| InternedId(word as u32 * 64 + bit))
        })
    }
}
