//! Definitions that all tests of the package share.
use oakhollow_lease::{Document, Micros, Version};
use std::sync::Arc;

/// How long a lease holder counts its lease as valid.
pub const LEASE_DURATION: Micros = Micros(400);

pub fn version(number: u64) -> Version {
    Version { epoch: 0, number, hash: number }
}

pub fn document(number: u64) -> Document {
    Document { version: version(number), text: Arc::from("") }
}
