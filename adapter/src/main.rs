//! Runs instances of the decision module for the simulator, whose messages it reads from standard input and
//! answers on standard output.
mod host;
mod wire;

use std::io::{stdin, stdout, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 20, stdin().lock());
    let output = BufWriter::with_capacity(1 << 20, stdout().lock());
    // Panics of the module are reported on the wire; the default hook would print them a second time.
    std::panic::set_hook(Box::new(|_| {}));
    match host::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oakhollow-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
