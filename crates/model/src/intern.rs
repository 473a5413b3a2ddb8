//! Gives equal values one small number, so that states of the world are small and quickly compared.

use std::collections::HashMap;
use std::hash::Hash;
use std::rc::Rc;

/// The number of a value in its [`Interner`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InternedId(pub u32);

/// All values of one kind that came up in an exploration.
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
    /// The number of `value`, a new one if it did not come up before.
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

    /// The value of a number that [`Interner::id`] gave.
    pub fn value(&self, id: InternedId) -> Rc<T> {
        Rc::clone(&self.values[id.0 as usize])
    }
}

/// A set of interned values that only grows.
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

    /// The values in ascending order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = InternedId> + '_ {
        self.0.iter().enumerate().flat_map(|(word, bits)| {
            (0..64).filter(move |bit| bits >> bit & 1 == 1).map(move |bit| InternedId(word as u32 * 64 + bit))
        })
    }
}
