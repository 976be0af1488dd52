//! Datagram authentication accepts both keys of a rotation and nothing else.
use jayrack_protocol::auth::FleetKeys;
use proptest::prelude::*;

#[test]
fn rotation_accepts_either_key() {
    let before = FleetKeys::new(b"old", None);
    let during = FleetKeys::new(b"old", Some(b"new"));
    let after = FleetKeys::new(b"new", Some(b"old"));

    let from_before = before.sign(b"payload".to_vec());
    let from_after = after.sign(b"payload".to_vec());

    assert_eq!(during.verify(&from_before), Some(&b"payload"[..]));
    assert_eq!(during.verify(&from_after), Some(&b"payload"[..]));
    assert_eq!(before.verify(&from_after), None);
}

proptest! {
    #[test]
    fn any_changed_byte_is_rejected(payload: Vec<u8>, position: usize, flip in 1u8..) {
        let keys = FleetKeys::new(b"key", None);
        let mut signed = keys.sign(payload);
        let position = position % signed.len();

        signed[position] ^= flip;

        prop_assert_eq!(keys.verify(&signed), None);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) {
        let keys = FleetKeys::new(b"key", None);

        let verified = keys.verify(&bytes);

        prop_assert_eq!(verified, None);
    }
}
