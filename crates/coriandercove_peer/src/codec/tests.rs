use bytes::BytesMut;
use googletest::prelude::*;
use proptest::prelude::*;

use super::{CodecError, Opener, Sealer};
use crate::{ClusterKey, Frame};

fn pair() -> (Sealer, Opener) {
    let key = ClusterKey::new([1; 32]);
    (Sealer::new(key.clone()), Opener::new(key))
}

/// Guards against replay: someone who records a frame on the network must not be able to have it
/// accepted again or out of order.
#[gtest]
fn rejects_replayed_frames() {
    let (mut sealer, mut opener) = pair();
    let mut wire = BytesMut::new();
    sealer.seal(&Frame::Ping, &mut wire).unwrap();
    let mut replay = wire.clone();
    expect_that!(opener.open::<Frame>(&mut wire), ok(some(eq(&Frame::Ping))));
    expect_that!(
        opener.open::<Frame>(&mut replay),
        err(matches_pattern!(CodecError::NotAuthentic { counter: &1 }))
    );
}

/// Guards against a length prefix that would make the receiver buffer without limit.
#[gtest]
fn rejects_an_oversized_length_prefix() {
    let (_, mut opener) = pair();
    let mut wire = BytesMut::from(&[0xff; 64][..]);
    expect_that!(
        opener.open::<Frame>(&mut wire),
        err(matches_pattern!(CodecError::TooLarge { .. }))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against a panic of the decoder on bytes from a sender without the key.
    #[test]
    fn survives_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let (_, mut opener) = pair();
        let mut wire = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = opener.open::<Frame>(&mut wire) {}
        let _ = postcard::from_bytes::<Frame>(&bytes);
    }

    /// Guards against a frame that is accepted although one of its bits was changed.
    #[test]
    fn notices_any_changed_bit(bit in 0usize..200) {
        let (mut sealer, mut opener) = pair();
        let mut wire = BytesMut::new();
        let frame = Frame::Credit { req: 7, attempt: 1, up_to: 300 };
        sealer.seal(&frame, &mut wire).unwrap();
        let bit = bit % (wire.len() * 8);
        wire[bit / 8] ^= 1 << (bit % 8);
        let opened = opener.open::<Frame>(&mut wire);
        prop_assert!(!matches!(opened, Ok(Some(_))));
    }
}
