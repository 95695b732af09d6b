//! Contract with the platform: each fault of a response, and the configuration that is accepted after it.

mod support;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hawthornstand::backends::backend_client::BoxFuture;
use hawthornstand::configuration::config_watch;
use hawthornstand::configuration::platform::{PlatformError, PlatformReader};
use hawthornstand::configuration::published::{ConfigChanges, ConfigEntry, WatchAnswer};
use rstest::rstest;
use support::{answer, context};

type WatchResult = Result<WatchAnswer, PlatformError>;

/// Platform that returns listed answers; once they are used up, it reports no change after the requested wait.
struct FakePlatform {
    answers: Mutex<VecDeque<WatchResult>>,
    reads: Mutex<Vec<u64>>,
}

impl PlatformReader for FakePlatform {
    fn watch<'a>(
        &'a self,
        _address: &'a str,
        config_after: u64,
        _list_after: u64,
        wait: Duration,
    ) -> BoxFuture<'a, WatchResult> {
        Box::pin(async move {
            self.reads.lock().unwrap().push(config_after);
            let next = self.answers.lock().unwrap().pop_front();
            match next {
                Some(answer) => answer,
                None => {
                    tokio::time::sleep(wait).await;
                    Ok(changes(config_after, &[]))
                }
            }
        })
    }
}

fn changes(revision: u64, entries: &[(&str, u64, Option<&str>)]) -> WatchAnswer {
    let entries = entries
        .iter()
        .map(|(key, revision, value)| ConfigEntry {
            key: key.to_string(),
            revision: *revision,
            value: value.map(str::to_string),
        })
        .collect();
    WatchAnswer { config: ConfigChanges { entries, revision }, vms: None }
}

const FLEET: &str = "{name: test, planned_vms: 12}";

#[rstest]
#[case::change(vec![Ok(changes(2, &[("fleet", 2, Some(FLEET))]))], "revision 2, planned 12, rejected none")]
#[case::unreachable(vec![Err(PlatformError::Status(503)), Err(PlatformError::Malformed("x".to_string()))], "revision 1, planned 9, rejected none")]
#[case::stale_replica(vec![Ok(changes(5, &[("fleet", 5, Some(FLEET))])), Ok(changes(2, &[("fleet", 2, Some("{name: test, planned_vms: 3}"))]))], "revision 5, planned 12, rejected none")]
#[case::empty_replica(vec![Ok(changes(0, &[]))], "revision 1, planned 9, rejected none")]
#[case::invalid(vec![Ok(changes(2, &[("fleet", 2, Some("{name: 7}"))]))], "revision 1, planned 9, rejected 2")]
#[case::invalid_then_corrected(vec![Ok(changes(2, &[("fleet", 2, Some("{name: 7}"))])), Ok(changes(3, &[("fleet", 3, Some(FLEET))]))], "revision 3, planned 12, rejected none")]
#[case::deleted(vec![Ok(changes(2, &[("fleet", 2, None)]))], "revision 1, planned 9, rejected 2")]
#[case::oversized(vec![Ok(changes(2, &[("fleet", 2, Some(&"#".repeat((1 << 20) + 1)))]))], "revision 1, planned 9, rejected 2")]
#[case::unknown_key(vec![Ok(changes(2, &[("other", 2, Some("x"))]))], "revision 2, planned 9, rejected none")]
#[tokio::test(start_paused = true)]
async fn accepted_configuration_after_answers(
    #[case] script: Vec<WatchResult>,
    #[case] expected: &str,
) {
    let (context, _) =
        context(1, 1, &[1], "", Box::new(|_, search| (Duration::ZERO, Ok(answer(search)))));
    let mut settings = context.settings.clone();
    settings.platform.addresses = vec!["127.0.0.1:1".to_string()];
    let fresh = hawthornstand::process::context::Context::with_dependencies(
        settings,
        Arc::new(hawthornstand::process::clock::SystemClock),
        Box::new(hawthornstand::backends::backend_client::HttpBackendClient),
    );
    fresh.config.apply_config(&support::published(1, 1));
    let context = Arc::new(fresh);
    let platform =
        Arc::new(FakePlatform { answers: Mutex::new(script.into()), reads: Mutex::default() });
    let watch = tokio::spawn(config_watch::run(
        Arc::clone(&context),
        Arc::clone(&platform) as Arc<dyn PlatformReader>,
    ));
    tokio::time::sleep(Duration::from_secs(20)).await;
    watch.abort();
    let accepted = context.config.accepted().expect("accepted");
    let rejected = context
        .config
        .rejection()
        .map_or("none".to_string(), |rejection| rejection.revision.to_string());
    let state = format!(
        "revision {}, planned {}, rejected {rejected}",
        accepted.raw.revision, accepted.fleet.planned_vms
    );
    assert_eq!(state, expected);
}
