//! The command line, declared in one place.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::exit::ExitKind;
use crate::output::say;

/// Name of the program in its messages.
pub const PROGRAM: &str = "wasabipierctl";

/// Drives wasabipier by one document per environment.
#[derive(Clone, Debug, FromArgs)]
#[argh(
    example = "{command_name} check production.ini\n{command_name} promote production.ini\n\
               {command_name} take-out data-centre khomas-b",
    error_code(0, "done"),
    error_code(1, "failed; nothing was changed, or the message says what was"),
    error_code(2, "the command line, a file or the document has faults; nothing was changed"),
    error_code(3, "another operator's document was accepted first; nothing was changed"),
    error_code(4, "it is not known whether the document was accepted"),
    error_code(5, "some nodes did not answer: the report lacks their counts")
)]
pub struct CtlArgs {
    /// address of any node for callers (default: 127.0.0.1:8001)
    #[argh(option, short = 'n', default = "SocketAddr::from(([127, 0, 0, 1], 8001))")]
    pub node: SocketAddr,

    /// file with the operators' key (default: operator.key)
    #[argh(option, short = 'k', default = "PathBuf::from(\"operator.key\")")]
    pub key_file: PathBuf,

    /// what to do
    #[argh(subcommand)]
    pub command: CtlCommand,
}

impl CtlArgs {
    /// Reads the process's command line.
    ///
    /// # Errors
    ///
    /// How to end: help was printed, or the faults were.
    pub fn from_env() -> Result<Self, ExitKind> {
        let args: Vec<String> = std::env::args_os().skip(1).map(|arg| arg.to_string_lossy().into_owned()).collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        Self::from_args(&[PROGRAM], &args).map_err(|exit| {
            if exit.status.is_ok() {
                say!("{}", exit.output);
                return ExitKind::Success;
            }
            eprintln!("{PROGRAM}: {}", exit.output.trim_end());
            eprintln!("{PROGRAM}: see `{PROGRAM} --help`, or `{PROGRAM} COMMAND --help`");
            ExitKind::Input
        })
    }
}

/// What to do.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand)]
pub enum CtlCommand {
    /// Check a document.
    Check(CheckArgs),
    /// Print the document in force.
    Document(DocumentArgs),
    /// Try a document's candidates on their first share only.
    Trial(TrialArgs),
    /// Promote a document.
    Promote(PromoteArgs),
    /// Show nodes, revisions and candidates.
    Status(StatusArgs),
    /// Take a data centre or target out.
    TakeOut(TakeOutArgs),
    /// Bring it back.
    BringBack(BringBackArgs),
    /// Show the service-level burn report.
    Burn(BurnArgs),
    /// Look up the charges of a request.
    Charges(ChargesArgs),
    /// Ask as a caller does.
    Ask(AskArgs),
}

/// Checks a document and names every fault.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// the document (INI)
    #[argh(positional)]
    pub document: PathBuf,
}

/// Prints the document in force, with its revision in the first line: edit it, then promote it.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "document")]
#[expect(clippy::empty_structs_with_brackets, reason = "the form that argh derives for")]
pub struct DocumentArgs {}

/// Promotes a document and waits until it is in force everywhere.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "promote")]
pub struct PromoteArgs {
    /// the document (INI)
    #[argh(positional)]
    pub document: PathBuf,

    /// revision that the document was made from (default: the one in its first line, else the one in force)
    #[argh(option)]
    pub seen: Option<u64>,

    /// your name, told to those who race you (default: operator)
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,

    /// promote candidates that were not proved in trial
    #[argh(switch)]
    pub unproved: bool,

    /// wait until all candidates are finished (exit code 0) or one was taken back (6)
    #[argh(switch)]
    pub wait: bool,
}

/// Promotes a document with all its candidates on trial: each gets its first share until it is proved or
/// taken back.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "trial")]
pub struct TrialArgs {
    /// the document (INI)
    #[argh(positional)]
    pub document: PathBuf,

    /// revision that the document was made from (default: the one in force)
    #[argh(option)]
    pub seen: Option<u64>,

    /// your name, told to those who race you
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,

    /// wait until all candidates are proved (exit code 0) or one was taken back (6)
    #[argh(switch)]
    pub wait: bool,
}

/// Shows nodes, the revision in force at each, what is taken out, and candidate versions.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// print what the node knows as JSON
    #[argh(switch)]
    pub json: bool,
}

/// What can be taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum PlaceKind {
    /// A data centre, with all its targets.
    DataCentre,
    /// One target.
    Target,
}

fn parse_kind(text: &str) -> Result<PlaceKind, String> {
    text.parse().map_err(|_| "write `data-centre` or `target`".to_owned())
}

/// Takes a data centre or a target out: no new work goes there, running work ends.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "take-out")]
pub struct TakeOutArgs {
    /// what it is: `data-centre` or `target`
    #[argh(positional, from_str_fn(parse_kind))]
    pub kind: PlaceKind,

    /// its name
    #[argh(positional)]
    pub name: String,

    /// your name, told to those who race you (default: operator)
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,
}

/// Brings a data centre or a target back: work returns in steps.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "bring-back")]
pub struct BringBackArgs {
    /// what it is: `data-centre` or `target`
    #[argh(positional, from_str_fn(parse_kind))]
    pub kind: PlaceKind,

    /// its name
    #[argh(positional)]
    pub name: String,

    /// your name, told to those who race you (default: operator)
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,
}

/// Shows error budgets and burn rates, added up over all nodes.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct BurnArgs {
    /// print the report as JSON
    #[argh(switch)]
    pub json: bool,

    /// write the report as a picture (SVG) to this file
    #[argh(option)]
    pub svg: Option<PathBuf>,
}

/// Looks up the charges of one request in the ledger.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "charges")]
pub struct ChargesArgs {
    /// organisation
    #[argh(positional)]
    pub organisation: String,

    /// request id
    #[argh(positional)]
    pub request: String,

    /// print the lines as JSON
    #[argh(switch)]
    pub json: bool,

    /// address of the platform's services (default: the node is asked for it)
    #[argh(option)]
    pub platform: Option<SocketAddr>,

    /// environment (default: production)
    #[argh(option, default = "String::from(\"production\")")]
    pub environment: String,
}

/// Asks as a caller does: gets addresses, connects to one, prints the answer as it comes.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "ask")]
pub struct AskArgs {
    /// path of the goal: `pipelines/NAME` or `services/NAME`
    #[argh(positional)]
    pub goal: String,

    /// JSON body
    #[argh(positional)]
    pub body: String,

    /// organisation that is billed
    #[argh(option)]
    pub organisation: String,

    /// id of the request, unique within the organisation
    #[argh(option)]
    pub request: String,

    /// deadline in milliseconds (default: 6000)
    #[argh(option, default = "6000")]
    pub deadline_ms: u64,
}
