//! Calls to the leader of the keepers.

use async_std::future::timeout;
use async_std::sync::Mutex;
use async_std::task;
use micaspool_clock::BootInstant;
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::traffic::TrafficCounter;
use micaspool_wire::socket;
use micaspool_wire::v1::{self, keeper_client::KeeperClient as WireClient};
use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::transport::Channel;
use tonic::Status;

/// The timeout of one try.
const TRY_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after as many unsuccessful tries as there are keepers.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// The maximum size of a message in bytes. The largest contains a whole settings tree.
pub(crate) const MAX_MESSAGE: usize = 64 * 1024 * 1024;

/// Why a call to the keepers failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The leader did not answer within the time limit.
    NoLeader {
        /// True if the call was sent to a keeper and may have taken effect.
        sent: bool,
    },
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NoLeader { sent: false } => {
                f.write_str("no leading keeper could be reached; check that a majority of keepers is running, and try again")
            }
            CallError::NoLeader { sent: true } => f.write_str(
                "no answer from the leading keeper; the call may have taken effect; repeat it with the same id",
            ),
        }
    }
}

impl std::error::Error for CallError {}

/// A reply that may name the leader instead of containing a result.
trait LeaderReply {
    /// Returns the leader that the keeper named because it does not lead itself.
    fn redirect(&self) -> Option<&v1::NotLeader>;
}

/// Calls the leader of the keepers, which it finds by trying them and following redirects.
#[derive(Debug)]
pub struct KeeperClient {
    keepers: std::sync::RwLock<Vec<PeerAddress>>,
    counter: TrafficCounter,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
    /// The keeper to try next: the one that answered last, the one named as leader, or the next in the list after a
    /// failure.
    preferred: std::sync::Mutex<Option<SocketAddr>>,
}

impl KeeperClient {
    /// Creates a client for these keepers. Calls to the leader panic if the list is empty.
    pub fn new(keepers: Vec<PeerAddress>, counter: TrafficCounter) -> KeeperClient {
        KeeperClient {
            keepers: std::sync::RwLock::new(keepers),
            counter,
            channels: Mutex::default(),
            preferred: std::sync::Mutex::default(),
        }
    }

    /// Returns the keepers.
    pub fn keepers(&self) -> Vec<PeerAddress> {
        self.read_keepers().clone()
    }

    /// Replaces the keepers. An empty list is ignored, since it would leave no keeper to call.
    pub fn set_keepers(&self, keepers: Vec<PeerAddress>) {
        if !keepers.is_empty() {
            *self.keepers.write().expect("the lock of the keepers is not poisoned") = keepers;
        }
    }

