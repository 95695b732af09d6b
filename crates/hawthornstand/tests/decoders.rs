//! Decoders must not panic on arbitrary input and must reject invalid input.

mod support;

use hawthornstand::bookings::ticket::{Ticket, TicketKey};
use hawthornstand::configuration::published::{ConfigEntry, RawConfig, validate};
use hawthornstand::fleet::link;
use hawthornstand::messages::{Frame, LeafAnswer, SearchRequest};
use hawthornstand::settings;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn frames_from_random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Some(frame) = link::decode(&bytes) {
            prop_assert!(link::encode(&frame).is_some());
        }
    }

    #[test]
    fn truncated_and_altered_frames(cut in 0..60usize, at in 0..60usize, byte in any::<u8>()) {
        let frame = Frame::Pull(hawthornstand::messages::Pull { config_after: 7, list_after: 3 });
        let mut bytes = link::encode(&frame).expect("a frame").to_vec();
        prop_assert_eq!(link::decode(&bytes), Some(frame));
        if let Some(target) = bytes.get_mut(at) {
            *target = byte;
        }
        bytes.truncate(cut);
        let _ = link::decode(&bytes);
    }

    #[test]
    fn altered_tickets_are_not_verified(at in 0..80usize, byte in 33..126u8) {
        let key = TicketKey::random();
        let ticket = key.issue("test", "entry-1", 77, 5, 1_000);
        let text = ticket.to_text();
        prop_assert_eq!(Ticket::parse(&text), Some(ticket));
        let mut bytes = text.clone().into_bytes();
        let index = at % bytes.len();
        bytes[index] = byte;
        let altered = String::from_utf8(bytes).expect("ASCII");
        let accepted = Ticket::parse(&altered).is_some_and(|ticket| key.verifies(&ticket));
        prop_assert_eq!(accepted, altered == text);
    }

    #[test]
    fn tickets_from_random_text(text in ".{0,80}") {
        if let Some(ticket) = Ticket::parse(&text) {
            prop_assert_eq!(ticket.to_text(), text);
        }
    }

    #[test]
    fn settings_from_random_text(text in "([a-z_]{1,8}: ?[a-z0-9\\[\\]{}\"-]{0,6}\n){0,6}") {
        prop_assert!(settings::parse("any.yaml", &text).is_err());
    }

    #[test]
    fn published_values_from_random_text(text in "[a-z:\\[\\]{} \n-]{0,60}") {
        let entries = vec![ConfigEntry { key: "fleet".to_string(), revision: 1, value: Some(text) }];
        let raw = RawConfig { revision: 1, entries };
        prop_assert!(validate(&raw).is_err());
    }

    #[test]
    fn json_from_random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        let _ = serde_json::from_slice::<LeafAnswer>(&bytes);
        let _ = serde_json::from_slice::<SearchRequest>(&bytes);
    }
}
