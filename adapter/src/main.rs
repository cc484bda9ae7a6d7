//! Hosts instances of the decision module behind the simulator's wire on standard input and output.
mod host;
mod wire;

use std::io::{stdin, stdout, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 20, stdin().lock());
    let output = BufWriter::with_capacity(1 << 20, stdout().lock());
    // The module's panics are reported on the wire; the hook would only repeat them.
    std::panic::set_hook(Box::new(|_| {}));
    match host::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("oakhollow-adapter: {trouble}");
            ExitCode::FAILURE
        }
    }
}
