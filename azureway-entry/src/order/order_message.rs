//! The input of the ordering duty: configurations, loaded weights and its selection.

use std::sync::Arc;

use azureway_core::prelude::{Fleet, LoadReport, ServerId, Timestamp, WeightsVersion};

/// A message to the ordering duty.
#[derive(Clone, Debug)]
pub enum OrderMessage {
    /// A version of the configuration is in effect.
    Configured(Arc<Fleet>),
    /// A backend server reported its load and its weights.
    Report(LoadReport),
    /// A backend server answered a request with these weights.
    WeightsObserved(ServerId, WeightsVersion),
    /// A backend server asked this entry for a pause that ends at this time. A time that has passed
    /// ends the pause.
    Held(ServerId, Timestamp),
    /// Whether this entry instance is one of the few of its availability zone that contend for the
    /// lease.
    Selected(bool),
}
