//! Listening sockets like those of a replica on another machine.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Listens on a free loopback port. The loopback device has segments of 64 KB and with them send buffers
/// of megabytes. These connections have the segments of an Ethernet link and a small window, so that a
/// peer that does not read blocks the writer, as on the platform.
pub fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    for (level, name, value) in [
        (IPPROTO_TCP, TCP_MAXSEG, 1_460),
        (SOL_SOCKET, SO_RCVBUF, 8 * 1024),
    ] {
        // SAFETY: the descriptor is open and the option is an integer.
        let set = unsafe { setsockopt(listener.as_raw_fd(), level, name, &value, 4) };
        if set != 0 {
            return Err(io::Error::last_os_error());
        }
    }
    let address = listener.local_addr()?;
    Ok((listener, address))
}
