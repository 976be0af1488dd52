//! Tests of the server registry: announcements, warm-up, draining and silence timeout.
use jayrackd::announce::{Error, MAX_SERVERS, ServerAnnouncement, ServerRegistry};

const TIMEOUT_MS: u64 = 2_000;

fn announcement(name: &str) -> ServerAnnouncement {
    ServerAnnouncement {
        name: name.to_string(),
        service: "bookings".to_string(),
        address: "127.0.0.1:8081".parse().unwrap(),
        slots: 12,
        connections: 110,
        draining: false,
        cold_start_ms: 0,
    }
}

fn registry_with(announcement: ServerAnnouncement) -> ServerRegistry {
    let mut registry = ServerRegistry::new(TIMEOUT_MS);
    registry.announce(0, announcement).unwrap();
    registry
}

#[test]
fn silent_server_is_removed() {
    let mut registry = registry_with(announcement("b1"));

    registry.expire(TIMEOUT_MS);
    let before = registry.servers(TIMEOUT_MS).len();
    registry.expire(TIMEOUT_MS + 1);
    let after = registry.servers(TIMEOUT_MS + 1).len();

    assert_eq!((before, after), (1, 0));
}

#[test]
fn cold_server_warms_up_in_steps() {
    let cold = ServerAnnouncement {
        cold_start_ms: 1_000,
        ..announcement("b1")
    };
    let registry = registry_with(cold);

    let percents = [0, 150, 550, 999, 1_000].map(|now_ms| registry.servers(now_ms)[0].warm_percent);

    assert_eq!(percents, [10, 10, 50, 90, 100]);
}

#[test]
fn server_at_a_new_address_is_cold_again() {
    let cold = ServerAnnouncement {
        cold_start_ms: 1_000,
        ..announcement("b1")
    };
    let mut registry = registry_with(cold.clone());
    let moved = ServerAnnouncement {
        address: "127.0.0.1:8082".parse().unwrap(),
        ..cold
    };

    registry.announce(5_000, moved).unwrap();

    assert_eq!(registry.servers(5_000)[0].warm_percent, 10);
}

#[test]
fn draining_is_seen_at_once() {
    let mut registry = registry_with(announcement("b1"));
    let draining = ServerAnnouncement {
        draining: true,
        ..announcement("b1")
    };

    registry.announce(1, draining).unwrap();

    assert!(registry.servers(1)[0].draining);
}

#[test]
fn invalid_announcements_are_refused() {
    let mut registry = ServerRegistry::new(TIMEOUT_MS);
    let no_slots = ServerAnnouncement {
        slots: 0,
        ..announcement("b1")
    };

    let results = [
        registry.announce(0, announcement("")),
        registry.announce(0, announcement(&"n".repeat(129))),
        registry.announce(0, no_slots),
    ];

    assert_eq!(
        results,
        [
            Err(Error::NameInvalid),
            Err(Error::NameInvalid),
            Err(Error::NoCapacity)
        ]
    );
}

#[test]
fn number_of_servers_is_bounded() {
    let mut registry = ServerRegistry::new(TIMEOUT_MS);
    for number in 0..MAX_SERVERS {
        registry
            .announce(0, announcement(&format!("b{number}")))
            .unwrap();
    }

    let result = registry.announce(0, announcement("one more"));

    assert_eq!(result, Err(Error::TooMany));
}
