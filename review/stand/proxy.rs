//! A link whose connections can be reset.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::socket::reset_on_close;

/// How long a read waits before it looks whether the link is cut.
const LOOK: Duration = Duration::from_millis(1);

/// Listens on a free loopback port and passes connections on to `target`. While `cut` is set, it resets every
/// second one of the connections that are open; new ones work.
pub fn shaky_link(target: SocketAddr, cut: Arc<AtomicBool>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for (number, near) in listener.incoming().flatten().enumerate() {
            let sound = number % 2 == 0 || cut.load(Ordering::Relaxed);
            let cut = if sound { Arc::default() } else { cut.clone() };
            thread::spawn(move || pass(near, target, cut));
        }
    });
    Ok(address)
}

fn pass(near: TcpStream, target: SocketAddr, cut: Arc<AtomicBool>) -> io::Result<()> {
    let far = TcpStream::connect(target)?;
    for stream in [&near, &far] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LOOK))?;
    }
    let (near_copy, far_copy, cut_copy) = (near.try_clone()?, far.try_clone()?, cut.clone());
    let back = thread::spawn(move || copy(&far_copy, &near_copy, &cut_copy));
    copy(&near, &far, &cut);
    let _ = back.join();
    if cut.load(Ordering::Relaxed) {
        reset_on_close(&near);
        reset_on_close(&far);
    }
    Ok(())
}

fn copy(mut from: &TcpStream, mut to: &TcpStream, cut: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    while !cut.load(Ordering::Relaxed) {
        match from.read(&mut buffer) {
            Ok(0) => {
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
            // What was on its way as the link was cut is lost.
            Ok(_) if cut.load(Ordering::Relaxed) => return,
            Ok(count) if to.write_all(&buffer[..count]).is_ok() => {}
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) => {}
            _ => return,
        }
    }
}
