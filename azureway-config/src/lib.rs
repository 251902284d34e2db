//! The settings of the entry daemon and the operators' document, both in INI format.
//!
//! A text is always parsed to the end before anything takes effect. Every fault is reported, with
//! its line, its section, its key and what was expected.
//!
//! # Example
//!
//! ```
//! use azureway_config::document;
//! use azureway_core::prelude::ConfigVersion;
//!
//! let text = "[pool main]\nloads = 2\n";
//! let fleet = document::parse(text, ConfigVersion::new(1)).unwrap();
//! assert_eq!(fleet.pools.len(), 1);
//!
//! let faults = document::parse("[pool main]\nload = 2\n", ConfigVersion::new(1)).unwrap_err();
//! assert!(faults.to_string().contains("did you mean `loads`"));
//! ```

pub mod document;
pub mod ini;
pub mod settings;
mod util;

pub use util::nearest;
