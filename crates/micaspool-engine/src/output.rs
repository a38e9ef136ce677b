//! Expects the output length of requests from what their callers state.

/// Factor applied to older requests with each new one: the last 256 dominate, which covers some lengths of
/// each kind.
const DECAY: f64 = 1.0 - 1.0 / 256.0;
/// Tokens of the assumption that statements are right, so that the first few requests do not decide.
const PRIOR_TOKENS: f64 = 512.0;
/// Limits of the learnt ratio. A ratio outside says that the two count different things.
const RATIO_RANGE: (f64, f64) = (0.02, 8.0);

/// What a caller states of the output of its request, in tokens; zero if unknown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatedOutput {
    /// The most that is generated.
    pub most: u64,
    /// The caller's guess.
    pub hint: u64,
}

impl StatedOutput {
    /// True if the caller states anything.
    pub fn is_known(&self) -> bool {
        self.most > 0 || self.hint > 0
    }
}

/// The ratio of seen to stated tokens. It is a ratio of sums: guesses are right in the median, and the mean
/// of what they miss is what costs time.
#[derive(Debug, Clone, Copy)]
struct OutputRatio {
    stated: f64,
    seen: f64,
}

impl Default for OutputRatio {
    fn default() -> OutputRatio {
        OutputRatio { stated: PRIOR_TOKENS, seen: PRIOR_TOKENS }
    }
}

impl OutputRatio {
    fn observe(&mut self, stated: u64, seen: u64) {
        self.stated = self.stated * DECAY + stated as f64;
        self.seen = self.seen * DECAY + seen as f64;
    }

    fn value(&self) -> f64 {
        let (least, most) = RATIO_RANGE;
        (self.seen / self.stated).clamp(least, most)
    }
}

/// Expects output lengths. Guesses and upper limits are corrected apart.
#[derive(Debug, Clone, Copy, Default)]
pub struct OutputEstimate {
    of_hints: OutputRatio,
    of_limits: OutputRatio,
}

impl OutputEstimate {
    /// The expected output of a request in tokens; `None` if its caller states nothing.
    pub fn expect(&self, stated: &StatedOutput) -> Option<f64> {
        let expected = match (stated.hint, stated.most) {
            (0, 0) => return None,
            (0, most) => most as f64 * self.of_limits.value(),
            (hint, _) => hint as f64 * self.of_hints.value(),
        };
        let most = if stated.most > 0 { stated.most as f64 } else { f64::MAX };
        Some(expected.min(most).max(1.0))
    }

    /// Records the output of a complete response.
    pub fn observe(&mut self, stated: &StatedOutput, seen: u64) {
        match (stated.hint, stated.most) {
            (0, 0) => {}
            (0, most) => self.of_limits.observe(most, seen),
            (hint, most) => self.of_hints.observe(if most > 0 { hint.min(most) } else { hint }, seen),
        }
    }
}
