//! Hearing nothing.

use azureway_core::prelude::{Fleet, ServerId};

use super::Hear;

/// Hears nothing, where backend servers are known by their answers and the platform's list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silence;

impl Hear for Silence {
    fn adopt(&mut self, _: &Fleet) {}

    fn resync(&self, _: &ServerId) {}

    fn stop(&self) {}
}
