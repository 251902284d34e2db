//! A simulated platform with the object API.

mod faults;
mod platform_service;
mod store;

pub use faults::PlatformFaults;
pub use platform_service::Platform;
pub use store::Store;
