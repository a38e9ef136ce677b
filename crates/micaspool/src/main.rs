//! The command line for operators.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod cli;

fn main() {
    micaspool_daemon::answer_version_request();
    std::process::exit(cli::run(argh::from_env()));
}