    fn read_keepers(&self) -> std::sync::RwLockReadGuard<'_, Vec<PeerAddress>> {
        self.keepers.read().expect("the lock of the keepers is not poisoned")
    }

    /// Publishes a route plan. Idempotent.
    pub async fn publish(
        &self,
        request: v1::PublishRequest,
        limit: Duration,
    ) -> Result<v1::PublishReply, CallError> {
        self.call(limit, |mut client| {
            let request = request.clone();
            async move { client.publish(request).await.map(tonic::Response::into_inner) }
        })
        .await
    }

    /// Reads the route plan, confirmed by a majority.
    pub async fn plan_confirmed(&self, limit: Duration) -> Result<v1::PlanReply, CallError> {
        self.call(limit, |mut client| async move {
            client.plan(v1::PlanRequest {}).await.map(tonic::Response::into_inner)
        })
        .await
    }

    /// Orders the evacuation of a data hall, or its return to use. Idempotent.
    pub async fn order_hall(
        &self,
        request: v1::OrderHallRequest,
        limit: Duration,
    ) -> Result<v1::OrderHallReply, CallError> {
        self.call(limit, |mut client| {
            let request = request.clone();
            async move { client.order_hall(request).await.map(tonic::Response::into_inner) }
        })
        .await
    }

    /// Records that an endpoint drains or has left. Idempotent.
    pub async fn depart(
        &self,
        request: v1::DepartRequest,
        limit: Duration,
    ) -> Result<v1::DepartReply, CallError> {
        self.call(limit, |mut client| {
            let request = request.clone();
            async move { client.depart(request).await.map(tonic::Response::into_inner) }
        })
        .await
    }

    /// Reads the orders about data halls, confirmed by a majority.
    pub async fn halls_confirmed(&self, limit: Duration) -> Result<v1::HallsReply, CallError> {
        self.call(limit, |mut client| async move {
            client.halls(v1::HallsRequest {}).await.map(tonic::Response::into_inner)
        })
        .await
    }

    /// Requests a settings change. A retry after a lost answer has the same change id.
    pub async fn apply(
        &self,
        request: v1::ApplyRequest,
        limit: Duration,
    ) -> Result<v1::ApplyReply, CallError> {
        self.call(limit, |mut client| {
            let request = request.clone();
            async move { client.apply(request).await.map(tonic::Response::into_inner) }
        })
        .await
    }

    /// Reads the settings, confirmed by a majority.
    pub async fn get_confirmed(&self, limit: Duration) -> Result<v1::GetReply, CallError> {
        let request = v1::GetRequest { confirmed: true };
        self.call(
            limit,
            |mut client| async move { client.get(request).await.map(tonic::Response::into_inner) },
        )
        .await
    }

    /// Reads the settings of one keeper, which may be outdated.
    pub async fn get_local(&self, keeper: &PeerAddress) -> Option<v1::SettingsUpdate> {
        let mut client = self.client(keeper.address).await?;
        let reply = timeout(TRY_TIMEOUT, client.get(v1::GetRequest { confirmed: false })).await.ok()?.ok()?;
        match reply.into_inner().outcome? {
            v1::get_reply::Outcome::Settings(update) => Some(update),
            v1::get_reply::Outcome::NotLeader(_) => None,
        }
    }

    /// Claims an idempotency key. A retry has the same token.
    pub async fn claim(
        &self,
        request: v1::ClaimRequest,
        limit: Duration,
    ) -> Result<v1::ClaimReply, CallError> {
        self.call(limit, |mut client| {
            let request = request.clone();
            async move { client.claim(request).await.map(tonic::Response::into_inner) }
        })
        .await
    }

    /// Records the outcome of a claimed call.
    pub async fn finish(
        &self,
        request: v1::FinishRequest,
        limit: Duration,
    ) -> Result<v1::FinishReply, CallError> {
        self.call(limit, |mut client| {
            let request = request.clone();
            async move { client.finish(request).await.map(tonic::Response::into_inner) }
        })
        .await
    }

    /// Returns a client for one keeper, or `None` if no connection can be opened.
    pub async fn client(&self, address: SocketAddr) -> Option<WireClient<Channel>> {
        let mut channels = self.channels.lock().await;
        let channel = match channels.get(&address) {
            Some(channel) => channel.clone(),
            None => {
                let channel = socket::connect(address, self.counter.clone()).await.ok()?;
                channels.insert(address, channel.clone());
                channel
            }
        };
        Some(
            WireClient::new(channel)
                .max_decoding_message_size(MAX_MESSAGE)
                .max_encoding_message_size(MAX_MESSAGE),
        )
    }

    /// Drops the connection to a keeper, so that the next call opens a new one.
    pub async fn forget(&self, address: SocketAddr) {
        self.channels.lock().await.remove(&address);
    }

    /// Tries keepers until the leader answers or `limit` has passed.
    async fn call<T, F>(
        &self,
        limit: Duration,
        attempt: impl Fn(WireClient<Channel>) -> F,
    ) -> Result<T, CallError>
    where
        T: LeaderReply,
        F: Future<Output = Result<T, Status>>,
    {
        let deadline = BootInstant::now() + limit;
        // Leaves time to try another keeper if this one does not answer.
        let max_try = limit * 2 / 3;
        let mut sent = false;
        let mut tries = 0;
        while BootInstant::now() < deadline {
            let address = self.preferred_address();
            let try_timeout =
                deadline.saturating_duration_since(BootInstant::now()).min(TRY_TIMEOUT).min(max_try);
            let redirect_address = match self.try_once(address, try_timeout, &attempt).await {
                TryOutcome::Replied(reply) => match reply.redirect() {
                    None => return Ok(reply),
                    Some(leader) => self.address_of(leader),
                },
                TryOutcome::Unreachable => None,
                TryOutcome::Failed => {
                    sent = true;
                    None
                }
            };
            self.set_preferred(redirect_address.unwrap_or_else(|| self.next_keeper(address)));
            tries += 1;
            if tries % self.read_keepers().len() == 0 {
                task::sleep(ROUND_PAUSE).await;
            }
        }
        Err(CallError::NoLeader { sent })
    }

    /// Returns the address of a named leader. The address in this process's list takes precedence, since the leader may
    /// have another address from the point of view of the keeper that named it.
    fn address_of(&self, leader: &v1::NotLeader) -> Option<SocketAddr> {
        let keepers = self.read_keepers();
        let listed = keepers.iter().find(|keeper| keeper.name.as_str() == leader.name);
        listed.map(|keeper| keeper.address).or_else(|| leader.leader.parse().ok())
    }

    fn preferred_address(&self) -> SocketAddr {
        let preferred = self.preferred.lock().expect("the lock of the preferred keeper is not poisoned");
        preferred.unwrap_or_else(|| self.read_keepers()[0].address)
    }

    fn set_preferred(&self, address: SocketAddr) {
        *self.preferred.lock().expect("the lock of the preferred keeper is not poisoned") = Some(address);
    }

    /// Returns the keeper listed after this one, or the first if this one is not listed.
    fn next_keeper(&self, address: SocketAddr) -> SocketAddr {
        let keepers = self.read_keepers();
        let position = keepers.iter().position(|keeper| keeper.address == address);
        let next = position.map_or(0, |position| (position + 1) % keepers.len());
        keepers[next].address
    }

    async fn try_once<T, F>(
        &self,
        address: SocketAddr,
        limit: Duration,
        attempt: impl Fn(WireClient<Channel>) -> F,
    ) -> TryOutcome<T>
    where
        F: Future<Output = Result<T, Status>>,
    {
        let Some(client) = self.client(address).await else { return TryOutcome::Unreachable };
        match timeout(limit, attempt(client)).await {
            Ok(Ok(reply)) => TryOutcome::Replied(reply),
            Ok(Err(_)) | Err(_) => {
                self.forget(address).await;
                TryOutcome::Failed
            }
        }
    }
}

