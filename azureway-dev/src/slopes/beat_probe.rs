//! Growth of a heartbeat by the news in it.

use azureway_wire::peer::Heartbeat;
use prost::Message;

use super::probe::{Probe, time_of};
use super::{MemberProbe, Sample};

/// Growth of a heartbeat that tells of 12 accounts by the members that it tells of.
#[derive(Clone, Copy, Debug)]
pub struct BeatProbe;

/// The messages that are timed.
const MESSAGES: u32 = 200;

impl Probe for BeatProbe {
    const UNIT: &'static str = "member in a heartbeat";
    const OPERATION: &'static str = "encode and decode the heartbeat";
    const SIZES: [u64; 3] = [0, 8, 51];

    fn measure(size: u64) -> Sample {
        let beat = MemberProbe::heartbeat(0, size);
        let message = Heartbeat::from(&beat).encoded_len() as u64;
        let time = time_of(MESSAGES, |_| {
            let bytes = Heartbeat::from(&beat).encode_to_vec();
            let read = Heartbeat::decode(bytes.as_slice()).ok();
            let read = read.and_then(|b| azureway_core::prelude::Heartbeat::try_from(&b).ok());
            drop(std::hint::black_box(read));
        });
        Sample {
            size,
            memory: 0,
            message,
            time,
        }
    }
}
