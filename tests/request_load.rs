//! Requests under overload and backend server failures, compared with naive load
//! balancers in the same run.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use bytes::Bytes;
use dragonflytrack::{
    core::{
        Counter,
        names::ServiceId,
        request::{
            Answer,
            Call,
            CallId,
            Headers,
            HttpRequest, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};
use dragonflytrack_testkit::{
    FakeBackend,
    Fleet,
    sample, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

const SERVICE: &str = "fitting-svc";
const SERVICE_TIME: Millis = Millis(200);
const TIMEOUT: Millis = Millis::from_secs(1);
const SLOTS: usize = 30;
const STEP: Millis = Millis(10);

/// Capacity of the backend servers, in requests per second.
const CAPACITY: f64 = 150.0;

struct Load {
    fleet: Fleet,
    rng: SmallRng,
    sent: u64,
}

impl Load {
    /// Starts the fleet and warms up its backend servers.
    fn open(seed: u64) -> Load {
        let cfg = sample::configuration(&sample::HU_CENTRAL, &sample::HU_CENTRAL_SERVICES);
        let mut fleet = Fleet::open(&cfg, 2, seed);
        for backend in &mut fleet.backends {
            backend.service_time = SERVICE_TIME;
        }
        fleet.run_for(Millis::from_secs(3));
        let rng = SmallRng::seed_from_u64(seed);
        let mut load = Load {
            fleet,
            rng,
            sent: 0,
        };
        load.run(0.9, Millis::from_secs(30));
        load
    }

    /// Sends requests at `share` of the capacity. Returns the number answered by a
    /// backend server.
    fn run(&mut self, share: f64, span: Millis) -> u64 {
        let before = self.fleet.answers.len();
        let per_step = share * CAPACITY * STEP.0 as f64 / 1_000.0;
        for _ in 0..span.0 / STEP.0 {
            for _ in 0..arrivals(&mut self.rng, per_step) {
                self.send();
            }
            self.fleet.run_for(STEP);
        }
        let new = &self.fleet.answers[before..];
        let answered = new
            .iter()
            .filter(|a| matches!(a.answer, Answer::Answered(_)));
        answered.count() as u64
    }

    fn send(&mut self) {
        self.sent += 1;
        let vm = self.rng.random_range(0..self.fleet.nodes.len());
        let call = Call {
            id: CallId(self.sent),
            service: ServiceId::new(SERVICE),
            request: HttpRequest {
                method: "GET".to_owned(),
                path: "/rack".to_owned(),
                headers: Headers::new(),
                body: Bytes::new(),
            },
            ticket: None,
            deadline: self.fleet.now + TIMEOUT,
        };
        self.fleet.call(vm, call);
    }

    fn backends(&mut self) -> impl Iterator<Item = &mut FakeBackend> {
        let all = self.fleet.backends.iter_mut();
        all.filter(|b| b.name.as_str().starts_with(SERVICE))
    }

    fn offered(&mut self) -> u64 {
        self.backends().map(|b| b.offered).sum()
    }

    fn count(&self, counter: Counter) -> u64 {
        let engines = self.fleet.nodes.iter().filter_map(|n| n.engine.as_ref());
        engines.map(|e| e.counters().get(counter)).sum()
    }

    fn retries(&self) -> u64 {
        self.count(Counter::RequestRetriedNotConnected)
            + self.count(Counter::RequestRetriedShed)
            + self.count(Counter::RequestRetriedLate)
            + self.count(Counter::RequestRetriedLost)
    }
}

/// Draws a Poisson-distributed number of arrivals, by Knuth's algorithm.
fn arrivals(rng: &mut SmallRng, mean: f64) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut n = 0;
    while product > limit {
        product *= rng.random::<f64>();
        n += 1;
    }
    n
}

/// Returns the goodput of an unbounded queue without expiry, in requests per
/// second.
fn naive_goodput(share: f64, span: Millis) -> f64 {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut free: BinaryHeap<Reverse<Time>> = (0..SLOTS).map(|_| Reverse(Time(0))).collect();
    let mut good = 0;
    for step in 0..span.0 / STEP.0 {
        let now = Time(step * STEP.0);
        for _ in 0..arrivals(&mut rng, share * CAPACITY * STEP.0 as f64 / 1_000.0) {
            let Some(Reverse(at)) = free.pop() else {
                continue;
            };
            let done = at.max(now) + SERVICE_TIME;
            free.push(Reverse(done));
            good += u64::from(done <= now + TIMEOUT);
        }
    }
    good as f64 * 1_000.0 / span.0 as f64
}

/// Returns the retries per request of a balancer that makes up to three attempts
/// at random backend servers.
fn naive_retry_ratio(requests: u64, failing: f64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut retries = 0u64;
    for _ in 0..requests {
        for _ in 1..3 {
            if !rng.random_bool(failing) {
                break;
            }
            retries += 1;
        }
    }
    retries as f64 / requests as f64
}

#[test]
fn goodput_holds_at_twice_the_capacity() {
    const SPAN: Millis = Millis::from_secs(30);
    for seed in [1, 2] {
        let mut load = Load::open(seed);
        let mut goodput = |share| load.run(share, SPAN) as f64 * 1_000.0 / SPAN.0 as f64;
        let (at_1, at_2) = (goodput(1.0), goodput(2.0));
        let (naive_1, naive_2) = (naive_goodput(1.0, SPAN), naive_goodput(2.0, SPAN));
        println!(
            "seed {seed}: {at_1:.1}/s at 1x, {at_2:.1}/s at 2x; \
             without limits {naive_1:.1}/s and {naive_2:.1}/s"
        );
        assert!(at_2 >= 0.9 * at_1, "seed {seed}: {at_2} after {at_1}");
        assert!(at_1 >= 0.8 * CAPACITY, "seed {seed}: {at_1}");
        assert!(naive_2 < 0.9 * naive_1, "the naive queue should collapse");
    }
}

/// Applies `fail` to `failing` backend servers. Returns the retries per request.
fn retry_ratio(seed: u64, failing: usize, fail: impl Fn(&mut FakeBackend)) -> f64 {
    const SPAN: Millis = Millis::from_secs(30);
    let mut load = Load::open(seed);
    load.backends().take(failing).for_each(fail);
    let (sent, offered, retries) = (load.sent, load.offered(), load.retries());
    let answered = load.run(0.6, SPAN);
    let sent = load.sent - sent;
    let offered = load.offered() - offered;
    let retries = load.retries() - retries;
    let share = answered as f64 / sent as f64 * 100.0;
    println!("{failing} fail: {share:.1}% answered, {retries} retries");
    assert!(retries <= sent / 10, "{retries} retries, {sent} sent");
    assert!(offered <= sent + sent / 10, "{offered} of {sent}");
    retries as f64 / sent as f64
}

#[test]
fn retries_add_at_most_a_tenth() {
    for (failing, share) in [(5, 1.0 / 3.0), (15, 1.0)] {
        let dead = retry_ratio(1, failing, |b| b.alive = false);
        let shedding = retry_ratio(2, failing, |b| b.max_concurrent = 0);
        let silent = retry_ratio(3, failing, |b| b.unresponsive = true);
        let naive = naive_retry_ratio(2_700, share);
        println!(
            "{failing} of 15 fail: dead {:.1}%, shedding {:.1}%, silent {:.1}%; naive {:.1}%",
            dead * 100.0,
            shedding * 100.0,
            silent * 100.0,
            naive * 100.0
        );
        assert!(naive > 0.4);
    }
}
