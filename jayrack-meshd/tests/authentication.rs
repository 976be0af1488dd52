//! Authentication of callers' requests by the API keys of tenants.
use hyper::{
    HeaderMap,
    header::{self, HeaderValue},
};
use jayrack_mesh::{
    TenantDirectory,
    running::{RequestClaim, RunningRequests, RunningState},
    tenants::Tenant,
};
use jayrack_meshd::traffic::{
    authentication::{AuthenticationError, CallerIdentity, RequestOrigin, authenticate},
    forward::{AttemptKind, ForwardHead, SendTime},
};
use jayrack_platform::headers;
use rstest::rstest;

fn tenant(name: &str, rank: Option<u8>) -> Tenant {
    Tenant {
        name: name.to_string(),
        rank,
        allowance: None,
    }
}

fn tenants() -> TenantDirectory {
    let mut directory = TenantDirectory::default();
    let keys = ["Key-1".to_string(), "Key-2".to_string()];
    directory.add(tenant("north", Some(2)), &keys).unwrap();
    directory
        .add(tenant("south", None), &["Key-3".to_string()])
        .unwrap();
    directory
}

fn origin(id: &str) -> RequestOrigin<'_> {
    RequestOrigin {
        is_public: false,
        id,
        parent: None,
    }
}

/// Headers with a spoofed tenant and the given values of `Authorization`.
fn fields(authorizations: &[&str]) -> HeaderMap {
    let mut fields = HeaderMap::new();
    for spoofed in ["north", "south"] {
        fields.append(headers::TENANT, HeaderValue::from_static(spoofed));
    }
    for authorization in authorizations {
        let value = HeaderValue::from_bytes(authorization.as_bytes()).unwrap();
        fields.append(header::AUTHORIZATION, value);
    }
    fields
}

fn tenant_headers(fields: &HeaderMap) -> Vec<&HeaderValue> {
    fields.get_all(headers::TENANT).iter().collect()
}

#[rstest]
#[case::usual("Bearer Key-1", "north", Some(2))]
#[case::second_key("Bearer Key-2", "north", Some(2))]
#[case::scheme_in_lower_case("bearer Key-3", "south", None)]
#[case::scheme_in_upper_case("BEARER Key-3", "south", None)]
fn a_key_is_replaced_by_the_name_of_its_tenant(
    #[case] authorization: &str,
    #[case] name: &str,
    #[case] rank: Option<u8>,
) {
    let mut fields = fields(&[authorization]);

    let identity = authenticate(&tenants(), &mut fields, &origin("r1"), || true).unwrap();

    assert_eq!(identity.tenant.unwrap().name, name);
    assert_eq!(identity.rank, rank);
    assert_eq!(tenant_headers(&fields), [name]);
    assert!(!fields.contains_key(header::AUTHORIZATION));
}

#[rstest]
#[case::none(&[])]
#[case::unknown(&["Bearer Key-9"])]
#[case::empty(&["Bearer "])]
#[case::scheme_only(&["Bearer"])]
#[case::no_scheme(&["Key-1"])]
#[case::other_scheme(&["Basic Key-1"])]
#[case::key_in_lower_case(&["Bearer key-1"])]
#[case::key_in_upper_case(&["Bearer KEY-1"])]
#[case::two_spaces(&["Bearer  Key-1"])]
#[case::leading_space(&[" Bearer Key-1"])]
#[case::trailing_space(&["Bearer Key-1 "])]
#[case::tab(&["Bearer\tKey-1"])]
#[case::more_words(&["Bearer Key-1 Key-2"])]
#[case::list(&["Bearer Key-1,Key-2"])]
#[case::prefix_of_a_key(&["Bearer Key-"])]
#[case::two_headers(&["Bearer Key-1", "Bearer Key-1"])]
#[case::two_headers_one_empty(&["Bearer Key-1", ""])]
#[case::not_utf_8(&["Bearer Key-1\u{fffd}"])]
fn a_request_without_a_valid_key_is_refused(#[case] authorizations: &[&str]) {
    let mut fields = fields(authorizations);

    let refused = authenticate(&tenants(), &mut fields, &origin("r1"), || true);

    assert_eq!(refused, Err(AuthenticationError::KeyUnknown));
}

