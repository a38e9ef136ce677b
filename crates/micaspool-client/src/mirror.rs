//! A local copy of the newest settings.

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

/// How long a starting process tries to read settings confirmed by a majority before it uses the newest of any keeper.
const MAJORITY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The pause before the next keeper is watched.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long to wait for a message from a keeper without a majority before another is watched.
const MAX_UNCONFIRMED_WATCH: Duration = Duration::from_secs(2);

/// The settings of a process and whether they are confirmed.
#[derive(Debug, Clone)]
pub struct MirrorState {
    /// The policy in force.
    pub policy: SharedPolicy,
    /// Since when the watched keepers have had no majority; `None` while the settings are confirmed.
    pub unconfirmed_since: Option<BootInstant>,
}

/// Tracks the settings held by the keepers, by watching one keeper at a time.
#[derive(Debug)]
pub struct SettingsMirror {
    client: Arc<KeeperClient>,
    watcher: String,
    inner: Mutex<MirrorContent>,
}

#[derive(Debug)]
struct MirrorContent {
    tree: Value,
    published: MirrorState,
    subscribers: Vec<Sender<()>>,
}

impl SettingsMirror {
    /// Creates a mirror and starts to track the settings. `watcher` is the name of this process in the keepers' logs.
    pub fn start(client: Arc<KeeperClient>, watcher: &str) -> Arc<SettingsMirror> {
        let published = MirrorState {
            policy: Arc::new(FleetPolicy::default()),
            unconfirmed_since: Some(BootInstant::now()),
        };
        let content = MirrorContent { tree: Value::Null, published, subscribers: Vec::new() };
        let mirror =
            Arc::new(SettingsMirror { client, watcher: watcher.to_owned(), inner: Mutex::new(content) });
        task::spawn(mirror.clone().follow());
        mirror
    }

    /// Returns the policy in force and whether a majority confirms it.
    pub fn state(&self) -> MirrorState {
        self.lock().published.clone()
    }

    /// Returns the policy in force.
    pub fn policy(&self) -> SharedPolicy {
        self.lock().published.policy.clone()
    }

    /// Returns true once any settings are in force.
    pub fn is_ready(&self) -> bool {
        self.policy().revision > Revision(0)
    }

    /// Returns a channel that receives a message after newer settings have come into force.
    pub fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        self.lock().subscribers.push(sender);
        receiver
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, MirrorContent> {
        self.inner.lock().expect("the lock of the mirror is not poisoned")
    }

    async fn follow(self: Arc<Self>) {
        self.start_from_majority().await;
        let keepers = self.client.keepers();
        for position in (0..keepers.len()).cycle().skip(first_keeper(&self.watcher, keepers.len())) {
            self.watch(&keepers[position]).await;
            self.set_confirmed(false);
            task::sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads the first settings: those confirmed by a majority, or else the newest of any reachable keeper. Otherwise a
    /// restarted process could return to the old settings of a keeper that lags behind.
    async fn start_from_majority(&self) {
        if let Ok(reply) = self.client.get_confirmed(MAJORITY_TIMEOUT).await {
            if let Some(v1::get_reply::Outcome::Settings(update)) = reply.outcome {
                self.apply(update);
                return;
            }
        }
        for keeper in self.client.keepers() {
            if let Some(update) = self.client.get_local(&keeper).await {
                self.apply(v1::SettingsUpdate { confirmed: false, ..update });
            }
        }
    }

    /// Applies updates from one keeper until its stream ends, an update cannot be applied, or the keeper sends nothing
    /// for [`MAX_UNCONFIRMED_WATCH`] while it has no majority.
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
            let confirmed = self.lock().published.unconfirmed_since.is_none();
            let next = updates.message();
            let update = if confirmed {
                next.await
            } else {
                match timeout(MAX_UNCONFIRMED_WATCH, next).await {
                    Ok(update) => update,
                    Err(_) => return,
                }
            };
            let is_usable = match update {
                Ok(Some(update)) => self.apply(update),
                Ok(None) => false,
                Err(_) => {
                    self.client.forget(keeper.address).await;
                    false
                }
            };
            if !is_usable {
                return;
            }
        }
    }

    /// Applies an update. Returns false if it is invalid or is based on another revision than the current one.
    fn apply(&self, update: v1::SettingsUpdate) -> bool {
        self.set_confirmed(update.confirmed);
        let mut content = self.lock();
        let current = content.published.policy.revision;
        if update.revision <= current.0 {
            return true;
        }
        let Some(tree) = updated_tree(&content.tree, current, &update) else { return false };
        match compile_tree(Revision(update.revision), &tree) {
            Ok(policy) => {
                content.tree = tree;
                content.published.policy = Arc::new(policy);
                content.subscribers.retain(|subscriber| !subscriber.is_closed());
                for subscriber in &content.subscribers {
                    let _ = subscriber.try_send(());
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

    fn set_confirmed(&self, confirmed: bool) {
        let mut content = self.lock();
        let since = &mut content.published.unconfirmed_since;
        if confirmed {
            *since = None;
        } else if since.is_none() {
            *since = Some(BootInstant::now());
            record(&events::SETTINGS_DISCONNECTED, &[]);
        }
    }
}

/// Returns the index of the keeper to watch first, chosen by the watcher's name to distribute watchers.
fn first_keeper(watcher: &str, count: usize) -> usize {
    let sum: usize = watcher.bytes().map(usize::from).sum();
    sum % count.max(1)
}

/// Returns the tree after an update, or `None` if the update is malformed or is based on another revision.
fn updated_tree(tree: &Value, current: Revision, update: &v1::SettingsUpdate) -> Option<Value> {
    if !update.tree.is_empty() {
        return serde_json::from_str(&update.tree).ok();
    }
    if update.base != current.0 {
        return None;
    }
    let patch: Value = serde_json::from_str(&update.patch).ok()?;
    let mut next = tree.clone();
    merge_patch(&mut next, &patch);
    Some(next)
}
