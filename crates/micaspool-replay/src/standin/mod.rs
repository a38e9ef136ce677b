//! A stand-in endpoint over HTTP: a model engine or a plain service.
//!
//! It streams, reports its load, echoes the request id, refuses beyond its slots, and remembers
//! which requests it ran, so that tests can see that none ran twice.

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
    /// Starts an endpoint; port 0 takes a free one.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Every request that it began to run, in order.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.state.runs()
    }

    /// How many requests it turned away with a time to rest.
    pub fn retry_after_refusals(&self) -> usize {
        self.state.retry_after_refusals()
    }

    /// Takes no new work, and says so, from now on.
    pub fn drain(&self) {
        self.state.set_draining(true);
    }

    /// Misbehaves in this way from now on.
    pub fn set_fault(&self, fault: FaultMode) {
        self.state.set_fault(fault);
    }

    /// Closes the listener.
    pub fn stop(&self) {
        self.server.stop();
    }
}
