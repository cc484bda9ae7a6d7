//! What is built beside the tests.
use std::path::PathBuf;

/// The program, which the workspace's tests build beside ours.
pub fn program() -> PathBuf {
    let own = std::env::current_exe().expect("this test's path");
    let program = own.ancestors().nth(2).expect("the build's folder").join("oakhollow");
    assert!(program.exists(), "no {}: cargo test --workspace builds it", program.display());
    program
}
