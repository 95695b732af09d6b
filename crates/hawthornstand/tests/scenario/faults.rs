//! Directives that inject faults and publish changes.

use std::time::Duration;

use hawthornstand_standins::fleet::{SIGCONT, SIGSTOP, SIGTERM};
use hawthornstand_standins::leaf_model::SliceRange;

use super::{Args, DirectiveResult, Runner};

/// Runs one directive.
pub fn run(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    match args.0.directive.as_str() {
        "freeze" => signal(runner, args, SIGSTOP),
        "heal" => set_partition(runner, args, false),
        "kill" => kill(runner, args),
        "leaf" => leaf(runner, args),
        "partition" => set_partition(runner, args, true),
        "platform" => platform(runner, args),
        "publish" => publish(runner, args),
        "publish-vm-list" => publish_vm_list(runner, args),
        "stop" => stop(runner, args),
        "thaw" => signal(runner, args, SIGCONT),
        other => Err(format!("unknown directive {other}")),
    }
}

/// `partition` and `heal`: block or unblock links between VMs; `direction=one-way` blocks only `from` to `to`.
fn set_partition(runner: &mut Runner, args: &Args<'_>, partitioned: bool) -> DirectiveResult {
    let both_ways = args.optional("direction").as_deref() != Some("one-way");
    for from in runner.vm_ids(args, "from")? {
        for to in runner.vm_ids(args, "to")? {
            runner
                .fleet()?
                .set_partition(&from, &to, partitioned, both_ways)
                .map_err(|e| e.to_string())?;
        }
    }
    Ok("ok".to_string())
}

/// `freeze` and `thaw`: suspend and resume the process of each named VM.
fn signal(runner: &mut Runner, args: &Args<'_>, signal: &str) -> DirectiveResult {
    for id in runner.vm_ids(args, "vm")? {
        runner.fleet()?.signal(&id, signal).map_err(|e| e.to_string())?;
    }
    Ok("ok".to_string())
}

/// `kill`: kills the named VMs without a shutdown.
fn kill(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    for id in runner.vm_ids(args, "vm")? {
        let Some(fleet) = &mut runner.fleet else { return Err("no fleet was started".to_string()) };
        fleet.kill_vm(&id).map_err(|e| e.to_string())?;
    }
    Ok("ok".to_string())
}

/// `stop`: shuts down the named VMs one by one and prints their exit codes; `then=start` starts each again.
fn stop(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    let mut codes = Vec::new();
    for id in runner.vm_ids(args, "vm")? {
        runner.fleet()?.signal(&id, SIGTERM).map_err(|e| e.to_string())?;
        let limit = Duration::from_secs(args.number_or("within_s", 60)?);
        let Some(fleet) = &mut runner.fleet else { return Err("no fleet was started".to_string()) };
        let code =
            runner.runtime.block_on(fleet.wait_exit(&id, limit)).map_err(|e| e.to_string())?;
        codes.push(format!("{id} exited with code {code}"));
        if args.optional("then").as_deref() == Some("start") {
            fleet.start_vm(&id).map_err(|e| e.to_string())?;
            runner.runtime.block_on(fleet.wait_ready(&id, limit)).map_err(|e| e.to_string())?;
        }
    }
    Ok(codes.join("\n"))
}

