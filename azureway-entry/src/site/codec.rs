//! The definitions by which a site is watched: the kinds and formats of its platform objects.

use azureway_core::prelude::{Error, ListedServer, NamedWeights, SiteDocument};
use azureway_wire::object::ObjectBody;

use super::SiteKind;

/// Decodes the objects that a site's platform holds for the system.
pub trait SiteCodec: Clone + Send + 'static {
    /// Returns the platform's name for `kind`.
    fn kind(&self, kind: SiteKind) -> &'static str;

    /// Decodes a version of the configuration. Returns `None` if the object has another purpose.
    ///
    /// # Errors
    ///
    /// Returns an error if the object is not a valid configuration.
    fn document(&self, object: &ObjectBody) -> Result<Option<SiteDocument>, Error>;

    /// Decodes the object that lists a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if the object does not describe a usable server.
    fn server(&self, object: &ObjectBody) -> Result<ListedServer, Error>;

    /// Decodes the weights that an operator named.
    ///
    /// # Errors
    ///
    /// Returns an error if the object names no weights.
    fn weights(&self, object: &ObjectBody) -> Result<NamedWeights, Error>;
}
