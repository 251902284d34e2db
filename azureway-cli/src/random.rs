//! Random IDs and keys.

use std::fs::File;
use std::io::{self, Read};

/// The operating system's source of cryptographically secure random bytes.
const RANDOM_DEVICE: &str = "/dev/urandom";

/// Returns `N` random bytes as hexadecimal digits.
pub(crate) fn hex<const N: usize>() -> io::Result<String> {
    let mut bytes = [0; N];
    File::open(RANDOM_DEVICE)?.read_exact(&mut bytes)?;
    Ok(bytes.iter().map(|b| format!("{b:02x}")).collect())
}
