//! The replicated state machine of the ledger.

use crate::command::{
    BodyDigest, ClaimCommand, ClaimKey, ClaimToken, ClaimVerdict, FinishCommand, FinishKind, LedgerTime,
    StoredAnswer,
};
use crate::options::LedgerOptions;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The maximum number of remembered early releases. Bounded because every claim scans all of them.
const MAX_RELEASES: usize = 4_096;

/// The claims of all remembered keys, with the queues that bound them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LedgerState {
    options: LedgerOptions,
    claims: HashMap<ClaimKey, ClaimRecord>,
    /// The keys whose calls have ended, in the order in which they ended.
    ended: VecDeque<EndedKey>,
    /// The keys whose answers are stored, oldest first.
    answered: VecDeque<EndedKey>,
    /// The total size of the stored answers in bytes.
    answer_bytes: usize,
    /// The newest time of any command; never goes back.
    newest: LedgerTime,
    /// The arrivals that were released before their claims came in, oldest first.
    released: VecDeque<EndedKey>,
}

/// The stored form of the ledger in versions that did not remember early releases.
#[derive(Deserialize)]
pub struct LegacyLedger {
    options: LedgerOptions,
    claims: HashMap<ClaimKey, ClaimRecord>,
    ended: VecDeque<EndedKey>,
    answered: VecDeque<EndedKey>,
    answer_bytes: usize,
    newest: LedgerTime,
}

impl From<LegacyLedger> for LedgerState {
    fn from(legacy: LegacyLedger) -> LedgerState {
        LedgerState {
            options: legacy.options,
            claims: legacy.claims,
            ended: legacy.ended,
            answered: legacy.answered,
            answer_bytes: legacy.answer_bytes,
            newest: legacy.newest,
            released: VecDeque::new(),
        }
    }
}

/// The claim of one key.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ClaimRecord {
    body: BodyDigest,
    /// The token of the arrival that claimed the call.
    token: ClaimToken,
    state: ClaimState,
}

/// The state of a claimed call.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum ClaimState {
    /// The call has not ended, as far as is known.
    Running { since: LedgerTime },
    /// The call ran; holds its answer.
    Answered(Box<StoredAnswer>),
    /// The call ran, but its answer was too large or too old to be kept.
    AnswerDropped,
    /// The call may have run, but its outcome is unknown.
    Unknown,
}

/// A key, the token of the arrival whose call ended or was released, and when. The token is needed because a key can be
/// claimed and end again after it has expired.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct EndedKey {
    key: ClaimKey,
    token: ClaimToken,
    at: LedgerTime,
}

impl LedgerState {
    /// Creates an empty ledger.
    pub fn new(options: LedgerOptions) -> LedgerState {
        LedgerState { options, ..LedgerState::default() }
    }

    /// Returns the number of remembered keys.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns true if no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the total size of the stored answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns the number of arrivals that were released before their claims came in.
    pub fn early_release_count(&self) -> usize {
        self.released.len()
    }

    /// Decides on an arrival. While its call runs, a resend of the same arrival is granted again. An arrival whose
    /// release came in before its claim is never granted.
    pub fn claim(&mut self, command: &ClaimCommand) -> ClaimVerdict {
        let now = self.advance_time(command.at);
        let limit = self.options.running_limit;
        if self.is_released(&command.key, command.token) {
            return ClaimVerdict::Running;
        }
        let Some(record) = self.claims.get_mut(&command.key) else { return self.start_claim(command, now) };
        if record.body != command.body {
            return ClaimVerdict::KeyReused;
        }
        match &record.state {
            ClaimState::Running { .. } if record.token == command.token => ClaimVerdict::Granted,
            ClaimState::Running { since } if elapsed(*since, now) < limit => ClaimVerdict::Running,
            ClaimState::Running { .. } => {
                let token = record.token;
                self.end_claim(&command.key, token, ClaimState::Unknown, now);
                ClaimVerdict::MayHaveRun
            }
            ClaimState::Answered(answer) => ClaimVerdict::Done((**answer).clone()),
            ClaimState::AnswerDropped => ClaimVerdict::AnswerDropped,
            ClaimState::Unknown => ClaimVerdict::MayHaveRun,
        }
    }

