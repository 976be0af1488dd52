//! The route table compared with a naive builder, under churn of backend servers and services.
mod support;

use std::collections::BTreeSet;

use jayrack_config::{
    fold::ConfigState,
    object::{ConfigObject, RouteSpec},
    table::{RouteTable, ServerEntry},
};
use proptest::prelude::*;
use rstest::rstest;
use support::{LogFixture, property, put, rank, route_spec, server, service, steps};

fn naive_routes(state: &ConfigState) -> Vec<&RouteSpec> {
    let objects = state.objects().values();
    let routes = objects.filter_map(|entry| match &entry.object {
        ConfigObject::Route(spec) => Some(spec),
        _ => None,
    });
    routes.collect()
}

fn naive_servers(spec: &RouteSpec, servers: &[ServerEntry]) -> BTreeSet<String> {
    let is_usable = |server: &&ServerEntry| {
        server.service == spec.service
            && (spec.pinned.is_empty() || spec.pinned.contains(&server.name))
    };
    servers
        .iter()
        .filter(is_usable)
        .map(|server| server.name.clone())
        .collect()
}

fn segments(path: &str) -> Vec<&str> {
    path.split('/')
        .filter(|segment| !segment.is_empty())
        .collect()
}

fn naive_find<'a>(state: &'a ConfigState, host: &str, path: &str, method: &str) -> Option<&'a str> {
    let is_match = |spec: &&RouteSpec| {
        segments(path).starts_with(&segments(&spec.path_prefix))
            && (spec.host.is_empty() || spec.host == host)
            && (spec.methods.is_empty() || spec.methods.iter().any(|name| name == method))
    };
    let mut matches: Vec<&RouteSpec> = naive_routes(state).into_iter().filter(is_match).collect();
    matches.sort_by(|a, b| a.name.cmp(&b.name));
    matches.sort_by_key(|spec| spec.methods.is_empty());
    matches.sort_by_key(|spec| spec.host.is_empty());
    matches.sort_by_key(|spec| std::cmp::Reverse(segments(&spec.path_prefix).len()));
    matches.first().map(|spec| spec.name.as_str())
}

fn servers() -> impl Strategy<Value = Vec<ServerEntry>> {
    let entry = (0..8u8, 0..4u8)
        .prop_map(|(name, group)| server(&format!("server{name}"), &format!("s{group}")));
    prop::collection::vec(entry, 0..12).prop_map(|mut servers| {
        let mut names = BTreeSet::new();
        servers.retain(|server| names.insert(server.name.clone()));
        servers
    })
}

fn random_route() -> impl Strategy<Value = RouteSpec> {
    let path = prop::collection::vec(prop_oneof![Just("a"), Just("b"), Just("ab")], 0..4);
    let host = prop_oneof![Just(""), Just("one.example"), Just("two.example")];
    let methods = prop_oneof![
        Just(vec![]),
        Just(vec!["GET".to_string()]),
        Just(vec!["POST".to_string()])
    ];
    let pinned = prop::collection::vec((0..8u8).prop_map(|name| format!("server{name}")), 0..3);
    (0..12u8, path, host, methods, pinned).prop_map(|(name, path, host, methods, pinned)| {
        RouteSpec {
            path_prefix: format!("/{}", path.join("/")),
            host: host.to_string(),
            methods,
            pinned,
            ..route_spec(&format!("p{name}"), "s0", "r0")
        }
    })
}

proptest! {
    #![proptest_config(property(400, "tests/seeds/table.txt"))]

    #[test]
    fn every_route_resolves_within_the_table_under_churn(steps in steps::steps(30), servers in servers()) {
        let mut state = ConfigState::new();

        for record in steps::write_log(&steps) {
            state.apply(&record).unwrap();
            let table = RouteTable::build(&state, &servers);

            prop_assert_eq!((table.version, table.digest), (state.version(), state.digest()));
            prop_assert_eq!(table.routes.len(), naive_routes(&state).len());
            for route in &table.routes {
                let names: Vec<String> = route.servers.iter().map(|server| server.name.clone()).collect();
                let known = &table.services[&route.spec.service].servers;
                prop_assert!(route.servers.iter().all(|server| known.contains(server)));
                prop_assert_eq!(&table.ranks[&route.spec.rank], &route.rank);
                prop_assert_eq!(names, naive_servers(&route.spec, &servers).into_iter().collect::<Vec<_>>());
            }
        }
    }

    #[test]
    fn finds_what_a_naive_search_finds(
        routes in prop::collection::vec(random_route(), 0..12),
        path in prop::collection::vec(prop_oneof![Just("a"), Just("b"), Just("ab"), Just("c")], 0..5),
        host in prop_oneof![Just("one.example"), Just("three.example")],
        method in prop_oneof![Just("GET"), Just("PUT")],
    ) {
        let mut log = LogFixture::new();
        let mut names = BTreeSet::new();
        let unique = routes.into_iter().filter(|spec| names.insert(spec.name.clone()));
        let mut objects = vec![rank("r0", 0, 0), service("s0")];
        objects.extend(unique.map(|spec| ConfigObject::Route(RouteSpec { pinned: Vec::new(), ..spec })));
        log.accept("plan", put(objects));
        let path = format!("/{}", path.join("/"));

        let table = RouteTable::build(&log.state, &[server("server0", "s0")]);
        let found = table.find(host, &path, method).map(|route| route.spec.name.as_str());

        prop_assert_eq!(found, naive_find(&log.state, host, &path, method));
    }
}

#[rstest]
#[case::whole_prefix("any", "/book", Some("book"))]
#[case::deeper("any", "/book/slot/7", Some("book"))]
#[case::query("any", "/book?day=1", Some("book"))]
#[case::other_segment("any", "/bookings", None)]
#[case::shorter("any", "/", None)]
#[case::host_with_port("any:8080", "/book", Some("book"))]
fn path_prefix_matches_whole_segments_only(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let log = LogFixture::with_route();
    let table = RouteTable::build(&log.state, &[server("one", "bookings")]);

    let found = table.find(host, path, "GET");

    assert_eq!(found.map(|route| route.spec.name.as_str()), expected);
}

#[test]
fn route_without_backend_server_stays_inactive() {
    let log = LogFixture::with_route();

    let table = RouteTable::build(&log.state, &[server("one", "another")]);

    assert!(!table.routes[0].is_active());
}
