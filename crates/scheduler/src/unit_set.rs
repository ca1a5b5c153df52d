//! Sets of units of a step, as they are stored.

use base64::Engine;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

/// Indices of units, one bit each, the lowest bit of each byte first. Stored as base64, without the
/// zero bytes at the end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnitSet {
    bytes: Vec<u8>,
}

impl UnitSet {
    /// Adds the index of a unit.
    pub fn insert(&mut self, index: usize) {
        let byte = index / 8;
        if byte >= self.bytes.len() {
            self.bytes.resize(byte + 1, 0);
        }
        self.bytes[byte] |= 1 << (index % 8);
    }

    /// Returns the indices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> {
        let bits = |(byte, bits): (usize, &u8)| {
            let bits = *bits;
            (0..8).filter(move |bit| bits & (1 << bit) != 0).map(move |bit| byte * 8 + bit)
        };
        self.bytes.iter().enumerate().flat_map(bits)
    }

    /// Returns the length of the stored form of a set of units of a step with `count` units, in
    /// bytes.
    pub fn stored_bytes_max(count: usize) -> usize {
        count.div_ceil(8).div_ceil(3) * 4
    }
}

impl FromIterator<usize> for UnitSet {
    fn from_iter<T: IntoIterator<Item = usize>>(indices: T) -> Self {
        let mut set = Self::default();
        indices.into_iter().for_each(|index| set.insert(index));
        set
    }
}

impl Serialize for UnitSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD_NO_PAD.encode(&self.bytes))
    }
}

impl<'de> Deserialize<'de> for UnitSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = BASE64_STANDARD_NO_PAD.decode(text).map_err(D::Error::custom)?;
        Ok(Self { bytes })
    }
}
