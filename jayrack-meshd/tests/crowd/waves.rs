//! Waves of callers whose bodies differ from wave to wave.
use std::{ops::RangeInclusive, time::Duration};

use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::{
    Door,
    callers::{BodyFraming, BodyPlan, CallerCrowd},
    support::HostProcess,
};

/// Time after which a wave's connections are closed, whatever they have sent.
const WAVE_TIME: Duration = Duration::from_secs(2);
/// Callers of one wave.
const WAVE_CALLERS: RangeInclusive<u32> = 100..=330;
/// Size of the smallest body, in bytes.
const MIN_BODY_BYTES: u32 = 20 << 10;
/// Times that the size of the smallest body is doubled at most.
const MAX_DOUBLINGS: u32 = 7;
/// Bytes that are missing at the end of a body that stops short.
const MISSING_BYTES: usize = 5;
/// Data bytes of a small chunk.
const CHUNK_BYTES: RangeInclusive<u32> = 1..=9;

/// One crowd of several that follow each other.
#[derive(Debug, Clone, Copy)]
pub struct WavePlan {
    door: Door,
    callers: usize,
    body: BodyPlan,
}

/// Draws `count` waves for the listeners in turn; `max_body_bytes` is the largest legal body.
pub fn plan(seed: u64, count: usize, max_body_bytes: usize) -> Vec<WavePlan> {
    let mut random = Pcg32::seed_from_u64(seed);
    let doors = [Door::Callers, Door::Daemons].into_iter().cycle();
    doors
        .take(count)
        .map(|door| draw_wave(&mut random, door, max_body_bytes))
        .collect()
}

fn draw_wave(random: &mut Pcg32, door: Door, max_body_bytes: usize) -> WavePlan {
    let callers = draw(random, WAVE_CALLERS) as usize;
    let least = MIN_BODY_BYTES << draw(random, 0..=MAX_DOUBLINGS);
    let bytes = (draw(random, least..=2 * least) as usize).min(max_body_bytes);
    let whole = |framing, sent_bytes| BodyPlan {
        framing,
        sent_bytes,
        is_complete: true,
    };
    let body = match draw(random, 0..=3) {
        0 => whole(BodyFraming::Length(bytes), bytes),
        1 => whole(BodyFraming::Length(bytes), bytes - MISSING_BYTES),
        2 => BodyPlan {
            framing: BodyFraming::Chunks(draw(random, CHUNK_BYTES) as usize),
            sent_bytes: bytes,
            is_complete: false,
        },
        _ => whole(BodyFraming::Length(2 * max_body_bytes), bytes),
    };
    WavePlan {
        door,
        callers,
        body,
    }
}

fn draw(random: &mut Pcg32, range: RangeInclusive<u32>) -> u32 {
    range.start() + random.next_u32() % (range.end() - range.start() + 1)
}

/// Sends one wave and closes its connections after [`WAVE_TIME`].
pub async fn send(host: &HostProcess, wave: WavePlan) {
    let ends_at = Instant::now() + WAVE_TIME;
    let WavePlan {
        door,
        callers,
        body,
    } = wave;
    let fields = door.fields();
    let sending = CallerCrowd::send_bodies(door.address(host), callers, &fields, body);
    // Without the crowd, its connections are closed.
    if let Ok(_crowd) = timeout_at(ends_at, sending).await {
        sleep_until(ends_at).await;
    }
}
