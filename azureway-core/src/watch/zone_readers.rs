//! Selection of the entries that read the platform for their availability zone.

use super::EntrySelector;
use crate::domain::{InstanceId, PrefixKey, ServerId};
use crate::route::Rendezvous;

/// Selects the entries of a zone that read the platform, and the one of them that another entry asks.
///
/// Every entry computes the same readers from the same live entries. An entry whose readers do not answer
/// reads the platform itself, so no bound depends on the selection.
#[derive(Clone, Copy, Debug)]
pub struct ZoneReaders;

/// The number of entries of a zone that read the platform. A second one goes on while the first is replaced.
const COUNT: usize = 2;
/// The seed of the selection.
const SEED: u128 = u128::from_be_bytes(*b"platform readers");
/// The selector of the readers.
const READERS: EntrySelector = EntrySelector::new(COUNT, SEED);

impl ZoneReaders {
    /// Returns the reader that `me` asks among `live`, the live entries of its zone, or `None` if it is a
    /// reader itself. Another `attempt` asks another reader.
    pub fn choose<'a>(
        me: &'a InstanceId,
        live: &'a [InstanceId],
        attempt: usize,
    ) -> Option<&'a InstanceId> {
        let readers = READERS.select(me, live);
        if readers.contains(&me) {
            return None;
        }
        let spread = Rendezvous::new(PrefixKey::new(SEED));
        let offset = spread.weight(&ServerId::new(me.as_str())) as usize;
        readers.get(offset.wrapping_add(attempt) % COUNT).copied()
    }
}
