//! Measures for the scaling table how a heartbeat grows with its member updates.

use azureway_wire::peer::Heartbeat;
use prost::Message;

use super::probe::{Probe, mean_nanos};
use super::{MembershipProbe, Sample};

/// Measures the size and the codec time of a heartbeat with the demand of 12 accounts by the number
/// of its member updates.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatProbe;

/// The number of timed messages.
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
