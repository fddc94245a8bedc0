//! Declares the command line: flags, subcommands and their help texts, which argh takes from the doc comments.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::exit::ExitKind;
use crate::output::print_line;

/// Name of the program, the prefix of its messages on standard error.
pub const PROGRAM: &str = "wasabipierctl";

/// Operates wasabipier: promotes the document of an environment, and shows its nodes, burn rates and charges.
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
    /// call the node with this address for callers; any node will do (default: 127.0.0.1:8001)
    #[argh(option, short = 'n', default = "SocketAddr::from(([127, 0, 0, 1], 8001))")]
    pub node: SocketAddr,

    /// read the operators' key from this file (default: operator.key)
    #[argh(option, short = 'k', default = "PathBuf::from(\"operator.key\")")]
    pub key_file: PathBuf,

    /// subcommand to run
    #[argh(subcommand)]
    pub command: CtlCommand,
}

impl CtlArgs {
    /// Parses the command line of the process.
    ///
    /// # Errors
    ///
    /// Returns the kind of exit if there is no command to run: [`ExitKind::Success`] after printing the help, or
    /// [`ExitKind::Input`] after printing the faults of the command line.
    pub fn from_env() -> Result<Self, ExitKind> {
        let args: Vec<String> = std::env::args_os().skip(1).map(|arg| arg.to_string_lossy().into_owned()).collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        Self::from_args(&[PROGRAM], &args).map_err(|exit| {
            if exit.status.is_ok() {
                print_line!("{}", exit.output);
                return ExitKind::Success;
            }
            eprintln!("{PROGRAM}: {}", exit.output.trim_end());
            eprintln!("{PROGRAM}: see `{PROGRAM} --help`, or `{PROGRAM} COMMAND --help`");
            ExitKind::Input
        })
    }
}

/// Subcommand with its arguments.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand)]
pub enum CtlCommand {
    /// Check a document.
    Check(CheckArgs),
    /// Check a configuration of relaying nodes.
    CheckRelay(CheckRelayArgs),
    /// Print the document in force.
    Document(DocumentArgs),
    /// Promote a document with all its candidates on trial.
    Trial(TrialArgs),
    /// Promote a document.
    Promote(PromoteArgs),
    /// Show nodes, revisions and candidate versions.
    Status(StatusArgs),
    /// Take out a data centre or target.
    TakeOut(TakeOutArgs),
    /// Bring back a data centre or target.
    BringBack(BringBackArgs),
    /// Show the service-level burn report.
    Burn(BurnArgs),
    /// Look up the charges of a request.
    Charges(ChargesArgs),
    /// Send a request as a caller does.
    Ask(AskArgs),
}

/// Checks a document and prints every fault.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// path of the document, an INI file
    #[argh(positional)]
    pub document: PathBuf,
}

/// Checks a configuration of relaying nodes before it is sent: errors, entries that never match, limits that contradict
/// each other, and what differs from the configuration in force. Exits with 0 if there is no error, with 2 otherwise.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "check-relay")]
pub struct CheckRelayArgs {
    /// path of the configuration, a JSON file in the platform's format
    #[argh(positional)]
    pub config: PathBuf,

    /// path of the configuration in force, to show the differences (default: none are shown)
    #[argh(option)]
    pub in_force: Option<PathBuf>,

    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Prints the document in force, with its revision in the first line, to be edited and promoted.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "document")]
#[expect(clippy::empty_structs_with_brackets, reason = "the form that argh derives for")]
pub struct DocumentArgs {}

/// Promotes a document and waits until it is in force at every node.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "promote")]
pub struct PromoteArgs {
    /// path of the document, an INI file
    #[argh(positional)]
    pub document: PathBuf,

    /// revision that was edited to make the document; a newer revision in force is a conflict (default: the revision in
    /// the document's first line, else the one in force)
    #[argh(option)]
    pub seen: Option<u64>,

