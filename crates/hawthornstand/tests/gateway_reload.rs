//! Settings that change while a VM runs.

#[path = "support/gateway.rs"]
mod gateway_support;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gateway_support::settings;
use hawthornstand::gateway::reload::{SettingsReloader, SettingsSource};
use hawthornstand::gateway::settings::GatewaySettings;

/// Settings that a test changes.
#[derive(Clone)]
struct Edited(Arc<Mutex<Result<GatewaySettings, String>>>);

impl SettingsSource for Edited {
    fn load(&self) -> Result<GatewaySettings, String> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Edited {
    fn set(&self, settings: Result<GatewaySettings, String>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = settings;
    }
}

#[test]
fn changed_seeds_and_times_are_in_force_at_once() {
    let source = Edited(Arc::new(Mutex::new(Ok(settings()))));
    let mut reload = SettingsReloader::new(settings(), Box::new(source.clone()));
    let in_force = reload.subscribe();
    let mut changed = settings();
    changed.seeds.push(([127, 0, 0, 3], 7102).into());
    changed.grace = Duration::from_secs(9);
    source.set(Ok(changed.clone()));
    reload.reload(false);
    assert_eq!(*in_force.borrow(), changed);
    assert!(settings().changes_requiring_restart(&changed).is_empty());
}

#[test]
fn refused_settings_leave_the_known_ones_in_force() {
    let source = Edited(Arc::new(Mutex::new(Err("the grace is negative".to_string()))));
    let mut reload = SettingsReloader::new(settings(), Box::new(source.clone()));
    let in_force = reload.subscribe();
    reload.reload(true);
    reload.reload(false);
    assert_eq!(*in_force.borrow(), settings());
    let mut mended = settings();
    mended.drain = Duration::from_secs(5);
    source.set(Ok(mended.clone()));
    reload.reload(false);
    assert_eq!(*in_force.borrow(), mended);
}

#[test]
fn settings_that_need_a_start_are_named() {
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
