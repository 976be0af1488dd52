//! Counts of answers and the verdict on a version.
use std::collections::{BTreeMap, VecDeque};

/// Time for which an answer counts, in milliseconds: long enough to collect the answers of a server with little
/// traffic, short enough that good answers of before do not hide a change.
const WINDOW_MS: u64 = 3_000;
/// Granularity of the window, in milliseconds.
const BUCKET_MS: u64 = 250;
/// Service time relative to the old version's average from which an answer is slow: servers differ in speed by up to
/// a factor of two from the average, and a bad version takes eight times as long, on a fast server five times.
const SLOW_RATIO: f64 = 4.0;
/// Such a ratio while the server warms up, which doubles its service times.
const WARMUP_SLOW_RATIO: f64 = 7.0;
/// Bad answers from which a version can be bad, without those of the worst server.
const MIN_BAD_ANSWERS: u32 = 5;
/// Bad answers from which a version can be bad that only one server runs.
const MIN_BAD_ANSWERS_OF_ONE_SERVER: u32 = 10;
/// Servers from which requests must have been stopped for a version to be bad, if it has more than one.
const MIN_STOPPED_SERVERS: usize = 2;
/// The version is bad if requests were stopped to one in this many of its servers; their answers no longer grow, unlike
/// the good ones of the others.
const STOPPED_SERVERS_DIVISOR: usize = 5;
/// Fraction of bad answers from which a version can be bad: a bad version has one half, but less if only some of its
/// answers fall under the load that shows it.
const MIN_BAD_FRACTION: f64 = 0.08;
/// Distance from the old version's fraction, which failures of a called service raise as well.
const MIN_EXCESS_FRACTION: f64 = 0.06;
/// Fraction of bad answers from which a server gets no more requests of its own daemon.
const STOP_FRACTION: f64 = 0.3;
/// Answers from which a version without bad evidence counts as good.
const MIN_ANSWERS: u32 = 20;

/// Assessment of an answer of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerQuality {
    /// A success in the usual time.
    Good,
    /// A failure, or no answer.
    Failed,
    /// A success that took far longer than the old version takes.
    Slow,
}

impl AnswerQuality {
    /// Assesses a success after `service_ms`; `average_ms` is the old version's average, if it is known.
    pub fn of_success(service_ms: u64, average_ms: Option<f64>, is_warming_up: bool) -> Self {
        let ratio = match is_warming_up {
            true => WARMUP_SLOW_RATIO,
            false => SLOW_RATIO,
        };
        match average_ms {
            Some(average_ms) if service_ms as f64 > average_ms.max(1.0) * ratio => Self::Slow,
            _ => Self::Good,
        }
    }
}

/// Counts of a server's answers on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// All answers.
    pub answers: u32,
    /// Failures among them.
    pub failures: u32,
    /// Slow successes among them.
    pub slow: u32,
}

impl RouteCounts {
    /// Failures and slow answers.
    pub fn bad(&self) -> u32 {
        self.failures.saturating_add(self.slow)
    }

    fn bad_fraction(&self) -> f64 {
        f64::from(self.bad()) / f64::from(self.answers.max(1))
    }

    fn add(&mut self, other: &Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failures = self.failures.saturating_add(other.failures);
        self.slow = self.slow.saturating_add(other.slow);
    }
}

/// Counts by route.
pub type CountsByRoute = BTreeMap<String, RouteCounts>;

/// Recent answers of the server beside the daemon.
#[derive(Debug, Default)]
pub struct EvidenceWindow {
    buckets: VecDeque<(u64, CountsByRoute)>,
}

impl EvidenceWindow {
    /// Counts an answer on `route`.
    pub fn record(&mut self, now_ms: u64, route: &str, quality: AnswerQuality) {
        self.expire(now_ms);
        let number = now_ms / BUCKET_MS;
        if self.buckets.back().is_none_or(|(last, _)| *last < number) {
            self.buckets.push_back((number, CountsByRoute::new()));
        }
        let (_, routes) = self.buckets.back_mut().expect("pushed above");
        let counts = match routes.get_mut(route) {
            Some(counts) => counts,
            None => routes.entry(route.to_string()).or_default(),
        };
        counts.answers += 1;
        counts.failures += u32::from(quality == AnswerQuality::Failed);
        counts.slow += u32::from(quality == AnswerQuality::Slow);
    }

