//! Interning of [`KeyedCalls`] values to save memory.
//!
//! A step of a search usually changes one instance only, so most states of a search can
//! share the values of the other instances.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

use jayreel_programs::KeyedCalls;

thread_local! {
    static INTERNED: RefCell<HashSet<Rc<KeyedCalls>>> = RefCell::default();
}

/// Returns the interned value that equals `instance`, and interns `instance` if there is
/// none. The set of known values is thread-local and is never cleared.
pub(crate) fn intern(instance: &Rc<KeyedCalls>) -> Rc<KeyedCalls> {
    INTERNED.with_borrow_mut(|interned_values| match interned_values.get(instance) {
        Some(interned) => Rc::clone(interned),
        None => {
            interned_values.insert(Rc::clone(instance));
            Rc::clone(instance)
        }
    })
}
