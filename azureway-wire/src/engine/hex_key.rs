//! The key of a block as a hexadecimal number.

use azureway_core::prelude::BlockKey;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The key of a block, which messages hold as a hexadecimal number of at most 128 bits. It is decoded with its
/// message, so that no text is kept for each key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HexKey(pub BlockKey);

impl Serialize for HexKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{:x}", self.0.get()))
    }
}

impl<'de> Deserialize<'de> for HexKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let digits = String::deserialize(deserializer)?;
        let number = u128::from_str_radix(&digits, 16).map_err(D::Error::custom)?;
        Ok(Self(BlockKey::new(number)))
    }
}
