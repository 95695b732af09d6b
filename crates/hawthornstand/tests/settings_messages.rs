//! Error messages for invalid settings and published values, and the order in which revisions are accepted.

mod support;

use hawthornstand::configuration::config_store::{ApplyOutcome, ConfigStore};
use hawthornstand::configuration::published::{ConfigChanges, ConfigEntry, RawConfig, validate};
use hawthornstand::error::ERROR_RESPONSES;
use hawthornstand::settings;
use proptest::prelude::*;
use rstest::rstest;

const VALID: &str = "vm_id: entry-1
fleet: kadeh
region: marmara
failure_domain: marmara-1
caller_address: 10.0.0.1:7000
peer_address: 10.0.0.1:7001
admin_address: 10.0.0.1:7002
platform:
  addresses: [\"10.0.0.9:7090\"]
";

#[rstest]
#[case::missing_field("vm_id: entry-1\n", "")]
#[case::unknown_field("fleet: kadeh\n", "fleet: kadeh\ncolour: green\n")]
#[case::wrong_type("region: marmara\n", "region: [marmara]\n")]
#[case::out_of_range("region: marmara\n", "region: marmara\nhedge:\n  quantile_percent: 101\n")]
#[case::unknown_choice("region: marmara\n", "region: marmara\nrouting:\n  policy: fastest\n")]
#[case::host_name("10.0.0.9:7090", "platform.example:7090")]
#[case::not_yaml("fleet: kadeh\n", "fleet: [kadeh\n")]
#[case::negative_number("region: marmara\n", "region: marmara\nbudget:\n  extra_percent: -1\n")]
fn bad_settings(#[case] from: &str, #[case] to: &str) {
    let text = VALID.replace(from, to);
    let findings = settings::parse("entry-1.yaml", &text).expect_err("invalid settings");
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    insta::with_settings!({ description => to, omit_expression => true }, {
        insta::assert_snapshot!(format!("settings_{}", case_name()), lines.join("\n"));
    });
}

#[rstest]
#[case::missing_fleet("fleet", "")]
#[case::unknown_phase(
    "backend-servers/all",
    "backend_servers:\n- {id: a, address: \"10.0.0.1:1\", region: r, failure_domain: d, labels: {phase: gone}, slots: 1, connection_limit: 1, slice_start: 0, slice_end: 1}"
)]
#[case::empty_range(
    "services/all",
    "services:\n- {name: s, selector: {a: b}, slice_start: 4, slice_end: 4}"
)]
#[case::empty_selector("services/all", "services:\n- {name: s, selector: {}, slice_end: 4}")]
#[case::duplicate_name(
    "services/all",
    "services:\n- {name: s, selector: {a: b}, slice_end: 4}\n- {name: s, selector: {a: b}, slice_end: 4}"
)]
#[case::host_name(
    "backend-servers/all",
    "backend_servers:\n- {id: a, address: \"leaf:1\", region: r, failure_domain: d, labels: {}, slots: 1, connection_limit: 1, slice_start: 0, slice_end: 1}"
)]
#[case::zero_slots(
    "backend-servers/all",
    "backend_servers:\n- id: a\n  address: 10.0.0.1:1\n  region: r\n  failure_domain: d\n  labels: {}\n  slots: 0\n  connection_limit: 1\n  slice_start: 0\n  slice_end: 1"
)]
fn bad_published_value(#[case] key: &str, #[case] value: &str) {
    let mut raw = support::published(1, 1);
    for entry in &mut raw.entries {
        if entry.key == key {
            entry.value = (!value.is_empty()).then(|| value.to_string());
        }
    }
    let findings = validate(&raw).expect_err("an invalid value");
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    insta::with_settings!({ omit_expression => true }, {
        insta::assert_snapshot!(format!("published_{}", case_name()), lines.join("\n"));
    });
}

#[test]
fn defaults_match_the_schema() {
    let settings = settings::parse("entry-1.yaml", VALID).expect("valid");
    insta::with_settings!({ omit_expression => true }, {
        insta::assert_yaml_snapshot!(settings);
    });
}