/// The outcome of a call to one keeper.
enum TryOutcome<T> {
    Replied(T),
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The call failed or timed out, and may have taken effect.
    Failed,
}

impl LeaderReply for v1::ApplyReply {
    fn redirect(&self) -> Option<&v1::NotLeader> {
        match &self.outcome {
            Some(v1::apply_reply::Outcome::NotLeader(other)) => Some(other),
            _ => None,
        }
    }
}

impl LeaderReply for v1::GetReply {
    fn redirect(&self) -> Option<&v1::NotLeader> {
        match &self.outcome {
            Some(v1::get_reply::Outcome::NotLeader(other)) => Some(other),
            _ => None,
        }
    }
}

impl LeaderReply for v1::ClaimReply {
    fn redirect(&self) -> Option<&v1::NotLeader> {
        self.not_leader.as_ref()
    }
}

impl LeaderReply for v1::FinishReply {
    fn redirect(&self) -> Option<&v1::NotLeader> {
        self.not_leader.as_ref()
    }
}

impl LeaderReply for v1::PublishReply {
    fn redirect(&self) -> Option<&v1::NotLeader> {
        self.not_leader.as_ref()
    }
}

impl LeaderReply for v1::OrderHallReply {
    fn redirect(&self) -> Option<&v1::NotLeader> {
        self.not_leader.as_ref()
    }
}

impl LeaderReply for v1::DepartReply {
    fn redirect(&self) -> Option<&v1::NotLeader> {
        self.not_leader.as_ref()
    }
}

impl LeaderReply for v1::HallsReply {
    fn redirect(&self) -> Option<&v1::NotLeader> {
        self.not_leader.as_ref()
    }
}

impl LeaderReply for v1::PlanReply {
    fn redirect(&self) -> Option<&v1::NotLeader> {
        self.not_leader.as_ref()
    }
}
