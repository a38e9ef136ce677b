//! This router's part of one shard.

mod dispatchers;
mod lease;
mod link;
mod state;

pub use dispatchers::{
    DispatcherAddress, DispatcherCandidate, DispatcherList, ListedDispatchers, LocalDispatcher, MessageStream,
};
pub use lease::GrantLease;

use async_std::channel::bounded;
use micaspool_backpressure::SharedAdvice;
use micaspool_clock::BootInstant;
use micaspool_dispatch::RequestTicket;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_types::{
    AdviceRecord, CustomerName, Incarnation, InstanceName, Refusal, RefusalKind, RequestId, ServiceName,
};
use micaspool_wire::v1;
use serde_json::json;
use state::{ShardState, WaitResult, WaitingEntry};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// After this time without any dispatcher new requests are refused at once.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(2);
/// When a request that found no dispatcher may come back.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Who this router is and whom it may speak to.
#[derive(Debug, Clone)]
pub struct ShardClientOptions {
    /// The instance of the router.
    pub router: InstanceName,
    /// Its data hall.
    pub hall: String,
    /// Tells one life of the router from the next.
    pub incarnation: Incarnation,
    /// The dispatchers of the region.
    pub dispatchers: Arc<dyn DispatcherList>,
    /// What endpoints asked of this process.
    pub advice: Arc<SharedAdvice>,
    /// Counts control bytes.
    pub counter: TrafficCounter,
}

/// Holds this router's requests of one service and speaks to the dispatcher that orders them.
#[derive(Debug)]
pub struct ShardClient {
    service: ServiceName,
    options: ShardClientOptions,
    state: Mutex<ShardState>,
}

/// Gives a waiting request up when its caller no longer waits.
struct WaitGuard {
    client: Arc<ShardClient>,
    request: RequestId,
    is_armed: bool,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if self.is_armed {
            self.client.cancel(self.request);
        }
    }
}

impl ShardClient {
    /// Starts to look for a dispatcher.
    pub fn start(service: ServiceName, options: ShardClientOptions) -> Arc<ShardClient> {
        let state = Mutex::new(ShardState::new(BootInstant::now()));
        let client = Arc::new(ShardClient { service, options, state });
        tokio::spawn(link::maintain_link(Arc::downgrade(&client)));
        client
    }

    /// Says whether a new request of a customer may be submitted. Most of what the dispatcher would refuse is refused
    /// here, before its router has spent anything on it. Asked once for each request.
    pub fn admit(&self, customer: &CustomerName) -> Result<(), Refusal> {
        self.lock_state().check_throttle(customer)
    }

    /// Waits until the request may run. Dropping the future gives the request up.
    pub async fn acquire(
        self: &Arc<Self>,
        ticket: RequestTicket,
        traceparent: Option<String>,
    ) -> Result<GrantLease, Refusal> {
        let request = ticket.request;
        let (sender, receiver) = bounded(1);
        self.submit(ticket, sender, traceparent)?;
        let mut guard = WaitGuard { client: self.clone(), request, is_armed: true };
        let result = receiver.recv().await;
        guard.is_armed = false;
        match result {
            Ok(Ok(grant)) => Ok(GrantLease::new(self.clone(), request, grant)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::not_run(RefusalKind::NoDispatcher).after(RETRY_AFTER)),
        }
    }

    /// Tells the dispatcher what an endpoint asked of this router; one that is met later hears of it at first.
    pub fn report_advice(&self, advice: AdviceRecord) {
        self.lock_state().report_advice(&advice);
    }

    /// The service of the shard.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// True while a dispatcher is reached.
    pub fn is_linked(&self) -> bool {
        self.lock_state().is_linked()
    }

    /// The number of waiting and of running requests.
    pub fn counts(&self) -> (usize, usize) {
        self.lock_state().counts()
    }

    /// What operators see of it.
    pub fn state(&self) -> serde_json::Value {
        let (waiting, running) = self.counts();
        json!({
            "service": self.service.as_str(),
            "linked": self.is_linked(),
            "waiting": waiting,
            "running": running,
        })
    }

    fn submit(
        &self,
        ticket: RequestTicket,
        waiter: async_std::channel::Sender<WaitResult>,
        traceparent: Option<String>,
    ) -> Result<(), Refusal> {
        let mut state = self.lock_state();
        if state.unreachable_for() > UNREACHABLE_TIMEOUT {
            return Err(Refusal::not_run(RefusalKind::NoDispatcher).after(RETRY_AFTER));
        }
        state.add_waiting(WaitingEntry { ticket, traceparent: traceparent.unwrap_or_default(), waiter });
        Ok(())
    }

    fn cancel(&self, request: RequestId) {
        self.lock_state().cancel(request);
    }

    fn lock_state(&self) -> std::sync::MutexGuard<'_, ShardState> {
        self.state.lock().expect("no holder of the requests panics")
    }

    fn hello(&self, state: &mut ShardState) -> v1::RouterMessage {
        let advice = self.options.advice.records(&self.service);
        let hello = state.build_hello(&self.options, advice);
        let mut message = micaspool_wire::convert::hello_message(&self.service, &self.options.hall, &hello);
        for submit in &mut message.waiting {
            submit.traceparent = state.traceparent_of(&submit.request);
        }
        v1::RouterMessage { body: Some(v1::router_message::Body::Hello(message)) }
    }
}
