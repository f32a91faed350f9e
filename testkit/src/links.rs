//! Links between VMs, and from VMs to backend servers and the platform.

use std::collections::HashSet;

use dragonflytrack::kernel::clock::Millis;
use rand::{
    Rng,
    rngs::SmallRng, //
};

/// How messages travel.
#[derive(Clone, Debug)]
pub struct Links {
    /// The shortest delay.
    pub min_delay: Millis,
    /// The longest delay.
    pub max_delay: Millis,
    /// The chance that a message is lost.
    pub loss: f64,
    /// The chance that a message arrives twice.
    pub duplication: f64,
    /// Ordered pairs of places between which nothing travels.
    cuts: HashSet<(String, String)>,
}

impl Default for Links {
    fn default() -> Links {
        Links {
            min_delay: Millis(1),
            max_delay: Millis(2),
            loss: 0.0,
            duplication: 0.0,
            cuts: HashSet::new(),
        }
    }
}

impl Links {
    /// Cuts the way from `from` to `to`. The way back stays.
    pub fn cut_one_way(&mut self, from: impl Into<String>, to: impl Into<String>) {
        self.cuts.insert((from.into(), to.into()));
    }

    /// Cuts both ways between `a` and `b`.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cut_one_way(a, b);
        self.cut_one_way(b, a);
    }

    /// Mends both ways between `a` and `b`.
    pub fn heal_link(&mut self, a: &str, b: &str) {
        self.cuts.remove(&(a.to_owned(), b.to_owned()));
        self.cuts.remove(&(b.to_owned(), a.to_owned()));
    }

    /// Mends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Tells whether the way from `from` to `to` is cut.
    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cuts.contains(&(from.to_owned(), to.to_owned()))
    }

    /// Returns the delay of each copy of a message that arrives.
    pub fn delivery_delays(&self, rng: &mut SmallRng, from: &str, to: &str) -> Vec<Millis> {
        if self.is_cut(from, to) || rng.random_bool(self.loss) {
            return Vec::new();
        }
        let mut delays = vec![self.delay(rng)];
        if rng.random_bool(self.duplication) {
            delays.push(self.delay(rng));
        }
        delays
    }

    fn delay(&self, rng: &mut SmallRng) -> Millis {
        Millis(rng.random_range(self.min_delay.0..=self.max_delay.0))
    }
}
