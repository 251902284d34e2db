//! A replica, as a small fake.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::*;

use crate::store::SERVICE;

/// What a replica keeps its parts under: the text that the try carried.
type Text = (u128, u64);

/// The time between two beats of a replica.
pub const BEAT: Duration = Duration::from_millis(1_200);

/// A replica.
#[derive(Debug)]
pub struct Replica {
    pub id: ServerId,
    pub address: SocketAddr,
    pub life: u64,
    pub weights: WeightsVersion,
    pub leaving: bool,
    /// When it tells the store of itself next.
    pub beat: Timestamp,
    /// When it is up again after a crash.
    pub down: Option<Timestamp>,
    /// For each text and prompt: the account that made the part, and under which weights.
    pub parts: BTreeMap<(Text, usize), (usize, WeightsVersion)>,
}

impl Replica {
    /// Creates a replica at the address of place `place`, with the newest weights.
    pub fn new(name: &str, place: usize, life: u64, weights: WeightsVersion) -> Self {
        let port = 9_000 + u16::try_from(place).expect("a port");
        Self {
            id: ServerId::new(name),
            address: ([127, 0, 0, 1], port).into(),
            life,
            weights,
            leaving: false,
            beat: Timestamp::ZERO,
            down: None,
            parts: BTreeMap::new(),
        }
    }

    /// Returns its entry in the platform's list.
    pub fn entry(&self) -> ListedServer {
        ListedServer {
            id: self.id.clone(),
            service: ServiceId::new(SERVICE),
            address: self.address,
            zone: ZoneId::new("a"),
            slots: 4,
            leaving: self.leaving,
            incarnation: Incarnation::new(self.life),
            weights: Some(self.weights),
        }
    }
}

/// Returns the text that a try carries to its replica.
pub fn text(order: &Dispatch) -> Text {
    (order.salt.number(), order.weights.get())
}
