//! Tells followers of the fleet: the route plan, orders about halls, the endpoints heard here, and the members.

use crate::engine::KeeperView;
use crate::registry_hub::{HubCursor, HubScope, RegistryHub};
use async_std::channel::{Receiver, Sender};
use async_std::future::timeout;
use futures::future::select;
use futures::pin_mut;
use micaspool_clock::BootInstant;
use micaspool_wire::convert::{endpoint_message, hall_messages};
use micaspool_wire::v1;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tonic::Status;

/// How often a follower hears of this keeper when nothing changes. A follower takes a keeper for lost after
/// two and a half times as long; a router notices a dispatcher that is gone by its own requests, earlier.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How often a follower is told of endpoints that said nothing new. It forgets one after ten seconds.
const REFRESH_INTERVAL: Duration = Duration::from_secs(3);

/// The least time between two messages that name endpoints, in which what they say is gathered: they may come back by the
/// hundred. A new plan, an order about a hall and a new majority are told at once.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// What a follower has been told.
struct FollowerState {
    number: u64,
    /// The number of the newest order about a hall.
    hall_order: u64,
    cursor: HubCursor,
    /// When it is told of all endpoints that were heard.
    refresh_due: BootInstant,
    keepers: Vec<String>,
}

/// Sends a follower everything, then what changes, until it leaves or the keeper stops.
pub(crate) async fn feed_follower(
    view: Arc<Mutex<KeeperView>>,
    hub: Arc<RegistryHub>,
    number: u64,
    sender: Sender<Result<v1::FleetNews, Status>>,
) {
    let changes = view.lock().expect("no holder of the view panics").subscribe();
    let records = hub.subscribe();
    let cursor = HubCursor::default();
    let mut state =
        FollowerState { number, hall_order: 0, cursor, refresh_due: BootInstant::now(), keepers: Vec::new() };
    loop {
        let (news, stopped) = state.next_news(&view, &hub);
        let names_endpoints = !news.endpoints.is_empty();
        if sender.send(Ok(news)).await.is_err() || stopped {
            return;
        }
        let interrupted = names_endpoints && timeout(BATCH_INTERVAL, changes.recv()).await.is_ok();
        if !interrupted {
            wait_for_news(&changes, &records).await;
        }
    }
}

async fn wait_for_news(changes: &Receiver<()>, records: &Receiver<()>) {
    let change = changes.recv();
    let endpoint = records.recv();
    pin_mut!(change, endpoint);
    // Both an event and a pulse lead to the next message, so which of them came does not matter.
    let _ = timeout(HEARTBEAT_INTERVAL, select(change, endpoint)).await;
}

impl FollowerState {
    fn next_news(&mut self, view: &Mutex<KeeperView>, hub: &RegistryHub) -> (v1::FleetNews, bool) {
        let view = view.lock().expect("no holder of the view panics");
        let mut news = v1::FleetNews { confirmed: view.status.confirmed, ..v1::FleetNews::default() };
        if view.plan.number > self.number {
            self.number = view.plan.number;
            news.plan =
                Some(v1::PlanDocument { number: view.plan.number, document: view.plan.text.to_string() });
        }
        if view.halls.newest() > self.hall_order {
            self.hall_order = view.halls.newest();
            news.halls = hall_messages(&view.halls);
        }
        let members = view.status.membership.members.iter();
        let keepers: Vec<String> = members.map(|member| member.identity.name.to_string()).collect();
        // Followers believe a list only from a keeper that hears a majority; until then it is not told.
        if view.status.confirmed && keepers != self.keepers {
            news.keepers.clone_from(&keepers);
            self.keepers = keepers;
        }
        let stopped = view.stopped;
        drop(view);
        let (records, cursor) = hub.records_since(self.cursor, self.next_scope());
        self.cursor = cursor;
        news.endpoints = records.iter().map(endpoint_message).collect();
        (news, stopped)
    }

    /// Everything that was heard once in a while, else what is new.
    fn next_scope(&mut self) -> HubScope {
        let now = BootInstant::now();
        if now < self.refresh_due {
            return HubScope::Changed;
        }
        self.refresh_due = now + REFRESH_INTERVAL;
        HubScope::Received
    }
}
