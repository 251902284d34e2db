//! Reading of a request body within the bound on the memory of all of them.

use std::io::{self, Read};

use crate::exchange::BodyReservation;

/// A reader that reserves memory for what it reads, and fails when there is none left.
#[derive(Debug)]
pub struct ReservedReader<R> {
    source: R,
    reservation: BodyReservation,
}

impl<R> ReservedReader<R> {
    /// Creates a reader of `source` that adds what it reads to `reservation`.
    pub const fn new(source: R, reservation: BodyReservation) -> Self {
        Self {
            source,
            reservation,
        }
    }

    /// Returns the source and the reservation of what was read.
    pub fn into_parts(self) -> (R, BodyReservation) {
        (self.source, self.reservation)
    }
}

impl<R: Read> Read for ReservedReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.source.read(buffer)?;
        match self.reservation.grow(count) {
            true => Ok(count),
            false => Err(io::ErrorKind::OutOfMemory.into()),
        }
    }
}
