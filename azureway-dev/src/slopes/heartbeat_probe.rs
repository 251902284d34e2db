//! Growth of a heartbeat by the news in it.

use azureway_wire::peer::Heartbeat;
use prost::Message;

use super::probe::{Probe, mean_nanos};
use super::{MembershipProbe, Sample};

/// Growth of a heartbeat that tells of 12 accounts by the members that it tells of.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatProbe;

/// The messages that are timed.
const MESSAGES: u32 = 200;

impl Probe for HeartbeatProbe {
    const UNIT: &'static str = "member in a heartbeat";
    const OPERATION: &'static str = "encode and decode the heartbeat";
    const SIZES: [u64; 3] = [0, 8, 51];

    fn measure(size: u64) -> Sample {
        let heartbeat = MembershipProbe::heartbeat(0, size);
        let message = Heartbeat::from(&heartbeat).encoded_len() as u64;
        let time = mean_nanos(MESSAGES, |_| {
            let bytes = Heartbeat::from(&heartbeat).encode_to_vec();
            let decoded = Heartbeat::decode(bytes.as_slice()).ok();
            let decoded =
                decoded.and_then(|h| azureway_core::prelude::Heartbeat::try_from(&h).ok());
            drop(std::hint::black_box(decoded));
        });
        Sample {
            size,
            memory: 0,
            message,
            time,
        }
    }
}
