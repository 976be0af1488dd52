//! Reading the log and folding its records.
use jayrack_protocol::ResultCode;

use super::{Action, ConfigSync, LogAnswer, fleet::random_below};
use crate::{
    fold::{self, Outcome},
    record::{self, StoredRecord},
};

impl ConfigSync {
    pub(super) fn log_read(&mut self, now_ms: u64, answer: &LogAnswer, actions: &mut Vec<Action>) {
        self.log_answered(now_ms, answer.first, answer.next, answer.now_ms);
        if answer.first > self.state.next_offset() {
            self.log_expired(now_ms);
            return;
        }
        self.fold_new(&answer.records, self.options.hops, actions);
        if self.state.next_offset() >= answer.next || self.halted.is_some() {
            self.readiness.log_read();
        }
    }

    pub(super) fn log_failed(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.log_reader
            .failed(now_ms, self.fleet.len(), &mut self.rng);
        self.is_fallback_read_due = false;
        self.readiness.log_unavailable();
        let detail = "the log does not answer".to_string();
        self.report(ResultCode::LogUnavailable, 0, detail, actions);
    }

    /// Updates the known offsets and time of the log from one of its answers.
    pub(super) fn log_answered(&mut self, now_ms: u64, first: u64, next: u64, log_now_ms: u64) {
        self.log_reader.answered(now_ms);
        self.reported.remove(&(ResultCode::LogUnavailable, 0));
        self.is_fallback_read_due = false;
        self.last_reader_activity_ms = now_ms;
        self.log.first = first;
        self.log.next = next;
        self.log.now_ms = self.log.now_ms.max(log_now_ms);
        self.log.received_ms = now_ms;
        let expired = first
            .checked_sub(1)
            .and_then(|offset| self.tail.get(offset));
        if let Some(expired) = expired {
            let age_ms = log_now_ms.saturating_sub(expired.time_ms);
            self.schedule.lower_retention(age_ms);
        }
    }

    /// Folds the new ones of `records` and relays them; returns whether records before them are missing.
    pub(super) fn fold_new(
        &mut self,
        records: &[StoredRecord],
        hops: u32,
        actions: &mut Vec<Action>,
    ) -> bool {
        let first = self.state.next_offset();
        let mut has_gap = false;
        for stored in records {
            if stored.offset < self.state.next_offset() || self.halted.is_some() {
                continue;
            }
            match self.state.apply(stored) {
                Ok(outcome) => self.record_folded(stored, outcome, actions),
                Err(fold::Error::Gap { .. }) => {
                    has_gap = true;
                    break;
                }
                Err(error) => self.halt(stored.offset, &error, actions),
            }
        }
        let new = self.tail.from(first, usize::MAX).unwrap_or_default();
        self.relay(new, hops, actions);
        has_gap
    }

    fn record_folded(
        &mut self,
        stored: &StoredRecord,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        self.tail.push(stored.clone());
        self.schedule.folded(stored.offset, stored.time_ms);
        if !self.is_ready() {
            return;
        }
        if let Outcome::Invalid { reasons } = &outcome {
            let texts: Vec<String> = reasons.iter().map(|reason| reason.to_string()).collect();
            let detail = format!("offset {}: {}", stored.offset, texts.join("; "));
            self.report(ResultCode::RecordInvalid, stored.offset, detail, actions);
        }
        let decoded = record::decode(&stored.data).ok();
        let (record_id, plan_id) = match &decoded {
            Some(record) => (record.record_id(), record.plan_id()),
            None => ("", ""),
        };
        actions.push(Action::Folded {
            offset: stored.offset,
            record_id: record_id.to_string(),
            plan_id: plan_id.to_string(),
            outcome,
        });
    }

    fn halt(&mut self, offset: u64, error: &fold::Error, actions: &mut Vec<Action>) {
        self.halted = Some(offset);
        self.report(error.code(), offset, error.to_string(), actions);
    }

    /// Decides at random whether to read the log while the readers are silent.
    ///
    /// The probability is such that about one member of the fleet reads per second.
    pub(super) fn consider_fallback_read(&mut self, now_ms: u64, elapsed_ms: u64) {
        let silent_ms = now_ms.saturating_sub(self.last_reader_activity_ms);
        if silent_ms >= self.options.reader_silence_timeout_ms && !self.fleet.is_reader() {
            let slots = 1000 * self.fleet.len() as u64;
            self.is_fallback_read_due |= random_below(&mut self.rng, slots) < elapsed_ms;
        }
    }

    /// Starts the next read of the log if one is due.
    pub(super) fn read_log(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let is_blocked = self.halted.is_some() || self.gap.is_some() || self.is_restoring();
        let is_wanted = self.fleet.is_reader() || !self.is_ready() || self.is_fallback_read_due;
        if is_blocked || !is_wanted {
            return;
        }
        let is_at_end = self.log.next != 0 && self.state.next_offset() >= self.log.next;
        let wait_ms = match is_at_end && !self.is_fallback_read_due {
            true => self.options.poll_wait_ms,
            false => 0,
        };
        if self.log_reader.start(now_ms, wait_ms) {
            actions.push(Action::ReadLog {
                from: self.state.next_offset(),
                max: self.options.read_records,
                wait_ms,
            });
        }
    }
}