    /// Records the outcome of a call. Outcomes from any arrival but the one that claimed the call are ignored, except
    /// that a release is remembered in case its claim comes in later.
    pub fn finish(&mut self, command: &FinishCommand) {
        let now = self.advance_time(command.at);
        let Some(record) = self.claims.get(&command.key).filter(|record| record.token == command.token)
        else {
            if command.kind == FinishKind::Released {
                self.record_release(command, now);
            }
            return;
        };
        let is_running = matches!(record.state, ClaimState::Running { .. });
        let is_open = is_running || matches!(record.state, ClaimState::Unknown);
        match &command.kind {
            FinishKind::Released if is_running => {
                self.claims.remove(&command.key);
            }
            FinishKind::Unknown if is_running => {
                self.end_claim(&command.key, command.token, ClaimState::Unknown, now)
            }
            FinishKind::Answered(answer) if is_open => self.store_answer(command, answer, now),
            _ => {}
        }
    }

    /// Remembers the release of an arrival whose claim has not come in and may still be in flight.
    fn record_release(&mut self, command: &FinishCommand, now: LedgerTime) {
        if self.released.len() >= MAX_RELEASES.min(self.options.max_keys) {
            self.released.pop_front();
        }
        self.released.push_back(EndedKey { key: command.key.clone(), token: command.token, at: now });
    }

    fn is_released(&self, key: &ClaimKey, token: ClaimToken) -> bool {
        self.released.iter().any(|released| released.token == token && released.key == *key)
    }

    /// Grants a claim for a new key, unless the ledger is full.
    fn start_claim(&mut self, command: &ClaimCommand, now: LedgerTime) -> ClaimVerdict {
        if self.claims.len() >= self.options.max_keys {
            return ClaimVerdict::Full;
        }
        let state = ClaimState::Running { since: now };
        let record = ClaimRecord { body: command.body, token: command.token, state };
        self.claims.insert(command.key.clone(), record);
        ClaimVerdict::Granted
    }

    /// Stores an answer if it is small enough, and drops the oldest answers beyond the total limit.
    fn store_answer(&mut self, command: &FinishCommand, answer: &StoredAnswer, now: LedgerTime) {
        if answer.body.len() > self.options.max_answer {
            self.end_claim(&command.key, command.token, ClaimState::AnswerDropped, now);
            return;
        }
        let state = ClaimState::Answered(Box::new(answer.clone()));
        self.end_claim(&command.key, command.token, state, now);
        self.answer_bytes += answer.body.len();
        self.answered.push_back(EndedKey { key: command.key.clone(), token: command.token, at: now });
        while self.answer_bytes > self.options.max_answer_bytes {
            let Some(oldest) = self.answered.pop_front() else { break };
            self.drop_answer(&oldest);
        }
    }

    fn drop_answer(&mut self, ended: &EndedKey) {
        let Some(record) = self.claims.get_mut(&ended.key).filter(|record| record.token == ended.token)
        else {
            return;
        };
        if let ClaimState::Answered(answer) = &record.state {
            self.answer_bytes -= answer.body.len();
            record.state = ClaimState::AnswerDropped;
        }
    }

    /// Sets the final state of a call and queues its key for expiry.
    fn end_claim(&mut self, key: &ClaimKey, token: ClaimToken, state: ClaimState, now: LedgerTime) {
        if let Some(record) = self.claims.get_mut(key) {
            record.state = state;
            self.ended.push_back(EndedKey { key: key.clone(), token, at: now });
        }
    }

    /// Advances the ledger's time, never backwards, and drops everything that has expired: ended keys and answers after
    /// their retention, early releases after the running limit. Returns the new time.
    fn advance_time(&mut self, at: LedgerTime) -> LedgerTime {
        self.newest = self.newest.max(at);
        let now = self.newest;
        let retention = self.options.retention;
        while self.ended.front().is_some_and(|ended| elapsed(ended.at, now) >= retention) {
            let Some(ended) = self.ended.pop_front() else { break };
            self.drop_answer(&ended);
            if self.claims.get(&ended.key).is_some_and(|record| record.token == ended.token) {
                self.claims.remove(&ended.key);
            }
        }
        while self.answered.front().is_some_and(|ended| elapsed(ended.at, now) >= retention) {
            self.answered.pop_front();
        }
        let limit = self.options.running_limit;
        while self.released.front().is_some_and(|released| elapsed(released.at, now) >= limit) {
            self.released.pop_front();
        }
        now
    }
}

fn elapsed(from: LedgerTime, to: LedgerTime) -> Duration {
    Duration::from_millis(to.0.saturating_sub(from.0))
}
