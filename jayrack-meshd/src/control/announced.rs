//! Configuration versions that other daemons announce, and the daemons to fetch them from.
use std::net::SocketAddr;

/// Newest version of the configuration that other daemons announced, and daemons that have it.
#[derive(Debug, Default)]
pub(super) struct AnnouncedConfiguration {
    pub(super) version: u64,
    pub(super) same_data_centre: Option<ConfigurationSource>,
    remote: Option<ConfigurationSource>,
}

/// Daemon that has the announced configuration.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConfigurationSource {
    pub(super) address: SocketAddr,
    pub(super) link_mbps: u32,
}

impl AnnouncedConfiguration {
    /// Records a source of `version`; prefers the one with the fastest link, since many daemons fetch at once.
    pub(super) fn record(
        &mut self,
        version: u64,
        source: ConfigurationSource,
        is_same_data_centre: bool,
    ) {
        if version < self.version {
            return;
        }
        if version > self.version {
            *self = Self {
                version,
                ..Self::default()
            };
        }
        let known = if is_same_data_centre {
            &mut self.same_data_centre
        } else {
            &mut self.remote
        };
        if known.is_none_or(|known| known.link_mbps <= source.link_mbps) {
            *known = Some(source);
        }
    }

    /// Removes and returns the next daemon to ask, one of the same data centre if possible.
    pub(super) fn next_source(&mut self) -> Option<SocketAddr> {
        let source = self.same_data_centre.take().or_else(|| self.remote.take());
        source.map(|source| source.address)
    }
}
