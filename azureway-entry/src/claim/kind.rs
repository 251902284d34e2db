//! Names of the platform's object kinds that hold claims, one for each shard.

/// Returns the kind of the objects that store the claims of a shard.
pub(super) fn kind_of(shard: u8) -> String {
    format!("claim-{shard:02x}")
}
