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

/// Runs one stand-in for what surrounds wasabipier.
#[derive(Debug, FromArgs)]
struct FakeArgs {
    /// what to run: platform, engine or service
    #[argh(positional)]
    kind: String,

    /// where to listen, by IP number and port
    #[argh(option)]
    listen: SocketAddr,

    /// milliseconds of work for each call or token (default: 5)
    #[argh(option, default = "5")]
    work_ms: u64,

    /// tokens of an engine's answers (default: 12)
    #[argh(option, default = "12")]
    tokens: u32,

    /// milliseconds by which the VM list lags (default: 1000)
    #[argh(option, default = "1000")]
    lag_ms: u64,
}

fn main() -> ExitCode {
    let args: FakeArgs = argh::from_env();
    match start(&args) {
        Ok(_server) => loop {
            std::thread::park();
        },
        Err(error) => {
            eprintln!("wasabipier-fakes: {}: {error}; choose another address", args.listen);
            ExitCode::FAILURE
        }
    }
}

fn start(args: &FakeArgs) -> std::io::Result<FakeServer> {
    let settings =
        TargetSettings { work: Duration::from_millis(args.work_ms), tokens: args.tokens, ..TargetSettings::default() };
    match args.kind.as_str() {
        "platform" => {
            let lag = Duration::from_millis(args.lag_ms);
            FakeServer::start(args.listen, |_| FakePlatform::new(lag)).map(|(server, _)| server)
        }
        "engine" => FakeServer::start(args.listen, |link| FakeEngine::new(settings, link)).map(|(server, _)| server),
        "service" => FakeServer::start(args.listen, |link| FakeService::new(settings, link)).map(|(server, _)| server),
        other => Err(std::io::Error::other(format!("no stand-in `{other}`: use platform, engine or service"))),
    }
}
