//! Recorded traces: a JSON header line, then one JSON array a request.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::io::{self, BufRead, Write};

/// A customer of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceCustomer {
    /// Its name.
    pub name: String,
    /// Its weight.
    pub weight: u32,
    /// The data halls that it may use, as bits.
    pub halls: u32,
}

/// The world that a trace was recorded in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceHeader {
    /// The name of the trace.
    pub name: String,
    /// The number of data halls.
    pub halls: usize,
    /// The number of endpoints, spread evenly over the halls.
    pub endpoints: usize,
    /// The slots of each endpoint.
    pub slots: u32,
    /// Microseconds for one unit of cost.
    pub unit_micros: u64,
    /// The number of routers.
    pub routers: usize,
    /// Microseconds of a message between two processes.
    pub wire_micros: u64,
    /// The customers.
    pub customers: Vec<TraceCustomer>,
}

/// One request of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceRequest {
    /// Milliseconds from the start of the trace.
    pub at_millis: u64,
    /// The position of its customer.
    pub customer: usize,
    /// The position of the router that it comes to.
    pub router: usize,
    /// The hint.
    pub hint: u64,
    /// The real cost.
    pub cost: u64,
    /// The conversation that it continues; requests of one share prompt prefixes.
    pub conversation: u64,
}

/// A whole trace.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedTrace {
    /// The world.
    pub header: TraceHeader,
    /// The requests in the order of their arrival.
    pub requests: Vec<TraceRequest>,
}

/// Why a trace cannot be read.
#[derive(Debug)]
pub enum Error {
    /// It cannot be read or written.
    Io(io::Error),
    /// A line is not what it should be.
    Line(usize, String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(error) => write!(f, "the trace cannot be read or written ({error}); check the path"),
            Error::Line(number, error) => {
                write!(f, "line {number} of the trace is wrong ({error}); record it again")
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Error::Io(error)
    }
}

impl RecordedTrace {
    /// Reads a trace.
    pub fn read(source: impl BufRead) -> Result<RecordedTrace, Error> {
        let mut lines = source.lines();
        let first = lines.next().ok_or_else(|| Error::Line(1, "the header is missing".to_owned()))??;
        let header: TraceHeader =
            serde_json::from_str(&first).map_err(|error| Error::Line(1, error.to_string()))?;
        let mut requests = Vec::new();
        for (number, line) in lines.enumerate() {
            let fields: [u64; 6] =
                serde_json::from_str(&line?).map_err(|error| Error::Line(number + 2, error.to_string()))?;
            let [at_millis, customer, router, hint, cost, conversation] = fields;
            if customer as usize >= header.customers.len() || router as usize >= header.routers {
                return Err(Error::Line(
                    number + 2,
                    "it names a customer or router that is not there".to_owned(),
                ));
            }
            let (customer, router) = (customer as usize, router as usize);
            requests.push(TraceRequest { at_millis, customer, router, hint, cost, conversation });
        }
        Ok(RecordedTrace { header, requests })
    }

    /// Writes a trace.
    pub fn write(&self, mut target: impl Write) -> Result<(), Error> {
        let header =
            serde_json::to_string(&self.header).expect("a header has nothing that cannot be encoded");
        writeln!(target, "{header}")?;
        for request in &self.requests {
            let TraceRequest { at_millis, customer, router, hint, cost, conversation } = request;
            writeln!(target, "[{at_millis},{customer},{router},{hint},{cost},{conversation}]")?;
        }
        Ok(())
    }

    /// The largest cost of a single request: the unit of the gap.
    pub fn largest_cost(&self) -> u64 {
        self.requests.iter().map(|request| request.cost).max().unwrap_or(1).max(1)
    }
}
