//! The path of the program under test.
use std::path::PathBuf;

/// The `oakhollow` binary, which `cargo test --workspace` builds into the same target folder.
pub fn program() -> PathBuf {
    let own = std::env::current_exe().expect("this test's path");
    let program = own.ancestors().nth(2).expect("the build's folder").join("oakhollow");
    assert!(program.exists(), "no {}: cargo test --workspace builds it", program.display());
    program
}
