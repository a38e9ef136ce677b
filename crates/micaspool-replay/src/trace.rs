//! Trace files: a JSON header line, then one JSON array per request.

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
    /// The data halls that it may use, as a bit mask.
    pub halls: u32,
}

/// The simulated deployment and its customers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceHeader {
    /// The name of the trace.
    pub name: String,
    /// The number of data halls.
    pub halls: usize,
    /// The number of endpoints, assigned to the data halls in turn.
    pub endpoints: usize,
    /// The number of slots of each endpoint.
    pub slots: u32,
    /// The time to process one unit of cost, in microseconds.
    pub unit_micros: u64,
    /// The number of routers.
    pub routers: usize,
    /// The one-way delay of a message between two processes, in microseconds.
    pub wire_micros: u64,
    /// The customers.
    pub customers: Vec<TraceCustomer>,
}

/// One request of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceRequest {
    /// The arrival time, in milliseconds from the start of the trace.
    pub at_millis: u64,
    /// The index of its customer in the header.
    pub customer: usize,
    /// The index of the router that receives it.
    pub router: usize,
    /// The estimated cost that the router passes to the dispatcher, in units.
    pub hint: u64,
    /// The actual cost, in units.
    pub cost: u64,
    /// The conversation that it belongs to. Requests of one customer and conversation share prompt prefixes.
    pub conversation: u64,
}

/// A trace: the simulated deployment and the requests that it receives.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedTrace {
    /// The deployment and the customers.
    pub header: TraceHeader,
    /// The requests, ordered by arrival time.
    pub requests: Vec<TraceRequest>,
}

/// An error from reading or writing a trace.
#[derive(Debug)]
pub enum Error {
    /// The input or output failed.
    Io(io::Error),
    /// The line with this number, counted from 1, is malformed.
    Line(usize, String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(error) => write!(f, "the trace cannot be read or written ({error}); check the path"),
            Error::Line(number, error) => {
                write!(f, "line {number} of the trace is malformed ({error}); record it again")
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
    /// Reads a trace; fails at the first malformed line.
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
                    "its customer or router is not in the header".to_owned(),
                ));
            }
            let (customer, router) = (customer as usize, router as usize);
            requests.push(TraceRequest { at_millis, customer, router, hint, cost, conversation });
        }
        Ok(RecordedTrace { header, requests })
    }

    /// Writes the trace in the format that [`RecordedTrace::read`] reads.
    pub fn write(&self, mut target: impl Write) -> Result<(), Error> {
        let header =
            serde_json::to_string(&self.header).expect("every field of the header can be encoded as JSON");
        writeln!(target, "{header}")?;
        for request in &self.requests {
            let TraceRequest { at_millis, customer, router, hint, cost, conversation } = request;
            writeln!(target, "[{at_millis},{customer},{router},{hint},{cost},{conversation}]")?;
        }
        Ok(())
    }

    /// The largest cost of a single request, at least 1. Fairness gaps are reported in this unit.
    pub fn largest_cost(&self) -> u64 {
        self.requests.iter().map(|request| request.cost).max().unwrap_or(1).max(1)
    }
}
