//! Settings of configuration distribution.

/// Settings of a [`ConfigSync`](super::ConfigSync); built by an [`OptionsBuilder`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    pub(super) readers_per_data_centre: usize,
    pub(super) fanout: usize,
    pub(super) hops: u32,
    pub(super) poll_wait_ms: u64,
    pub(super) pull_timeout_ms: u64,
    pub(super) reader_silence_timeout_ms: u64,
    pub(super) start_spread_ms: u64,
    pub(super) retention_ms: u64,
    pub(super) read_records: usize,
    pub(super) seed: u64,
}

impl Options {
    /// Starts from the defaults.
    pub fn builder() -> OptionsBuilder {
        OptionsBuilder {
            options: Self {
                readers_per_data_centre: 3,
                fanout: 3,
                hops: 12,
                poll_wait_ms: 10_000,
                pull_timeout_ms: 2_000,
                reader_silence_timeout_ms: 5_000,
                start_spread_ms: 200,
                retention_ms: 60 * 60 * 1000,
                read_records: 256,
                seed: 0,
            },
        }
    }
}

/// Builds [`Options`].
#[derive(Debug, Clone)]
pub struct OptionsBuilder {
    options: Options,
}

impl OptionsBuilder {
    /// Number of members of each data centre that read the log.
    pub fn readers_per_data_centre(mut self, count: usize) -> Self {
        self.options.readers_per_data_centre = count;
        self
    }

    /// Number of members to which a member pushes new records.
    pub fn fanout(mut self, count: usize) -> Self {
        self.options.fanout = count;
        self
    }

    /// Maximum number of times that a record is pushed from member to member.
    pub fn hops(mut self, count: u32) -> Self {
        self.options.hops = count;
        self
    }

    /// Time for which the log holds a read without new records, in milliseconds.
    pub fn poll_wait_ms(mut self, wait_ms: u64) -> Self {
        self.options.poll_wait_ms = wait_ms;
        self
    }

    /// Time after which an unanswered pull counts as lost, in milliseconds.
    pub fn pull_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.options.pull_timeout_ms = timeout_ms;
        self
    }

    /// Time without a sign of an active reader after which members read the log themselves, in milliseconds.
    pub fn reader_silence_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.options.reader_silence_timeout_ms = timeout_ms;
        self
    }

    /// Upper bound of the random delay of the first read after a start, in milliseconds.
    pub fn start_spread_ms(mut self, spread_ms: u64) -> Self {
        self.options.start_spread_ms = spread_ms;
        self
    }

    /// Time for which the log keeps records, in milliseconds; lowered when records expire earlier.
    pub fn retention_ms(mut self, retention_ms: u64) -> Self {
        self.options.retention_ms = retention_ms;
        self
    }

    /// Number of records asked for in one read or pull.
    pub fn read_records(mut self, count: usize) -> Self {
        self.options.read_records = count;
        self
    }

    /// Seed of all random choices.
    pub fn seed(mut self, seed: u64) -> Self {
        self.options.seed = seed;
        self
    }

    /// The finished settings.
    pub fn build(self) -> Options {
        self.options
    }
}
