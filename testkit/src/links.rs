//! Simulated links between VMs, backend servers and the platform.

use std::collections::HashSet;

use dragonflytrack::kernel::clock::Millis;
use rand::{
    Rng,
    rngs::SmallRng, //
};

/// Delay, loss, duplication and cuts of all links.
#[derive(Clone, Debug)]
pub struct Links {
    /// The minimum delay of a message.
    pub min_delay: Millis,
    /// The maximum delay of a message.
    pub max_delay: Millis,
    /// The probability that a message is lost.
    pub loss: f64,
    /// The probability that a message arrives twice.
    pub duplication: f64,
    /// Pairs of sender and receiver whose link is cut.
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
    /// Cuts the link from `from` to `to`, but not the reverse direction.
    pub fn cut_one_way(&mut self, from: impl Into<String>, to: impl Into<String>) {
        self.cuts.insert((from.into(), to.into()));
    }

    /// Cuts the link between `a` and `b` in both directions.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cut_one_way(a, b);
        self.cut_one_way(b, a);
    }

    /// Restores the link between `a` and `b` in both directions.
    pub fn heal_link(&mut self, a: &str, b: &str) {
        self.cuts.remove(&(a.to_owned(), b.to_owned()));
        self.cuts.remove(&(b.to_owned(), a.to_owned()));
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Returns whether the link from `from` to `to` is cut.
    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cuts.contains(&(from.to_owned(), to.to_owned()))
    }

    /// Returns the delay of each copy of a message that arrives: none if it is
    /// lost, two if it is duplicated.
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