    /// record this name as author, shown to operators whose document conflicts (default: operator)
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,

    /// promote also candidates that were not proved in a trial
    #[argh(switch)]
    pub unproved: bool,

    /// wait until all candidates are finished (exit code 0) or one was taken back (exit code 6)
    #[argh(switch)]
    pub wait: bool,
}

/// Promotes a document with all its candidates on trial: each gets its first share of calls until it is proved or taken
/// back.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "trial")]
pub struct TrialArgs {
    /// path of the document, an INI file
    #[argh(positional)]
    pub document: PathBuf,

    /// revision that was edited to make the document; a newer revision in force is a conflict (default: the revision in
    /// the document's first line, else the one in force)
    #[argh(option)]
    pub seen: Option<u64>,

    /// record this name as author, shown to operators whose document conflicts (default: operator)
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,

    /// wait until all candidates are proved (exit code 0) or one was taken back (exit code 6)
    #[argh(switch)]
    pub wait: bool,
}

/// Shows the nodes with the revision in force at each, the data centres, the targets that are taken out, and candidate
/// versions.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// print the status as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Kind of place that can be taken out and brought back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum PlaceKind {
    /// Data centre with all its targets.
    DataCentre,
    /// One target.
    Target,
}

fn parse_kind(text: &str) -> Result<PlaceKind, String> {
    text.parse().map_err(|_| "unknown kind of place; use `data-centre` or `target`".to_owned())
}

/// Takes out a data centre or target: it gets no new calls, and running calls end.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "take-out")]
pub struct TakeOutArgs {
    /// kind of the place: `data-centre` or `target`
    #[argh(positional, from_str_fn(parse_kind))]
    pub kind: PlaceKind,

    /// name of the data centre or target
    #[argh(positional)]
    pub name: String,

    /// record this name as author, shown to operators whose document conflicts (default: operator)
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,
}

/// Brings back a data centre or target: it gets calls again, in steps.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "bring-back")]
pub struct BringBackArgs {
    /// kind of the place: `data-centre` or `target`
    #[argh(positional, from_str_fn(parse_kind))]
    pub kind: PlaceKind,

    /// name of the data centre or target
    #[argh(positional)]
    pub name: String,

    /// record this name as author, shown to operators whose document conflicts (default: operator)
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,
}

/// Shows error budgets and burn rates, summed over all nodes.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct BurnArgs {
    /// print the report as JSON
    #[argh(switch)]
    pub json: bool,

    /// write the report as an SVG picture to this file (default: no picture)
    #[argh(option)]
    pub svg: Option<PathBuf>,
}

/// Looks up the charges of one request in the ledger.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "charges")]
pub struct ChargesArgs {
    /// organisation that sent the request
    #[argh(positional)]
    pub organisation: String,

    /// id of the request
    #[argh(positional)]
    pub request: String,

    /// print the charges as JSON
    #[argh(switch)]
    pub json: bool,

    /// read the ledger at this address of the platform's services (default: the address that the node gives)
    #[argh(option)]
    pub platform: Option<SocketAddr>,

    /// look in the ledger of this environment (default: production)
    #[argh(option, default = "String::from(\"production\")")]
    pub environment: String,
}

/// Sends a request as a caller does: fetches the addresses, connects to one and prints the answer as it arrives.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "ask")]
pub struct AskArgs {
    /// path of the goal: `pipelines/NAME` or `services/NAME`
    #[argh(positional)]
    pub goal: String,

    /// body of the request, as JSON
    #[argh(positional)]
    pub body: String,

    /// send the request for this organisation, which is billed for it (required)
    #[argh(option)]
    pub organisation: String,

    /// give the request this id, unique within the organisation (required)
    #[argh(option)]
    pub request: String,

    /// set the deadline of the request, in milliseconds from now (default: 6000)
    #[argh(option, default = "6000")]
    pub deadline_ms: u64,
}
