//! Selection of the entries that read the platform for their availability zone.

use smallvec::SmallVec;

use super::EntrySelector;
use crate::domain::{InstanceId, PrefixKey, ServerId};
use crate::route::Rendezvous;

/// Selects the entries of a zone that read the platform, and the one of them that another entry asks.
///
/// Every entry computes the same readers from the same live entries. In a small zone one reads and the
/// other stands by: it reads from the moment at which the first does not answer it. An entry whose readers
/// do not answer reads the platform itself, so no bound depends on the selection.
#[derive(Clone, Copy, Debug)]
pub struct ZoneReaders;

/// The number of entries of a zone that read the platform or stand by.
const COUNT: usize = 2;
/// The largest number of other entries of a zone that one reader answers.
const MAX_ASKERS: usize = 24;
/// The seed of the selection.
const SEED: u128 = u128::from_be_bytes(*b"platform readers");
/// The selector of the readers.
const READERS: EntrySelector = EntrySelector::new(COUNT, SEED);

/// The number of entries that an entry which has lost the platform asks by turns.
const OTHERS: usize = 4;

impl ZoneReaders {
    /// Returns the entry that `me` asks when it cannot reach the platform itself: one of a few of
    /// `near`, the other live entries of its zone, and else of `far`, those of other zones. Another
    /// `attempt` asks another one.
    pub fn choose_other<'a>(
        me: &InstanceId,
        near: &'a [InstanceId],
        far: &'a [InstanceId],
        attempt: usize,
    ) -> Option<&'a InstanceId> {
        let spread = Rendezvous::new(PrefixKey::new(SEED));
        let offset = spread.weight(&ServerId::new(me.as_str())) as usize;
        let turned = |all: &'a [InstanceId]| {
            let start = offset.checked_rem(all.len()).unwrap_or_default();
            all[start..].iter().chain(&all[..start])
        };
        let others: SmallVec<[_; OTHERS]> = turned(near).chain(turned(far)).take(OTHERS).collect();
        let position = attempt.checked_rem(others.len())?;
        Some(others[position])
    }

    /// Returns the reader that `me` asks among `live`, the live entries of its zone, or `None` if it reads
    /// the platform itself. Another `attempt` asks another reader.
    pub fn choose<'a>(
        me: &'a InstanceId,
        live: &'a [InstanceId],
        attempt: usize,
    ) -> Option<&'a InstanceId> {
        let readers = READERS.select(me, live);
        let spread = Rendezvous::new(PrefixKey::new(SEED));
        let both = live.iter().filter(|id| *id != me).count() > MAX_ASKERS;
        // The first reader reads whatever has failed, so that no two entries wait for one another.
        if readers.first() == Some(&me) || (both && readers.contains(&me)) {
            return None;
        }
        let offset = match both {
            true => spread.weight(&ServerId::new(me.as_str())) as usize,
            false => 0,
        };
        let reader = readers.get(offset.wrapping_add(attempt) % readers.len())?;
        (*reader != me).then_some(*reader)
    }
}