/// Guards against a server that trusts a tenant's name that the caller chose, and against keys in a server's logs.
#[test]
fn a_public_route_needs_no_key_and_passes_on_neither_key_nor_tenant() {
    let mut fields = fields(&["Bearer Key-1"]);
    let origin = RequestOrigin {
        is_public: true,
        ..origin("r1")
    };

    let identity = authenticate(&tenants(), &mut fields, &origin, || false);

    assert_eq!(identity, Ok(CallerIdentity::default()));
    assert!(fields.is_empty());
}

#[rstest]
#[case::rank_of_its_tenant(Some(3))]
#[case::rank_of_its_route(None)]
fn a_nested_call_needs_no_key_and_keeps_the_rank_of_its_parent(#[case] rank: Option<u8>) {
    let mut running = RunningRequests::default();
    running.start("r1", false, rank);
    let mut fields = fields(&[]);
    let origin = RequestOrigin {
        parent: running.parent(RequestClaim::new("r1.1", false)),
        ..origin("r1.1")
    };

    let identity = authenticate(&tenants(), &mut fields, &origin, || false).unwrap();

    assert_eq!(identity, CallerIdentity { tenant: None, rank });
    assert!(fields.is_empty());
}

/// Guards against a final answer to a nested call whose parent's daemon has just restarted.
#[rstest]
#[case::no_key(&[], AuthenticationError::ParentUnknown)]
#[case::empty_key(&["Bearer "], AuthenticationError::ParentUnknown)]
#[case::unknown_key(&["Bearer Key-9"], AuthenticationError::KeyUnknown)]
fn a_nested_call_without_a_known_parent_is_not_answered_as_unauthorized(
    #[case] authorizations: &[&str],
    #[case] expected: AuthenticationError,
) {
    let mut fields = fields(authorizations);

    let refused = authenticate(&tenants(), &mut fields, &origin("r1.1"), || true);

    assert_eq!(refused, Err(expected));
}

#[rstest]
#[case::known_key("Bearer Key-1")]
#[case::unknown_key("Bearer Key-9")]
fn no_key_is_looked_up_while_the_knowledge_of_the_keys_is_too_old(#[case] authorization: &str) {
    let mut fields = fields(&[authorization]);

    let refused = authenticate(&tenants(), &mut fields, &origin("r1"), || false);

    assert_eq!(refused, Err(AuthenticationError::KeysStale));
}

#[test]
fn a_request_that_has_ended_is_no_parent() {
    let mut running = RunningRequests::default();
    running.start("r1", false, Some(1));
    let ended = running.end("r1");

    assert_eq!(ended.tenant_rank, Some(1));
    assert_eq!(
        running.parent(RequestClaim::new("r1.1", false)),
        None::<RunningState>
    );
}

#[rstest]
fn the_tenants_rank_travels_with_a_forwarded_request(
    #[values(None, Some(0), Some(255))] tenant_rank: Option<u8>,
) {
    let head = ForwardHead {
        route: "browse all".to_string(),
        instance: "i-1".to_string(),
        urgency: jayrack_mesh::gate::Urgency { stage: 1, rank: 2 },
        target_left_ms: 1,
        time_left_ms: 2,
        is_idempotent: true,
        attempt: AttemptKind::First,
        is_same_data_centre: true,
        sent: SendTime { epoch: 3, at_ms: 4 },
        tenant_rank,
    };
    let mut fields = HeaderMap::new();

    head.encode(&mut fields);

    assert_eq!(ForwardHead::decode(&fields), Some(head));
}

/// Guards against keys in logs and error messages.
#[test]
fn debug_output_contains_no_key() {
    let text = format!("{:?} {:?}", tenants(), tenants().find("Key-1"));

    assert!(text.contains("north") && !text.contains("Key-"), "{text}");
}