/// `leaf`: injects a fault into backend servers, clears it, or changes what they hold.
fn leaf(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    let Some(fleet) = &mut runner.fleet else { return Err("no fleet was started".to_string()) };
    let named = args.list("id");
    let ids: Vec<String> =
        if named == ["all"] { fleet.leafs.keys().cloned().collect() } else { named };
    for id in ids {
        let leaf = fleet.leafs.get_mut(&id).ok_or_else(|| format!("no backend server {id}"))?;
        match args.required("do")?.as_str() {
            "clear-faults" => leaf.update_behaviour(|behaviour| {
                (behaviour.cold, behaviour.draining, behaviour.malformed, behaviour.stuck) =
                    (false, false, false, false);
                behaviour.crash_on = None;
            }),
            "cold" => leaf.update_behaviour(|behaviour| behaviour.cold = true),
            "crash-on" => {
                let text = args.required("text")?;
                leaf.update_behaviour(|behaviour| behaviour.crash_on = Some(text));
            }
            "drain" => leaf.update_behaviour(|behaviour| behaviour.draining = true),
            "kill" => leaf.kill(),
            "malformed" => leaf.update_behaviour(|behaviour| behaviour.malformed = true),
            "restart" => runner.runtime.block_on(leaf.restart()).map_err(|e| e.to_string())?,
            "set-slices" => {
                let (start, end) = (args.number_or("start", 0)?, args.number_or("end", 0)?);
                leaf.update_behaviour(|behaviour| {
                    behaviour.slices = vec![SliceRange { start, end }]
                });
            }
            "set-versions" => {
                let versions: Result<_, _> =
                    args.list("versions").iter().map(|text| text.parse()).collect();
                let versions = versions.map_err(|_| "versions must be numbers".to_string())?;
                leaf.update_behaviour(|behaviour| behaviour.versions = versions);
            }
            "stale-health" => leaf.update_behaviour(|behaviour| behaviour.health_lies = true),
            "stuck" => leaf.update_behaviour(|behaviour| behaviour.stuck = true),
            other => return Err(format!("leaf: unknown action {other}")),
        }
    }
    Ok("ok".to_string())
}

/// `publish-vm-list`: publishes the VMs without those in `without`, and backend servers in `leaving` as leaving.
fn publish_vm_list(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    let (without, leaving) = (args.list("without"), args.list("leaving"));
    let fleet = runner.fleet()?;
    fleet.publish_vm_list(|id| !without.iter().any(|other| other == id));
    if !leaving.is_empty() {
        let mut list = fleet.platform.vm_list();
        for id in leaving {
            match list.iter_mut().find(|vm| vm.id == id) {
                Some(vm) => vm.state = "leaving".to_string(),
                None => list.push(hawthornstand_standins::platform::ListedVm {
                    address: String::new(),
                    failure_domain: "marmara-1".to_string(),
                    id,
                    kind: "backend".to_string(),
                    region: "marmara".to_string(),
                    state: "leaving".to_string(),
                }),
            }
        }
        fleet.platform.set_vm_list(list);
    }
    Ok("ok".to_string())
}

/// `platform`: injects a fault into the platform replicas that the named VMs read, or clears it.
fn platform(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    let ids = runner.vm_ids(args, "vm")?;
    let Some(fleet) = &mut runner.fleet else { return Err("no fleet was started".to_string()) };
    for id in ids {
        let replica = fleet.replicas.get_mut(&id).ok_or_else(|| format!("no VM {id}"))?;
        match args.required("do")?.as_str() {
            "clear-faults" => replica.clear_faults(),
            "down" => runner.runtime.block_on(replica.stop_serving()),
            "empty" => replica.serve_empty_state(),
            "freeze-list" => replica.freeze_vm_list(),
            "stale" => replica.freeze_state(),
            "up" => {
                let _guard = runner.runtime.enter();
                replica.start_serving().map_err(|e| e.to_string())?;
            }
            other => return Err(format!("platform: unknown action {other}")),
        }
    }
    Ok("ok".to_string())
}

/// `publish`: publishes the input under `key`; without a key, the backend servers with their phase labels.
fn publish(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    let fleet = runner.fleet()?;
    // The scenario parser allows no slashes in arguments, so a key is written with dots.
    if let Some(key) = args.optional("key").map(|key| key.replace('.', "/")) {
        let size = args.number_or("pad_to_bytes", 0)? as usize;
        let mut value = args.0.input.clone();
        while value.len() < size {
            let line = "#".repeat((size - value.len()).min(1000) - 1);
            value.push_str(&line);
            value.push('\n');
        }
        return Ok(match fleet.platform.publish(&key, Some(value)) {
            Ok(revision) => format!("revision {revision}"),
            Err(error) => format!("refused: {error}"),
        });
    }
    let (entering, leaving) = (args.list("entering"), args.list("leaving"));
    let revision = fleet.publish_leafs(|id| match id {
        id if entering.iter().any(|other| other == id) => Some("entering"),
        id if leaving.iter().any(|other| other == id) => Some("leaving"),
        _ => None,
    })?;
    Ok(format!("revision {revision}"))
}
