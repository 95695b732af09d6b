//! Reloads changed settings while the VM runs.

use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::gateway::settings::GatewaySettings;
use crate::process::timer::TimerService;

/// Time between two reads of the settings, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Source of the settings.
pub trait SettingsSource: Send + Sync {
    /// Reads and validates the settings.
    ///
    /// # Errors
    ///
    /// Describes why the settings cannot be read or are not allowed.
    fn load(&self) -> Result<GatewaySettings, String>;
}

/// Keeps the active settings up to date with their source.
pub struct SettingsReloader {
    active: watch::Sender<GatewaySettings>,
    /// Error of the last read; none if it succeeded.
    last_error: Option<String>,
    source: Box<dyn SettingsSource>,
}

impl SettingsReloader {
    /// Creates a reloader with the settings that were read at the start.
    pub fn new(settings: GatewaySettings, source: Box<dyn SettingsSource>) -> Self {
        Self { active: watch::Sender::new(settings), last_error: None, source }
    }

    /// Subscribes to the active settings.
    pub fn subscribe(&self) -> watch::Receiver<GatewaySettings> {
        self.active.subscribe()
    }

    /// Reloads the settings periodically, and immediately on a signal.
    pub async fn run(mut self, mut reload_signal: Signal, timer: TimerService) {
        let mut ticks = timer.subscribe(RELOAD_INTERVAL);
        loop {
            let is_requested = tokio::select! {
                _ = reload_signal.recv() => true,
                tick = ticks.next() => match tick {
                    Some(_) => false,
                    None => return,
                },
            };
            self.reload(is_requested);
        }
    }

    /// Reads the settings once and keeps the active ones if these are rejected.
    ///
    /// A reload requested by a signal is logged in any case, a periodic one only if something changed.
    pub fn reload(&mut self, is_requested: bool) {
        let settings = match self.source.load() {
            Ok(settings) => settings,
            Err(reason) => {
                if is_requested || self.last_error.as_ref() != Some(&reason) {
                    log::warn!("changed settings rejected, the active ones are kept: {reason}");
                }
                self.last_error = Some(reason);
                return;
            }
        };
        self.last_error = None;
        let (changed, at_next_start) = {
            let active = self.active.borrow();
            (*active != settings, active.changes_requiring_restart(&settings))
        };
        if changed {
            log::info!(at_the_next_start = at_next_start.join(","); "changed settings applied");
            self.active.send_replace(settings);
        } else if is_requested {
            log::info!("settings reloaded, nothing has changed");
        }
    }
}
