//! A stand-in endpoint that serves HTTP like a model engine or a plain service.
//!
//! It streams answers, reports its load, echoes the request id, refuses requests beyond its slots, and records
//! the requests that it ran, so that tests can check that none ran twice.

mod answers;
mod handler;

pub use handler::{FaultMode, RunRecord, StandInOptions};

use async_std::net::TcpListener;
use async_std::task;
use handler::{StandInHandler, StandInState};
use micaspool_http::server::{HttpServer, ServerOptions};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// A running stand-in endpoint.
#[derive(Debug, Clone)]
pub struct StandInEndpoint {
    address: SocketAddr,
    state: Arc<StandInState>,
    server: HttpServer,
}

impl StandInEndpoint {
    /// Starts an endpoint. Port 0 selects a free port.
    pub async fn start(address: SocketAddr, options: StandInOptions) -> io::Result<StandInEndpoint> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(StandInState::new(options));
        let handler = Arc::new(StandInHandler::new(state.clone()));
        let server = HttpServer::new(handler, ServerOptions::default());
        let serving = server.clone();
        task::spawn(async move { serving.serve(listener).await });
        Ok(StandInEndpoint { address, state, server })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The requests that it started to run, in order.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.state.runs()
    }

    /// The number of requests refused with a `retry-after` header.
    pub fn retry_after_refusals(&self) -> usize {
        self.state.retry_after_refusals()
    }

    /// Refuses new requests from now on and reports that it is draining.
    pub fn drain(&self) {
        self.state.set_draining(true);
    }

    /// Sets the fault that it shows from now on.
    pub fn set_fault(&self, fault: FaultMode) {
        self.state.set_fault(fault);
    }

    /// Accepts no new connections and requests from now on.
    pub fn stop(&self) {
        self.server.stop();
    }
}
