//! Listening sockets like those of a replica on another machine.

use std::ffi::c_void;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const c_void, length: u32) -> i32;
}

const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;

/// The value of `SO_LINGER`.
#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

fn set_option<T>(socket: &impl AsRawFd, level: i32, name: i32, value: &T) -> io::Result<()> {
    let (pointer, length) = (std::ptr::from_ref(value).cast(), size_of::<T>() as u32);
    // SAFETY: the descriptor is open, and the value has the length that is given.
    let set = unsafe { setsockopt(socket.as_raw_fd(), level, name, pointer, length) };
    if set == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

/// Lets a connection be reset when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = set_option(stream, SOL_SOCKET, SO_LINGER, &Linger { on: 1, seconds: 0 });
}

/// Listens on a free loopback port. The loopback device has segments of 64 KB and with them send buffers
/// of megabytes. These connections have the segments of an Ethernet link and a small window, so that a
/// peer that does not read blocks the writer, as on the platform.
pub fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    set_option(&listener, IPPROTO_TCP, TCP_MAXSEG, &1_460_i32)?;
    set_option(&listener, SOL_SOCKET, SO_RCVBUF, &8_192_i32)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
