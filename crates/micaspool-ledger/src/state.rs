//! The state machine of the ledger.

use crate::command::{
    BodyDigest, ClaimCommand, ClaimKey, ClaimToken, ClaimVerdict, FinishCommand, FinishKind, LedgerTime,
    StoredAnswer,
};
use crate::options::LedgerOptions;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// How many early releases are remembered. Each is looked at by each claim.
const MOST_RELEASES: usize = 4_096;

/// Every remembered key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LedgerState {
    options: LedgerOptions,
    claims: HashMap<ClaimKey, ClaimRecord>,
    /// The keys that have ended, in the order of their ends.
    ended: VecDeque<EndedKey>,
    /// The keys whose answers are kept, the oldest first.
    answered: VecDeque<EndedKey>,
    answer_bytes: usize,
    newest: LedgerTime,
    /// Arrivals that were released before their claims came in, the oldest first.
    released: VecDeque<EndedKey>,
}

/// The ledger as versions wrote it that did not remember early releases.
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
    fn from(earlier: LegacyLedger) -> LedgerState {
        LedgerState {
            options: earlier.options,
            claims: earlier.claims,
            ended: earlier.ended,
            answered: earlier.answered,
            answer_bytes: earlier.answer_bytes,
            newest: earlier.newest,
            released: VecDeque::new(),
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct ClaimRecord {
    body: BodyDigest,
    token: ClaimToken,
    state: ClaimState,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum ClaimState {
    Running { since: LedgerTime },
    Answered(Box<StoredAnswer>),
    AnswerDropped,
    Unknown,
}

/// A key with the arrival that ended, since a key may end again after it was forgotten.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct EndedKey {
    key: ClaimKey,
    token: ClaimToken,
    at: LedgerTime,
}

impl LedgerState {
    /// An empty ledger with these bounds.
    pub fn new(options: LedgerOptions) -> LedgerState {
        LedgerState { options, ..LedgerState::default() }
    }

    /// The number of remembered keys.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// True when no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// The bytes of all answers that are kept.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// The number of arrivals that were released before their claims came in.
    pub fn released(&self) -> usize {
        self.released.len()
    }

    /// Decides on an arrival. The same arrival, sent again, gets the same verdict; one that was released already runs
    /// no more.
    pub fn claim(&mut self, command: &ClaimCommand) -> ClaimVerdict {
        let now = self.pass(command.at);
        let limit = self.options.running_limit;
        if self.is_released(&command.key, command.token) {
            return ClaimVerdict::Running;
        }
        let Some(record) = self.claims.get_mut(&command.key) else { return self.start(command, now) };
        if record.body != command.body {
            return ClaimVerdict::KeyReused;
        }
        match &record.state {
            ClaimState::Running { .. } if record.token == command.token => ClaimVerdict::Granted,
            ClaimState::Running { since } if elapsed(*since, now) < limit => ClaimVerdict::Running,
            ClaimState::Running { .. } => {
                let token = record.token;
                self.end(&command.key, token, ClaimState::Unknown, now);
                ClaimVerdict::MayHaveRun
            }
            ClaimState::Answered(answer) => ClaimVerdict::Done((**answer).clone()),
            ClaimState::AnswerDropped => ClaimVerdict::AnswerDropped,
            ClaimState::Unknown => ClaimVerdict::MayHaveRun,
        }
    }

    /// Records how a call ended. Only the arrival that claimed it is heard.
    pub fn finish(&mut self, command: &FinishCommand) {
        let now = self.pass(command.at);
        let Some(record) = self.claims.get(&command.key).filter(|record| record.token == command.token)
        else {
            if command.kind == FinishKind::Released {
                self.note_release(command, now);
            }
            return;
        };
        let running = matches!(record.state, ClaimState::Running { .. });
        let open = running || matches!(record.state, ClaimState::Unknown);
        match &command.kind {
            FinishKind::Released if running => {
                self.claims.remove(&command.key);
            }
            FinishKind::Unknown if running => self.end(&command.key, command.token, ClaimState::Unknown, now),
            FinishKind::Answered(answer) if open => self.keep_answer(command, answer, now),
            _ => {}
        }
    }

    /// Remembers the release of an arrival whose claim has not come in; it may be on its way.
    fn note_release(&mut self, command: &FinishCommand, now: LedgerTime) {
        if self.released.len() >= MOST_RELEASES.min(self.options.max_keys) {
            self.released.pop_front();
        }
        self.released.push_back(EndedKey { key: command.key.clone(), token: command.token, at: now });
    }

    fn is_released(&self, key: &ClaimKey, token: ClaimToken) -> bool {
        self.released.iter().any(|released| released.token == token && released.key == *key)
    }

    fn start(&mut self, command: &ClaimCommand, now: LedgerTime) -> ClaimVerdict {
        if self.claims.len() >= self.options.max_keys {
            return ClaimVerdict::Full;
        }
        let state = ClaimState::Running { since: now };
        let record = ClaimRecord { body: command.body, token: command.token, state };
        self.claims.insert(command.key.clone(), record);
        ClaimVerdict::Granted
    }

    fn keep_answer(&mut self, command: &FinishCommand, answer: &StoredAnswer, now: LedgerTime) {
        if answer.body.len() > self.options.max_answer {
            self.end(&command.key, command.token, ClaimState::AnswerDropped, now);
            return;
        }
        let state = ClaimState::Answered(Box::new(answer.clone()));
        self.end(&command.key, command.token, state, now);
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

    fn end(&mut self, key: &ClaimKey, token: ClaimToken, state: ClaimState, now: LedgerTime) {
        if let Some(record) = self.claims.get_mut(key) {
            record.state = state;
            self.ended.push_back(EndedKey { key: key.clone(), token, at: now });
        }
    }

    /// Moves the ledger's time on, never back, and forgets keys whose retention has passed.
    fn pass(&mut self, at: LedgerTime) -> LedgerTime {
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
