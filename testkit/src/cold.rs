//! A simulated backend server with a cold start, for tests of capacity.

use std::collections::VecDeque;

use dragonflytrack::kernel::clock::{
    Millis,
    Time,
    WallTime, //
};

/// What raises the capacity of a cold backend server by one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WarmUp {
    /// This number of answers since the last increase.
    Answers(u32),
    /// This much time since the last increase.
    Time(Millis),
}

/// How the load endpoint misreports the load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadReport {
    /// It reports the load of this long ago.
    Lagging(Millis),
    /// It always reports its first load.
    Stuck,
    /// It always reports zero.
    Zero,
}

/// How a backend server responds to a new request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It accepts the request and runs it for this long.
    Runs(Millis),
    /// It rejects the request because of its load.
    Sheds,
    /// It rejects the request because its deadline has passed.
    TooLate,
    /// It is down.
    Unreachable,
}

/// A cold backend server crashes if more requests than this exceed its capacity
/// within [`OVERLOAD_WINDOW`].
const OVERLOAD_LIMIT: usize = 10;

/// See [`OVERLOAD_LIMIT`].
const OVERLOAD_WINDOW: Millis = Millis::from_secs(1);

/// How long a backend server is down after a crash.
const RESTART_TIME: Millis = Millis::from_secs(5);

/// The slowdown factor of a cold backend server within its capacity.
const COLD_SLOWDOWN: u64 = 3;

/// A simulated backend server with a cold start.
#[derive(Clone, Debug)]
pub struct ColdBackend {
    /// How many concurrent requests it can run when warm.
    pub slots: u32,
    /// How many concurrent requests it can run now.
    pub capacity: u32,
    /// What raises its capacity during a cold start.
    pub warm_up: WarmUp,
    /// Whether it rejects requests beyond its capacity. If not, it accepts them
    /// up to `slots` and slows down.
    pub sheds: bool,
    /// Whether its answers name the run of its process.
    pub reports_run: bool,
    /// The number of its run, increased by each cold start.
    pub run: u64,
    /// The end times of the running requests.
    pub running: Vec<Time>,
    /// The number of crashes.
    pub crashes: u32,
    /// Requests that arrived while it was at its capacity.
    pub excess: u64,
    /// Requests that arrived while all its slots were in use.
    pub over_slots: u64,
    /// Requests that it accepted.
    pub ran: u64,
    /// Requests that arrived after their deadline.
    pub too_late: u64,
    /// The sum of the run times of all requests since the last reset.
    pub busy_millis: u64,
    down_until: Time,
    answers: u32,
    last_increase: Time,
    accounted_until: Time,
    recent_excess: VecDeque<Time>,
    load_history: VecDeque<(Time, u32)>,
}

impl ColdBackend {
    /// Creates a warm backend server.
    pub fn warm(slots: u32) -> ColdBackend {
        ColdBackend {
            slots,
            capacity: slots,
            warm_up: WarmUp::Answers(4),
            sheds: true,
            reports_run: true,
            run: 1,
            running: Vec::new(),
            crashes: 0,
            excess: 0,
            over_slots: 0,
            ran: 0,
            too_late: 0,
            busy_millis: 0,
            down_until: Time(0),
            answers: 0,
            last_increase: Time(0),
            accounted_until: Time(0),
            recent_excess: VecDeque::new(),
            load_history: VecDeque::new(),
        }
    }

    /// Begins a cold start: a new run with a capacity of one request.
    pub fn enter_cold_start(&mut self, now: Time) {
        self.capacity = 1;
        self.answers = 0;
        self.last_increase = now;
        self.run += 1;
    }

    /// Returns whether it accepts connections at `now`.
    pub fn is_up(&self, now: Time) -> bool {
        now >= self.down_until
    }

    /// Handles a new request that takes `service_time` on a warm backend
    /// server.
    pub fn receive(
        &mut self,
        now: Time,
        wall: WallTime,
        deadline: WallTime,
        service_time: Millis,
    ) -> Admission {
        self.advance(now);
        if !self.is_up(now) {
            return Admission::Unreachable;
        }
        if wall > deadline {
            self.too_late += 1;
            return Admission::TooLate;
        }
        let running = self.running.len() as u32;
        if running >= self.slots {
            self.over_slots += 1;
        }
        if running >= self.capacity {
            self.record_excess(now);
            if !self.is_up(now) {
                return Admission::Unreachable;
            }
            if self.sheds || running >= self.slots {
                return Admission::Sheds;
            }
        }
        let slowdown = if self.capacity < self.slots {
            COLD_SLOWDOWN * u64::from(running.max(self.capacity) + 1) / u64::from(self.capacity + 1)
        } else {
            1
        };
        let span = Millis(service_time.0 * slowdown);
        self.running.push(now + span);
        self.ran += 1;
        Admission::Runs(span)
    }

    /// Advances the simulation to `now`: ends requests and warms up.
    pub fn advance(&mut self, now: Time) {
        let ended = self.running.iter().filter(|end| **end <= now).count() as u32;
        let left = self.running.len() as u64 - u64::from(ended);
        self.busy_millis += now.since(self.accounted_until).0 * left;
        let accounted_until = self.accounted_until;
        for end in self.running.iter().filter(|end| **end <= now) {
            self.busy_millis += end.since(accounted_until).0;
        }
        self.accounted_until = now;
        self.running.retain(|end| *end > now);
        self.answers += ended;
        self.raise_capacity(now);
        self.record_load(now);
    }

    /// Returns the number of running requests as the load endpoint reports it.
    pub fn reported_load(&self, now: Time, report: LoadReport) -> u32 {
        match report {
            LoadReport::Zero => 0,
            LoadReport::Stuck => self.load_history.front().map_or(0, |(_, load)| *load),
            LoadReport::Lagging(lag) => self
                .load_history
                .iter()
                .rev()
                .find(|(at, _)| *at + lag <= now)
                .map_or(0, |(_, load)| *load),
        }
    }

    fn record_load(&mut self, now: Time) {
        const RECORD_INTERVAL: Millis = Millis(200);
        const RECORDS: usize = 100;
        let last = self.load_history.back().map(|(at, _)| *at);
        if last.is_some_and(|at| now.since(at) < RECORD_INTERVAL) {
            return;
        }
        self.load_history
            .push_back((now, self.running.len() as u32));
        if self.load_history.len() > RECORDS {
            // `LoadReport::Stuck` needs the first record.
            self.load_history.remove(1);
        }
    }

    fn raise_capacity(&mut self, now: Time) {
        if self.capacity >= self.slots || !self.is_up(now) {
            return;
        }
        let is_due = match self.warm_up {
            WarmUp::Answers(n) => self.answers >= n,
            WarmUp::Time(span) => now.since(self.last_increase) >= span,
        };
        if is_due {
            self.capacity += 1;
            self.answers = 0;
            self.last_increase = now;
        }
    }

    fn record_excess(&mut self, now: Time) {
        self.excess += 1;
        self.recent_excess.push_back(now);
        while self
            .recent_excess
            .front()
            .is_some_and(|at| now.since(*at) > OVERLOAD_WINDOW)
        {
            self.recent_excess.pop_front();
        }
        if self.recent_excess.len() > OVERLOAD_LIMIT && self.capacity < self.slots {
            self.crash(now);
        }
    }

    fn crash(&mut self, now: Time) {
        self.crashes += 1;
        self.down_until = now + RESTART_TIME;
        self.running.clear();
        self.recent_excess.clear();
        self.enter_cold_start(self.down_until);
    }
}
