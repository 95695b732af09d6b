//! Contract with callers: good and bad requests, each with its response.

mod support;

use std::sync::Arc;
use std::time::Duration;

use hawthornstand::callers::caller_http;
use hawthornstand::process::http_limits::HttpLimits;
use hawthornstand::process::http_server;
use hawthornstand_standins::http;
use rstest::rstest;
use support::{answer, context};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Sends a request to a VM whose backend servers answer at once; returns status, retry-after and body.
///
/// Values that change from run to run are left out.
async fn exchange(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let script = |_: &_, search: &_| (Duration::ZERO, Ok(answer(search)));
    let (context, _) = context(2, 2, &[1], "admission:\n  max_body_bytes: 100\n", Box::new(script));
    context.set_synced();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    let (_stop, stopped) = watch::channel(false);
    tokio::spawn(http_server::serve(
        listener,
        stopped,
        HttpLimits::default().fixed(),
        Arc::default(),
        {
            let context = Arc::clone(&context);
            move |request| caller_http::handle(Arc::clone(&context), request)
        },
    ));
    let headers: Vec<(&str, String)> =
        headers.iter().map(|(name, value)| (*name, value.to_string())).collect();
    let reply = http::send(&address, method, path, &headers, body).await.expect("an answer");
    let mut body = reply.body;
    for volatile in ["ticket", "settled_after_unix_ms"] {
        if body.get(volatile).is_some_and(|value| *value != 0 && *value != "") {
            body[volatile] = "(changes)".into();
        }
    }
    let text = serde_json::to_string(&body).expect("JSON");
    let without_times = text.split(" in the past: ").next().unwrap_or_default().to_string();
    format!("{} retry after {:?} ms\n{without_times}", reply.status, reply.retry_after_ms)
}

const SEARCH: &str = "/services/roster/search";
const BOOK: &str = "/services/roster/book";
const QUERY: &str = r#"{"query":"q","limit":1}"#;
const BOOKING: &str = r#"{"key":"k","payload":"p"}"#;

#[rstest]
#[case::live("GET", "/live", &[], "")]
#[case::ready("GET", "/ready", &[], "")]
#[case::search("POST", SEARCH, &[], QUERY)]
#[case::unknown_path("GET", "/nothing", &[], "")]
#[case::wrong_method("GET", SEARCH, &[], "")]
#[case::unknown_service("POST", "/services/other/search", &[], QUERY)]
#[case::not_json("POST", SEARCH, &[], "waiter")]
#[case::unknown_field("POST", SEARCH, &[], r#"{"query":"q","colour":1}"#)]
#[case::wrong_type("POST", SEARCH, &[], r#"{"query":7}"#)]
#[case::body_too_large("POST", SEARCH, &[], &format!(r#"{{"query":"{}"}}"#, "q".repeat(200)))]
#[case::timeout_not_a_number("POST", SEARCH, &[("timeout-ms", "soon")], QUERY)]
#[case::timeout_of_zero("POST", SEARCH, &[("timeout-ms", "0")], QUERY)]
#[case::deadline_in_the_past("POST", SEARCH, &[("deadline-unix-ms", "1000")], QUERY)]
#[case::deadline_and_timeout("POST", SEARCH, &[("deadline-unix-ms", "1000"), ("timeout-ms", "5")], QUERY)]
#[case::coverage_unknown("POST", SEARCH, &[("coverage", "most")], QUERY)]
#[case::bad_traceparent_is_ignored("POST", SEARCH, &[("traceparent", "zz")], QUERY)]
#[case::booking_without_ticket("POST", BOOK, &[], BOOKING)]
#[case::booking_with_bad_ticket("POST", BOOK, &[("ticket", "x")], BOOKING)]
#[case::booking_of_unknown_service("POST", "/services/other/book", &[], BOOKING)]
#[tokio::test]
async fn request(
    #[case] method: &str,
    #[case] path: &str,
    #[case] headers: &[(&str, &str)],
    #[case] body: &str,
) {
    let thread = std::thread::current();
    let name =
        thread.name().unwrap_or_default().rsplit("::").next().unwrap_or_default().to_string();
    let case = name
        .trim_start_matches("case_")
        .trim_start_matches(|c: char| c.is_ascii_digit() || c == '_');
    let reply = exchange(method, path, headers, body).await;
    insta::with_settings!({ omit_expression => true }, {
        insta::assert_snapshot!(format!("request_{case}"), reply);
    });
}
