//! Takes over changed settings while the VM runs.

use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::gateway::settings::GatewaySettings;
use crate::process::timer::TimerService;

/// Time between two looks at the settings, which may change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(5);

/// Where settings come from.
pub trait SettingsSource: Send + Sync {
    /// Reads and checks the settings; an error says what is wrong with them.
    fn load(&self) -> Result<GatewaySettings, String>;
}

/// Settings in force, kept up to date with their source.
pub struct SettingsReloader {
    in_force: watch::Sender<GatewaySettings>,
    /// What was wrong when they were last read.
    refused: Option<String>,
    source: Box<dyn SettingsSource>,
}

impl SettingsReloader {
    /// Begins with the settings that were read at the start.
    pub fn new(settings: GatewaySettings, source: Box<dyn SettingsSource>) -> Self {
        Self { in_force: watch::Sender::new(settings), refused: None, source }
    }

    /// Subscribes to the settings in force.
    pub fn subscribe(&self) -> watch::Receiver<GatewaySettings> {
        self.in_force.subscribe()
    }

    /// Reads the settings regularly, and at once when a signal asks for it.
    pub async fn run(mut self, mut asked: Signal, timer: TimerService) {
        let mut looks = timer.subscribe(LOOK_INTERVAL);
        loop {
            let is_asked = tokio::select! {
                _ = asked.recv() => true,
                look = looks.next() => match look {
                    Some(_) => false,
                    None => return,
                },
            };
            self.reload(is_asked);
        }
    }

    /// Reads the settings once; settings that are refused leave the known ones in force.
    pub fn reload(&mut self, is_asked: bool) {
        let settings = match self.source.load() {
            Ok(settings) => settings,
            Err(reason) => {
                if is_asked || self.refused.as_ref() != Some(&reason) {
                    log::warn!("changed settings rejected, the active ones are kept: {reason}");
                }
                self.refused = Some(reason);
                return;
            }
        };
        self.refused = None;
        let (changed, at_start) = {
            let known = self.in_force.borrow();
            (*known != settings, known.changes_requiring_restart(&settings))
        };
        if changed {
            log::info!(at_the_next_start = at_start.join(","); "changed settings applied");
            self.in_force.send_replace(settings);
        } else if is_asked {
            log::info!("settings reloaded, nothing has changed");
        }
    }
}
