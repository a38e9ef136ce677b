//! What this program was built from.

use std::fmt;

/// The commit and sources that the programs of a deployment were built from.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct BuildIdentity {
    /// The version of the package.
    pub version: &'static str,
    /// The commit of the checkout, 12 hexadecimal digits, followed by `-changed` if the sources differed from it.
    pub commit: &'static str,
    /// The beginning of a hash of all sources, 12 hexadecimal digits.
    pub sources: &'static str,
}

/// What a program says that cargo alone has built: by file times, it may hold parts of earlier sources.
const UNKNOWN: &str = "unknown";

impl BuildIdentity {
    /// Returns the identity of this program. Commit and sources are known if `deploy/build` built it.
    pub fn current() -> BuildIdentity {
        BuildIdentity {
            version: env!("CARGO_PKG_VERSION"),
            commit: option_env!("MICASPOOL_COMMIT").unwrap_or(UNKNOWN),
            sources: option_env!("MICASPOOL_SOURCES").unwrap_or(UNKNOWN),
        }
    }
}

impl fmt::Display for BuildIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (commit {}, sources {})", self.version, self.commit, self.sources)
    }
}

/// Prints the name and identity of this program and exits with code 0 if its only argument is `--version`.
pub fn answer_version_request() {
    let mut arguments = std::env::args();
    let path = arguments.next().unwrap_or_default();
    if arguments.next().as_deref() == Some("--version") && arguments.next().is_none() {
        let program = path.rsplit('/').next().unwrap_or_default();
        println!("{program} {}", BuildIdentity::current());
        std::process::exit(0);
    }
}
