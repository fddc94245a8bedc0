//! The command line, declared in one place.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Drives wasabipier by one document per environment.
#[derive(Clone, Debug, FromArgs)]
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

/// What to do.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand)]
pub enum CtlCommand {
    /// Check a document.
    Check(CheckArgs),
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
    /// Ask as a caller does.
    Ask(AskArgs),
    /// Look up the charges of a request.
    Charges(ChargesArgs),
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

/// Checks a document and names every fault.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// the document (INI)
    #[argh(positional)]
    pub document: PathBuf,
}

/// Promotes a document and waits until it is in force everywhere.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "promote")]
pub struct PromoteArgs {
    /// the document (INI)
    #[argh(positional)]
    pub document: PathBuf,

    /// revision that the document was made from (default: the one in force)
    #[argh(option)]
    pub seen: Option<u64>,

    /// your name, told to those who race you
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,
}

/// Shows nodes, the revision in force at each, and candidate versions.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "status")]
#[expect(clippy::empty_structs_with_brackets, reason = "the form that argh derives for")]
pub struct StatusArgs {}

/// Takes a data centre or a target out: no new work goes there.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "take-out")]
pub struct TakeOutArgs {
    /// what it is: `data-centre` or `target`
    #[argh(positional)]
    pub kind: String,

    /// its name
    #[argh(positional)]
    pub name: String,
}

/// Brings a data centre or a target back.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "bring-back")]
pub struct BringBackArgs {
    /// what it is: `data-centre` or `target`
    #[argh(positional)]
    pub kind: String,

    /// its name
    #[argh(positional)]
    pub name: String,
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

    /// address of the platform's services
    #[argh(option)]
    pub platform: SocketAddr,

    /// environment (default: production)
    #[argh(option, default = "String::from(\"production\")")]
    pub environment: String,
}
