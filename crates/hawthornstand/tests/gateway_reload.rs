//! Reloading of settings that change while a VM runs.

#[path = "support/gateway.rs"]
mod gateway_support;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gateway_support::settings;
use hawthornstand::gateway::reload::{SettingsReloader, SettingsSource};
use hawthornstand::gateway::settings::GatewaySettings;

/// A source whose settings the test changes.
#[derive(Clone)]
struct FakeSource(Arc<Mutex<Result<GatewaySettings, String>>>);

impl SettingsSource for FakeSource {
    fn load(&self) -> Result<GatewaySettings, String> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl FakeSource {
    fn set(&self, settings: Result<GatewaySettings, String>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = settings;
    }
}

#[test]
fn changed_seeds_and_time_limits_take_effect_at_once() {
    let source = FakeSource(Arc::new(Mutex::new(Ok(settings()))));
    let mut reloader = SettingsReloader::new(settings(), Box::new(source.clone()));
    let active = reloader.subscribe();
    let mut changed = settings();
    changed.seeds.push(([127, 0, 0, 3], 7102).into());
    changed.grace = Duration::from_secs(9);
    source.set(Ok(changed.clone()));
    reloader.reload(false);
    assert_eq!(*active.borrow(), changed);
    assert!(settings().changes_requiring_restart(&changed).is_empty());
}

#[test]
fn rejected_settings_leave_the_active_ones_unchanged() {
    let source = FakeSource(Arc::new(Mutex::new(Err("the grace is negative".to_string()))));
    let mut reloader = SettingsReloader::new(settings(), Box::new(source.clone()));
    let active = reloader.subscribe();
    reloader.reload(true);
    reloader.reload(false);
    assert_eq!(*active.borrow(), settings());
    let mut corrected = settings();
    corrected.drain = Duration::from_secs(5);
    source.set(Ok(corrected.clone()));
    reloader.reload(false);
    assert_eq!(*active.borrow(), corrected);
}

#[test]
fn changes_that_require_a_restart_are_listed() {
    let mut changed = settings();
    changed.caller_address.set_port(7200);
    changed.extra_attempts.ratio = 0.1;
    changed.location.region = "ege".to_string();
    changed.vm_id = "front-2".to_string();
    assert_eq!(
        settings().changes_requiring_restart(&changed),
        ["addresses", "extra", "place", "vm_id"]
    );
}
