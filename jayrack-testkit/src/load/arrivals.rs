//! Arrivals of customer requests, drawn from a seed.
use rand_pcg::{
    Pcg64Mcg,
    rand_core::{Rng, SeedableRng},
};

/// Number of customers among whom the usual load is spread.
const CUSTOMERS: u32 = 20;

/// Name of the customer that a single-customer flood comes from.
pub const FLOODER: &str = "flooder";

/// One customer request to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerArrival {
    /// When it arrives, in microseconds after the start.
    pub at_us: u64,
    /// Index of its kind.
    pub kind: usize,
    /// Number that makes it unique in the run.
    pub number: u64,
    /// Index of the daemon that the customer uses.
    pub daemon: usize,
    /// Name of the customer.
    pub customer: String,
    /// Whether it belongs to the flood.
    pub is_flood: bool,
}

/// One stream of arrivals.
#[derive(Debug, Clone, PartialEq)]
pub struct ArrivalStream {
    /// Index of the kind.
    pub kind: usize,
    /// Mean number per second.
    pub per_second: f64,
    /// Whether it belongs to the flood.
    pub is_flood: bool,
    /// Whether it all comes from one customer.
    pub is_one_customer: bool,
}

/// Draws the arrivals of all `streams` in the order of their times.
pub fn draw(
    streams: &[ArrivalStream],
    seconds: f64,
    daemons: usize,
    seed: u64,
) -> Vec<CustomerArrival> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for stream in streams {
        let mut time_seconds = 0.0;
        loop {
            time_seconds += exponential(&mut random) / stream.per_second;
            // The time is infinite for a stream with 0 requests per second.
            if time_seconds.is_nan() || time_seconds >= seconds {
                break;
            }
            arrivals.push(CustomerArrival {
                at_us: (time_seconds * 1e6) as u64,
                kind: stream.kind,
                number: 0,
                daemon: random.next_u32() as usize % daemons,
                customer: customer(stream, &mut random),
                is_flood: stream.is_flood,
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    for (number, arrival) in arrivals.iter_mut().enumerate() {
        arrival.number = number as u64;
    }
    arrivals
}

fn customer(stream: &ArrivalStream, random: &mut Pcg64Mcg) -> String {
    if stream.is_one_customer {
        return FLOODER.to_string();
    }
    format!("customer-{}", random.next_u32() % CUSTOMERS)
}

fn exponential(random: &mut Pcg64Mcg) -> f64 {
    let uniform = (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    -(1.0 - uniform).ln()
}
