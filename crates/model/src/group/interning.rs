//! Numbers for values that come up again and again, so that states are small and steps are computed once.

use std::collections::HashMap;
use std::hash::Hash;
use std::rc::Rc;

/// The values seen so far and their numbers.
#[derive(Debug)]
pub(super) struct Interning<T> {
    numbers: HashMap<Rc<T>, u32>,
    values: Vec<Rc<T>>,
}

impl<T: Eq + Hash> Default for Interning<T> {
    fn default() -> Self {
        Self { numbers: HashMap::new(), values: Vec::new() }
    }
}

impl<T: Eq + Hash> Interning<T> {
    pub fn number(&mut self, value: T) -> u32 {
        if let Some(number) = self.numbers.get(&value) {
            return *number;
        }
        let number = self.values.len() as u32;
        let value = Rc::new(value);
        self.values.push(Rc::clone(&value));
        self.numbers.insert(value, number);
        number
    }

    pub fn value(&self, number: u32) -> Rc<T> {
        Rc::clone(&self.values[number as usize])
    }
}
