//! The newest settings that this process knows.

use crate::keeper::KeeperClient;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::future::timeout;
use async_std::task;
use micaspool_clock::BootInstant;
use micaspool_settings::document::join_faults;
use micaspool_settings::merge::merge_patch;
use micaspool_settings::policy::{compile_tree, FleetPolicy, SharedPolicy};
use micaspool_settings::process::PeerAddress;
use micaspool_telemetry::events::{self, field, record};
use micaspool_types::Revision;
use micaspool_wire::v1;
use serde_json::Value;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a process that starts empty asks for a majority's settings before it takes the
/// newest that any keeper has.
const MAJORITY_LIMIT: Duration = Duration::from_millis(1_500);
/// The pause between two tries to watch.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// For how long a keeper that heard no majority is watched before another is tried.
const UNCONFIRMED_LIMIT: Duration = Duration::from_secs(2);

/// What a process knows about its settings.
#[derive(Debug, Clone)]
pub struct MirrorState {
    /// The policy in force.
    pub policy: SharedPolicy,
    /// Since when no keeper with a majority was heard; `None` while one is.
    pub cut_off_since: Option<BootInstant>,
}

/// Follows the settings that the keepers hold.
#[derive(Debug)]
pub struct SettingsMirror {
    client: Arc<KeeperClient>,
    watcher: String,
    state: Mutex<MirrorContent>,
}

#[derive(Debug)]
struct MirrorContent {
    tree: Value,
    shown: MirrorState,
    listeners: Vec<Sender<()>>,
}

impl SettingsMirror {
    /// Starts to follow; `watcher` names this process in the keepers' logs.
    pub fn start(client: Arc<KeeperClient>, watcher: &str) -> Arc<SettingsMirror> {
        let shown =
            MirrorState { policy: Arc::new(FleetPolicy::default()), cut_off_since: Some(BootInstant::now()) };
        let content = MirrorContent { tree: Value::Null, shown, listeners: Vec::new() };
        let mirror =
            Arc::new(SettingsMirror { client, watcher: watcher.to_owned(), state: Mutex::new(content) });
        task::spawn(mirror.clone().follow());
        mirror
    }

    /// The settings in force, and whether a majority confirms them.
    pub fn state(&self) -> MirrorState {
        self.lock().shown.clone()
    }

    /// The policy in force.
    pub fn policy(&self) -> SharedPolicy {
        self.lock().shown.policy.clone()
    }

    /// True once any settings are in force.
    pub fn is_ready(&self) -> bool {
        self.policy().revision > Revision(0)
    }

    /// A channel that gets a message after newer settings came into force.
    pub fn listen(&self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        self.lock().listeners.push(sender);
        receiver
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, MirrorContent> {
        self.state.lock().expect("no holder of the mirror's state panics")
    }

    async fn follow(self: Arc<Self>) {
        self.start_from_majority().await;
        let keepers = self.client.keepers();
        for position in (0..keepers.len()).cycle().skip(first_keeper(&self.watcher, keepers.len())) {
            self.watch(&keepers[position]).await;
            self.note_confirmed(false);
            task::sleep(RETRY_PAUSE).await;
        }
    }

    /// A process that starts empty takes a majority's settings, or failing that the newest that
    /// it can reach, so that a stale keeper does not take it back.
    async fn start_from_majority(&self) {
        if let Ok(reply) = self.client.get_confirmed(MAJORITY_LIMIT).await {
            if let Some(v1::get_reply::Outcome::Settings(update)) = reply.outcome {
                self.take(update);
                return;
            }
        }
        for keeper in self.client.keepers() {
            if let Some(update) = self.client.get_local(&keeper).await {
                self.take(v1::SettingsUpdate { confirmed: false, ..update });
            }
        }
    }

    /// Takes updates from one keeper until its stream ends or it has been without a majority for
    /// too long.
    async fn watch(&self, keeper: &PeerAddress) {
        let Some(mut client) = self.client.client(keeper.address).await else { return };
        let revision = self.policy().revision.0;
        let request = v1::WatchRequest { revision, watcher: self.watcher.clone() };
        let Ok(reply) = client.watch(request).await else {
            self.client.forget(keeper.address).await;
            return;
        };
        let mut updates = reply.into_inner();
        loop {
            let confirmed = self.lock().shown.cut_off_since.is_none();
            let next = updates.message();
            let update = if confirmed {
                next.await
            } else {
                match timeout(UNCONFIRMED_LIMIT, next).await {
                    Ok(update) => update,
                    Err(_) => return,
                }
            };
            let usable = match update {
                Ok(Some(update)) => self.take(update),
                Ok(None) => false,
                Err(_) => {
                    self.client.forget(keeper.address).await;
                    false
                }
            };
            if !usable {
                return;
            }
        }
    }

    /// Takes an update; false when it does not fit what this process holds.
    fn take(&self, update: v1::SettingsUpdate) -> bool {
        self.note_confirmed(update.confirmed);
        let mut content = self.lock();
        let held = content.shown.policy.revision;
        if update.revision <= held.0 {
            return true;
        }
        let Some(tree) = next_tree(&content.tree, held, &update) else { return false };
        match compile_tree(Revision(update.revision), &tree) {
            Ok(policy) => {
                content.tree = tree;
                content.shown.policy = Arc::new(policy);
                content.listeners.retain(|listener| !listener.is_closed());
                for listener in &content.listeners {
                    let _ = listener.try_send(());
                }
                record(&events::SETTINGS_IN_FORCE, &[field("revision", update.revision)]);
                true
            }
            Err(faults) => {
                let fields = [field("revision", update.revision), field("faults", join_faults(&faults))];
                record(&events::SETTINGS_UNUSABLE, &fields);
                false
            }
        }
    }

    fn note_confirmed(&self, confirmed: bool) {
        let mut content = self.lock();
        let since = &mut content.shown.cut_off_since;
        if confirmed {
            *since = None;
        } else if since.is_none() {
            *since = Some(BootInstant::now());
            record(&events::SETTINGS_DISCONNECTED, &[]);
        }
    }
}

/// Spreads watchers over the keepers by their names.
fn first_keeper(watcher: &str, count: usize) -> usize {
    let sum: usize = watcher.bytes().map(usize::from).sum();
    sum % count.max(1)
}

fn next_tree(tree: &Value, held: Revision, update: &v1::SettingsUpdate) -> Option<Value> {
    if !update.tree.is_empty() {
        return serde_json::from_str(&update.tree).ok();
    }
    if update.base != held.0 {
        return None;
    }
    let patch: Value = serde_json::from_str(&update.patch).ok()?;
    let mut next = tree.clone();
    merge_patch(&mut next, &patch);
    Some(next)
}
