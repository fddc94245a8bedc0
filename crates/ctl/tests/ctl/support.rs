//! What the tests of the command line share.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use wasabipier_fakes::test_env::{OPERATOR_KEY, TestEnv, TestPlan};

/// The real command line.
const BINARY: &str = env!("CARGO_BIN_EXE_wasabipierctl");

/// What a command printed and how it ended.
#[derive(Debug)]
pub struct CtlRun {
    /// Exit code.
    pub code: Option<i32>,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub errors: String,
}

impl From<Output> for CtlRun {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code(),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            errors: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Runs the command line as it is given.
pub fn run(args: &[&str]) -> CtlRun {
    Command::new(BINARY).args(args).output().expect("the command line runs").into()
}

/// Runs the command line against the first node, with the operators' key.
pub fn ctl(env: &TestEnv, args: &[&str]) -> CtlRun {
    let key = write(env, "operator.key", OPERATOR_KEY);
    let node = env.nodes[0].caller_address.to_string();
    let mut all = vec!["--node", &node, "--key-file", key.to_str().expect("a plain path")];
    all.extend(args);
    run(&all)
}

/// An environment of three nodes; the node's binary is built beside the command line's.
pub fn environment() -> TestEnv {
    let node = Path::new(BINARY).with_file_name("wasabipier");
    assert!(node.exists(), "{} is missing: run `cargo test --workspace`", node.display());
    TestEnv::start(TestPlan::typical(node.to_string_lossy().into_owned().leak()))
}

/// Writes a file into the environment's folder.
pub fn write(env: &TestEnv, name: &str, text: &str) -> PathBuf {
    let path = env.folder().join(name);
    std::fs::write(&path, text).expect("the file can be written");
    path
}