    /// Counts within the window.
    pub fn counts(&mut self, now_ms: u64) -> CountsByRoute {
        self.expire(now_ms);
        let mut sum = CountsByRoute::new();
        for (route, counts) in self.buckets.iter().flat_map(|(_, routes)| routes) {
            sum.entry(route.clone()).or_default().add(counts);
        }
        sum
    }

    fn expire(&mut self, now_ms: u64) {
        let oldest = now_ms.saturating_sub(WINDOW_MS) / BUCKET_MS;
        while self
            .buckets
            .front()
            .is_some_and(|(number, _)| *number < oldest)
        {
            self.buckets.pop_front();
        }
    }
}

/// Evidence of one server's daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerEvidence {
    /// Whether the server runs the new version; the others are compared with.
    pub is_target: bool,
    /// Recent counts.
    pub counts: CountsByRoute,
    /// Whether the daemon has stopped requests to its server because of these counts.
    pub is_stopped: bool,
}

/// Assessment of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionVerdict {
    /// Enough answers, and no sign of a fault.
    Good,
    /// Its servers fail or are slow.
    Bad,
    /// Too few answers.
    Undecided,
}

/// Whether the counts of one server suffice to stop requests to it.
pub fn is_clearly_bad(counts: &CountsByRoute) -> bool {
    let is_bad = |counts: &RouteCounts| {
        counts.bad() >= MIN_BAD_ANSWERS && counts.bad_fraction() >= STOP_FRACTION
    };
    counts.values().any(is_bad) || is_bad(&total(counts))
}

/// Joins the evidence of all servers; `target_servers` is the number of servers of the new version.
///
/// Each route is judged by itself and all routes together. The server with the most bad answers is left out, so that
/// trouble at a single server does not make the version bad, unless there is only that server.
pub fn judge<'a>(
    evidence: impl Iterator<Item = &'a ServerEvidence>,
    target_servers: usize,
) -> VersionVerdict {
    let (targets, others): (Vec<_>, Vec<_>) = evidence.partition(|server| server.is_target);
    let routes: std::collections::BTreeSet<&String> = targets
        .iter()
        .flat_map(|server| server.counts.keys())
        .collect();
    let is_only_server = target_servers <= 1 && targets.len() <= 1;
    let on_route = |servers: &[&ServerEvidence], route: &str| -> Vec<RouteCounts> {
        let counts = servers.iter().filter_map(|server| server.counts.get(route));
        counts.copied().collect()
    };
    let totals = |servers: &[&ServerEvidence]| -> Vec<RouteCounts> {
        servers.iter().map(|server| total(&server.counts)).collect()
    };
    let is_bad_route = routes.into_iter().any(|route| {
        let (counts, reference) = (on_route(&targets, route), on_route(&others, route));
        is_bad(&counts, &reference, is_only_server)
    });
    let stopped = targets.iter().filter(|server| server.is_stopped).count();
    let has_stopped = match is_only_server {
        true => stopped > 0,
        false => {
            stopped >= MIN_STOPPED_SERVERS && stopped * STOPPED_SERVERS_DIVISOR >= targets.len()
        }
    };
    if has_stopped || is_bad_route || is_bad(&totals(&targets), &totals(&others), is_only_server) {
        return VersionVerdict::Bad;
    }
    match sum(&totals(&targets)).answers >= MIN_ANSWERS {
        true => VersionVerdict::Good,
        false => VersionVerdict::Undecided,
    }
}

fn is_bad(targets: &[RouteCounts], others: &[RouteCounts], is_only_server: bool) -> bool {
    let mut joined = sum(targets);
    let mut min_bad = MIN_BAD_ANSWERS_OF_ONE_SERVER;
    if !is_only_server {
        min_bad = MIN_BAD_ANSWERS;
        let worst = targets.iter().max_by_key(|counts| counts.bad());
        let worst = worst.copied().unwrap_or_default();
        joined.answers -= worst.answers;
        joined.failures -= worst.failures;
        joined.slow -= worst.slow;
    }
    let reference = sum(others).bad_fraction();
    let min_fraction = MIN_BAD_FRACTION.max(reference + MIN_EXCESS_FRACTION);
    joined.bad() >= min_bad && joined.bad_fraction() >= min_fraction
}

fn total(counts: &CountsByRoute) -> RouteCounts {
    let counts: Vec<RouteCounts> = counts.values().copied().collect();
    sum(&counts)
}

fn sum(counts: &[RouteCounts]) -> RouteCounts {
    let mut sum = RouteCounts::default();
    for counts in counts {
        sum.add(counts);
    }
    sum
}