#[test]
fn error_responses_are_sorted_and_documented() {
    assert!(ERROR_RESPONSES.windows(2).all(|pair| pair[0].kind < pair[1].kind));
    let page = include_str!("../../../docs/CALLERS.md");
    for response in ERROR_RESPONSES {
        let line = format!(
            "| `{:?}` | {} | {} | {} |",
            response.kind, response.status, response.outcome, response.retry_after_ms
        );
        assert!(page.contains(&line), "docs/CALLERS.md lacks: {line}");
    }
}

#[test]
fn every_setting_is_documented() {
    let schema: serde_json::Value =
        serde_json::from_str(hawthornstand::configuration::schema_check::SETTINGS_SCHEMA)
            .expect("a schema");
    let page = include_str!("../../../docs/SETTINGS.md");
    for (_, group) in schema["definitions"].as_object().expect("definitions") {
        for (option, definition) in group["properties"].as_object().expect("properties") {
            let default = match &definition["default"] {
                serde_json::Value::Null => "required".to_string(),
                value => format!("`{value}`"),
            };
            let description = definition["description"].as_str().expect("a description");
            let line = format!("| `{option}` | {default} | {description} |");
            assert!(page.contains(&line), "docs/SETTINGS.md lacks: {line}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn the_accepted_revision_never_decreases(updates in prop::collection::vec((1..20u64, any::<bool>()), 1..30)) {
        let store = ConfigStore::default();
        let mut highest = 0;
        for (revision, valid) in updates {
            let mut raw = support::published(1, 1);
            let value = valid.then(|| "{name: test, planned_vms: 9}".to_string());
            let entries = vec![ConfigEntry { key: "fleet".to_string(), revision, value }];
            raw.revision = 0;
            raw.apply(&ConfigChanges { entries, revision });
            let outcome = store.apply_config(&raw);
            let expected = match (revision > highest, valid) {
                (false, _) => ApplyOutcome::Stale,
                (true, false) => ApplyOutcome::Rejected,
                (true, true) => ApplyOutcome::Accepted,
            };
            prop_assert_eq!(&outcome, &expected);
            if outcome == ApplyOutcome::Accepted {
                highest = revision;
            }
            prop_assert_eq!(store.revision(), highest);
        }
    }

    #[test]
    fn deltas_reproduce_the_configuration(steps in prop::collection::vec((0..4usize, any::<bool>()), 1..12), joins_at in 0..12usize) {
        let (source, replica) = (ConfigStore::default(), ConfigStore::default());
        let mut raw: RawConfig = support::published(1, 1);
        source.apply_config(&raw);
        for (step, (name, present)) in steps.into_iter().enumerate() {
            let revision = raw.revision + 1;
            let value = present.then(|| format!("services:\n- {{name: s{name}, selector: {{a: b}}, slice_end: {}}}", step + 1));
            let entries = vec![ConfigEntry { key: format!("services/{name}"), revision, value }];
            raw.apply(&ConfigChanges { entries, revision });
            source.apply_config(&raw);
            if step >= joins_at {
                let delta = source.delta_after(replica.revision()).expect("a delta");
                prop_assert_eq!(replica.apply_delta(&delta), ApplyOutcome::Accepted);
                let services = |store: &ConfigStore| {
                    let accepted = store.accepted().expect("accepted");
                    accepted.services.iter().map(|resolved| resolved.service.clone()).collect::<Vec<_>>()
                };
                prop_assert_eq!(services(&source), services(&replica));
            }
        }
    }
}

/// Returns the name of the running test case.
fn case_name() -> String {
    let thread = std::thread::current();
    let name =
        thread.name().unwrap_or_default().rsplit("::").next().unwrap_or_default().to_string();
    name.trim_start_matches("case_")
        .trim_start_matches(|c: char| c.is_ascii_digit() || c == '_')
        .to_string()
}
