//! How a site's platform spells what it holds.

use azureway_core::prelude::{Error, ListedServer, NamedWeights, SiteDocument};
use azureway_wire::object::ObjectBody;

use super::SiteKind;

/// How a site's platform spells what it holds for the system.
pub trait SiteCodec: Clone + Send + 'static {
    /// Returns the platform's name of a kind.
    fn kind(&self, kind: SiteKind) -> &'static str;

    /// Reads a version of the configuration, or `None` for an object of another purpose.
    ///
    /// # Errors
    ///
    /// Returns an error if the object is no configuration.
    fn document(&self, object: &ObjectBody) -> Result<Option<SiteDocument>, Error>;

    /// Reads the entry of a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if the object names no server that can be used.
    fn server(&self, object: &ObjectBody) -> Result<ListedServer, Error>;

    /// Reads weights that an operator named.
    ///
    /// # Errors
    ///
    /// Returns an error if the object names none.
    fn weights(&self, object: &ObjectBody) -> Result<NamedWeights, Error>;
}
