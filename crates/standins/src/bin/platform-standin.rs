//! Runs the stand-in for the platform as a process of its own.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use hawthornstand_standins::platform::Platform;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "address to listen on", meta = "HOST:PORT")]
    address: String,
    #[options(help = "folder whose files are published, each under its path", meta = "DIR")]
    publish: Option<PathBuf>,
    #[options(help = "JSON file with the list of VMs", meta = "FILE")]
    list: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let platform = Platform::default();
    if let Err(e) = publish_files(&platform, &arguments) {
        eprintln!("failed to publish: {e}");
        return ExitCode::FAILURE;
    }
    let _replica = match platform.start_replica(&arguments.address) {
        Ok(replica) => replica,
        Err(e) => {
            eprintln!("failed to listen on {}: {e}", arguments.address);
            return ExitCode::FAILURE;
        }
    };
    std::future::pending::<()>().await;
    ExitCode::SUCCESS
}

/// Publishes the files of the folder and the list of VMs that the arguments name.
fn publish_files(platform: &Platform, arguments: &Arguments) -> Result<(), String> {
    if let Some(folder) = &arguments.publish {
        let mut pending = vec![folder.clone()];
        while let Some(current) = pending.pop() {
            for entry in std::fs::read_dir(&current).map_err(|e| e.to_string())? {
                let path = entry.map_err(|e| e.to_string())?.path();
                if path.is_dir() {
                    pending.push(path);
                    continue;
                }
                let text = std::fs::read_to_string(&path).map_err(|e| e.to_string())?;
                let key = path.strip_prefix(folder).map_err(|e| e.to_string())?.with_extension("");
                platform.publish(&key.display().to_string(), Some(text))?;
            }
        }
    }
    if let Some(file) = &arguments.list {
        let text = std::fs::read_to_string(file).map_err(|e| e.to_string())?;
        platform.set_vm_list(serde_json::from_str(&text).map_err(|e| e.to_string())?);
    }
    Ok(())
}
