//! Directives for single bookings.

use hawthornstand_standins::http::{self, Reply};
use serde_json::json;

use super::{Args, DirectiveResult, Runner};

/// Runs one directive.
pub fn run(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    match args.0.directive.as_str() {
        "book" => book(runner, args),
        "join" => join(runner, args),
        _ => ticket(runner, args),
    }
}

/// `ticket`: requests a ticket from a VM and stores it under a name.
fn ticket(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    let address = address(runner, args)?;
    let body = json!({ "key": "k", "payload": "p" }).to_string();
    let send = http::send(&address, "POST", "/services/roster/book", &[], &body);
    let reply = runner.runtime.block_on(send).map_err(|e| e.to_string())?;
    let ticket = reply.body["ticket"].as_str().unwrap_or_default().to_string();
    let line = format!("{} {}", reply.status, reply.body["error"].as_str().unwrap_or("?"));
    runner.tickets.insert(args.required("name")?, ticket);
    Ok(line)
}

/// `book`: sends a booking with a ticket; with `background`, it runs under that name until `join`.
fn book(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    let address = address(runner, args)?;
    let name = args.required("ticket")?;
    let ticket = runner.tickets.get(&name).cloned().unwrap_or(name);
    let key = args.optional("key").unwrap_or_else(|| "key".to_string());
    let body = json!({ "key": key, "payload": args.required("payload")? }).to_string();
    let headers =
        vec![("ticket", ticket), ("timeout-ms", args.number_or("timeout_ms", 2000)?.to_string())];
    let send = async move {
        let reply = http::send(&address, "POST", "/services/roster/book", &headers, &body).await;
        reply.map(|reply| format_reply(&reply)).map_err(|e| format!("no response: {:?}", e.kind()))
    };
    match args.optional("background") {
        Some(name) => {
            let task = runner.runtime.spawn(send);
            runner.background_bookings.insert(name, task);
            Ok("sent".to_string())
        }
        None => runner.runtime.block_on(send),
    }
}

/// `join`: waits for a background booking and prints its result.
fn join(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    let name = args.required("name")?;
    let task = runner
        .background_bookings
        .remove(&name)
        .ok_or_else(|| format!("no background booking is named {name}"))?;
    runner.runtime.block_on(task).map_err(|e| e.to_string())?
}

/// Formats the response to a booking; says whether it carries `settled_after_unix_ms`.
fn format_reply(reply: &Reply) -> String {
    if reply.status == 200 {
        return format!("200 {}", reply.body["result"].as_str().unwrap_or("?"));
    }
    let field = |name: &str| reply.body[name].as_str().unwrap_or("?").to_string();
    let settled_after = if reply.body["settled_after_unix_ms"].as_u64() > Some(0) {
        ", settled_after set"
    } else {
        ""
    };
    format!("{} {}, outcome {}{settled_after}", reply.status, field("error"), field("outcome"))
}

/// Returns the caller address of the VM that the argument `vm` names.
fn address(runner: &Runner, args: &Args<'_>) -> Result<String, String> {
    Ok(runner.fleet()?.vm(&args.required("vm")?).map_err(|e| e.to_string())?.caller_address.clone())
}
