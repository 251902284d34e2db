//! The settings file of the entry daemon: its types and its parser.

mod bounds;
mod entry_settings;
mod parse;
mod site_settings;

pub use bounds::Bounds;
pub use entry_settings::EntrySettings;
pub use parse::parse;
pub use site_settings::SiteSettings;
