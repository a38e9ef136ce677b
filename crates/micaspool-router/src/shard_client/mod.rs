//! The client of one shard: the requests of one service that this router holds.

mod dispatchers;
mod lease;
mod link;
mod state;
mod unanswered;

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
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Once no dispatcher has been reachable for this long, new requests are refused immediately.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(2);
/// `Retry-After` of requests refused for lack of a dispatcher.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Within this time dispatchers that keep up answer tickets, also when their processor is saturated.
const USUAL_ANSWER_TIME: Duration = Duration::from_millis(300);

/// The identity of this router and the dependencies of its shard clients.
#[derive(Debug, Clone)]
pub struct ShardClientOptions {
    /// The instance of the router.
    pub router: InstanceName,
    /// The data hall of the instance.
    pub hall: String,
    /// Distinguishes this run of the router from earlier and later ones.
    pub incarnation: Incarnation,
    /// The dispatchers that may be used.
    pub dispatchers: Arc<dyn DispatcherList>,
    /// The advice that endpoints gave this process: to send nothing for a while (a rest), or that they are leaving.
    pub advice: Arc<SharedAdvice>,
    /// Counts the control traffic, in bytes.
    pub counter: TrafficCounter,
}

/// Holds this router's requests of one service and the session with the dispatcher that grants them.
#[derive(Debug)]
pub struct ShardClient {
    service: ServiceName,
    options: ShardClientOptions,
    state: Mutex<ShardState>,
}

/// Returns `delay`, the age of the customer's oldest unanswered ticket, if a ticket sent to the dispatcher now would be
/// answered too late. The dispatcher handles the tickets of a customer about in the order in which they come, so a new one
/// waits as long as the oldest that is unanswered and that no answered one has passed.
fn excess_delay(ticket: &RequestTicket, delay: Duration) -> Option<Duration> {
    let bound = ticket.objective.or(ticket.patience)?.max(USUAL_ANSWER_TIME);
    (delay > bound).then_some(delay)
}

/// Cancels a waiting request when the future that waits for it is dropped.
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
    /// Creates a client and starts connecting to a dispatcher.
    pub fn start(service: ServiceName, options: ShardClientOptions) -> Arc<ShardClient> {
        let state = Mutex::new(ShardState::new(BootInstant::now()));
        let client = Arc::new(ShardClient { service, options, state });
        tokio::spawn(link::maintain_link(Arc::downgrade(&client)));
        client
    }

    /// Checks whether a new request of a customer may be submitted. Must be called once per request.
    ///
    /// This refuses most of the requests that the dispatcher would refuse, before the router has spent resources on
    /// them.
    pub fn admit(&self, customer: &CustomerName) -> Result<(), Refusal> {
        self.lock_state().check_throttle(customer)
    }

    /// Waits until the request may run. Dropping the future cancels the request.
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

    /// Reports an endpoint's advice to the dispatcher. Later dispatchers receive it in the hello.
    pub fn report_advice(&self, advice: AdviceRecord) {
        self.lock_state().report_advice(&advice);
    }

    /// Returns the service of the shard.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns true while there is a stream to a dispatcher, including one that is being opened.
    pub fn is_linked(&self) -> bool {
        self.lock_state().is_linked()
    }

    /// Returns the numbers of waiting and running requests.
    pub fn counts(&self) -> (usize, usize) {
        self.lock_state().counts()
    }

    /// Returns the state of the client for status pages.
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
        if let Some(delay) = excess_delay(&ticket, state.answer_delay(&ticket.customer)) {
            return Err(Refusal::not_run(RefusalKind::Overloaded).after(delay));
        }
        let submitted_at = state.current_moment();
        let traceparent = traceparent.unwrap_or_default();
        state.add_waiting(WaitingEntry { ticket, traceparent, waiter, submitted_at });
        Ok(())
    }

    fn cancel(&self, request: RequestId) {
        self.lock_state().cancel(request);
    }

    /// A panic under the lock ends the call that met it; the others go on with what it left.
    fn lock_state(&self) -> std::sync::MutexGuard<'_, ShardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Builds the first message of a session, which carries everything that this router holds.
    fn build_hello_message(&self, state: &mut ShardState) -> v1::RouterMessage {
        let advice = self.options.advice.records(&self.service);
        let hello = state.build_hello(&self.options, advice);
        let mut message = micaspool_wire::convert::hello_message(&self.service, &self.options.hall, &hello);
        for submit in &mut message.waiting {
            submit.traceparent = state.traceparent_of(&submit.request);
        }
        v1::RouterMessage { body: Some(v1::router_message::Body::Hello(message)) }
    }
}
