//! Starts a test environment and runs the command line for the tests.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use wasabipier_fakes::test_env::{OPERATOR_KEY, TestEnv, TestPlan};

/// Path of the `wasabipierctl` binary.
const BINARY: &str = env!("CARGO_BIN_EXE_wasabipierctl");

/// Output and exit code of one run of the command line.
#[derive(Debug)]
pub struct CtlRun {
    /// Exit code; `None` if a signal ended the run.
    pub code: Option<i32>,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl From<Output> for CtlRun {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code(),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Runs the command line with `args` alone, without a node or key file.
pub fn run(args: &[&str]) -> CtlRun {
    Command::new(BINARY).args(args).output().expect("the command line runs").into()
}

/// Runs the command line against the first node of `env`, with the operators' key.
pub fn ctl(env: &TestEnv, args: &[&str]) -> CtlRun {
    let key = write_file(env, "operator.key", OPERATOR_KEY);
    let node = env.nodes[0].caller_address.to_string();
    let mut all_args = vec!["--node", &node, "--key-file", key.to_str().expect("a plain path")];
    all_args.extend(args);
    run(&all_args)
}

/// Starts an environment of three nodes. The binary of the node has to be built into the same folder as the command
/// line's.
pub fn start_environment() -> TestEnv {
    let node = Path::new(BINARY).with_file_name("wasabipier");
    assert!(node.exists(), "{} is missing: run `cargo test --workspace`", node.display());
    TestEnv::start(TestPlan::typical(node.to_string_lossy().into_owned().leak()))
}

/// Writes a file into the folder of `env` and returns its path.
pub fn write_file(env: &TestEnv, name: &str, text: &str) -> PathBuf {
    let path = env.folder().join(name);
    std::fs::write(&path, text).expect("the file can be written");
    path
}
