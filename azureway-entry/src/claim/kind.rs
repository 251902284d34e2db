//! The names under which claims are stored.

/// Returns the kind of the objects that hold the claims of a shard.
pub(super) fn kind_of(shard: u8) -> String {
    format!("claim-{shard:02x}")
}
