//! Streams settings updates to watchers.

use crate::engine::KeeperView;
use async_std::channel::{Receiver, Sender};
use async_std::future::timeout;
use micaspool_settings::apply::SettingsUpdate;
use micaspool_types::Revision;
use micaspool_wire::v1;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Sends a watcher the settings updates that it does not have, now and after each change.
pub(crate) async fn feed_watcher(
    view: Arc<Mutex<KeeperView>>,
    from: Revision,
    sender: Sender<v1::SettingsUpdate>,
) {
    let changes = view.lock().expect("no holder of the view panics").subscribe();
    let mut known_revision = from;
    let mut last_confirmed = None;
    loop {
        let (updates, confirmed, stopped) = {
            let view = view.lock().expect("no holder of the view panics");
            (view.updates_since(known_revision), view.status.confirmed, view.stopped)
        };
        if updates.is_empty() && last_confirmed != Some(confirmed) {
            let message =
                v1::SettingsUpdate { revision: known_revision.0, confirmed, ..v1::SettingsUpdate::default() };
            if sender.send(message).await.is_err() {
                return;
            }
        }
        for update in updates {
            known_revision = update.revision;
            if sender.send(update_message(update, confirmed)).await.is_err() {
                return;
            }
        }
        last_confirmed = Some(confirmed);
        if stopped || !wait_for_change(&changes, &sender).await {
            return;
        }
    }
}

/// Waits for a change of the view. Returns false once the watcher has disconnected or the view has
/// been dropped.
async fn wait_for_change(changes: &Receiver<()>, sender: &Sender<v1::SettingsUpdate>) -> bool {
    const CLOSE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
    loop {
        match timeout(CLOSE_CHECK_INTERVAL, changes.recv()).await {
            Ok(Ok(())) => return true,
            Ok(Err(_)) => return false,
            Err(_) if sender.is_closed() => return false,
            Err(_) => {}
        }
    }
}

/// Encodes a settings update.
pub(crate) fn update_message(update: SettingsUpdate, confirmed: bool) -> v1::SettingsUpdate {
    v1::SettingsUpdate {
        base: update.base.0,
        revision: update.revision.0,
        patch: update.patch.unwrap_or_default(),
        tree: update.tree.unwrap_or_default(),
        confirmed,
    }
}
