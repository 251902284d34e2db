//! Runs an entry daemon inside the developers' program and the tests.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

use anyhow::{Context, Result};
use azureway_config::settings::EntrySettings;
use azureway_core::prelude::ConfigVersion;
use azureway_entry::daemon::Entry;

/// A running entry daemon, which an operator can shut down while the rest of the system runs.
pub struct RunningEntry {
    address: SocketAddr,
    admin: Option<SocketAddr>,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// The daemon until a thread takes it to drain it, and whether it is drained.
type State = (Option<Entry>, bool);

impl RunningEntry {
    /// Starts the daemon and listens for peers on the address in the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start(settings: &EntrySettings) -> Result<Self> {
        Self::start_on(settings, TcpListener::bind(settings.peer)?)
    }

    /// Starts the daemon with `peers` as its listener for peers.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start_on(settings: &EntrySettings, peers: TcpListener) -> Result<Self> {
        let (shutdown_tx, shutdown_rx) = flume::bounded(1);
        let entry = Entry::start_on(settings, peers, shutdown_tx)?;
        let running = Self {
            address: entry.address(),
            admin: entry.admin_address(),
            state: Arc::new((Mutex::new((Some(entry), false)), Condvar::new())),
        };
        let state = Arc::clone(&running.state);
        let duty = move || {
            if shutdown_rx.recv().is_ok() {
                drain(&state);
            }
        };
        let thread = thread::Builder::new().name("slot".to_owned()).spawn(duty);
        thread.context("start thread slot")?;
        Ok(running)
    }

    /// Returns the address for callers.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the admin interface, if it is enabled.
    pub const fn admin_address(&self) -> Option<SocketAddr> {
        self.admin
    }

    /// Waits until a configuration is in effect.
    pub fn wait_ready(&self) {
        if let Some(entry) = &lock(&self.state.0).0 {
            entry.wait_ready();
        }
    }

    /// Waits until a version of the configuration is in effect.
    pub fn wait_version(&self, version: ConfigVersion) {
        if let Some(entry) = &lock(&self.state.0).0 {
            entry.wait_version(version);
        }
    }

    /// Drains the daemon, or waits until another thread has drained it.
    pub fn drain(&self) {
        drain(&self.state);
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    // A thread that panics while it holds the lock has already failed its test.
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn drain((state, drained): &(Mutex<State>, Condvar)) {
    let entry = lock(state).0.take();
    if let Some(entry) = entry {
        entry.drain();
        lock(state).1 = true;
        drained.notify_all();
        return;
    }
    let waited = drained.wait_while(lock(state), |s| !s.1);
    drop(waited.unwrap_or_else(PoisonError::into_inner));
}
