//! The command line, declared in one place.

use std::path::PathBuf;

use argh::FromArgs;

/// Runs a node of wasabipier.
#[derive(Clone, Debug, FromArgs)]
pub struct NodeArgs {
    /// file with the node's settings (INI)
    #[argh(option, short = 's')]
    pub settings: PathBuf,

    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}
