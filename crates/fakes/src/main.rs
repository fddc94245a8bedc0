//! Runs one stand-in as a process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use wasabipier_fakes::engine::FakeEngine;
use wasabipier_fakes::platform::FakePlatform;
use wasabipier_fakes::server::FakeServer;
use wasabipier_fakes::service::FakeService;
use wasabipier_fakes::target::TargetSettings;

/// Runs one stand-in for the platform or for a target of wasabipier.
#[derive(Debug, FromArgs)]
struct FakeArgs {
    /// run this stand-in: platform, engine or service
    #[argh(positional)]
    kind: String,

    /// listen at this IP address and port (no default)
    #[argh(option)]
    listen: SocketAddr,

    /// work this many milliseconds for each call of a service or token of an engine (default: 5 ms)
    #[argh(option, default = "5")]
    work_ms: u64,

    /// return this many tokens per answer of an engine (default: 12 tokens)
    #[argh(option, default = "12")]
    tokens: u32,

    /// show a change of the platform's VM list to its readers this many milliseconds later (default: 1000 ms)
    #[argh(option, default = "1000")]
    lag_ms: u64,
}

fn main() -> ExitCode {
    let args: FakeArgs = argh::from_env();
    match start_stand_in(&args) {
        Ok(_server) => loop {
            std::thread::park();
        },
        Err(error) => {
            eprintln!(
                "wasabipier-fakes: cannot start a stand-in at {}: {error}; choose another stand-in or address",
                args.listen
            );
            ExitCode::FAILURE
        }
    }
}

fn start_stand_in(args: &FakeArgs) -> std::io::Result<FakeServer> {
    let settings = TargetSettings {
        work_duration: Duration::from_millis(args.work_ms),
        tokens: args.tokens,
        ..TargetSettings::default()
    };
    match args.kind.as_str() {
        "platform" => {
            let lag = Duration::from_millis(args.lag_ms);
            FakeServer::start(args.listen, |_| FakePlatform::new(lag)).map(|(server, _)| server)
        }
        "engine" => FakeServer::start(args.listen, |link| FakeEngine::new(settings, link)).map(|(server, _)| server),
        "service" => FakeServer::start(args.listen, |link| FakeService::new(settings, link)).map(|(server, _)| server),
        other => Err(std::io::Error::other(format!(
            "unknown stand-in `{other}`, known ones are platform, engine and service"
        ))),
    }
}
