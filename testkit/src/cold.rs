//! A backend server with a cold start, for tests of capacity.

use std::collections::VecDeque;

use dragonflytrack::kernel::clock::{
    Millis,
    Time,
    WallTime, //
};

/// What makes a cold backend server bear one more request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Warming {
    /// It has given so many answers since the last step.
    Answers(u32),
    /// So much time has passed since the last step.
    Time(Millis),
}

/// How the load endpoint misleads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadReport {
    /// It tells the load of a while ago.
    Lagging(Millis),
    /// It tells the first load that it ever had.
    Stuck,
    /// It tells that there is no load.
    Zero,
}

/// How a backend server takes a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reception {
    /// It runs the request for so long.
    Runs(Millis),
    /// It refuses the request because of its load.
    Sheds,
    /// It refuses the request because its deadline has passed.
    TooLate,
    /// It does not run.
    Unreachable,
}

/// Requests beyond what it bears within [`OVERLOAD_WINDOW`] that make a cold
/// backend server fall over.
const OVERLOAD_LIMIT: usize = 10;

/// See [`OVERLOAD_LIMIT`].
const OVERLOAD_WINDOW: Millis = Millis::from_secs(1);

/// How long a backend server that fell over takes to run again.
const RESTART_TIME: Millis = Millis::from_secs(5);

/// How many times longer a request takes while the backend server is cold.
const COLD_SLOWNESS: u64 = 3;

/// A backend server with a cold start.
#[derive(Clone, Debug)]
pub struct ColdBackend {
    /// How many requests it bears at once when warm.
    pub slots: u32,
    /// How many requests it bears at once now.
    pub bears: u32,
    /// What makes it warm.
    pub warming: Warming,
    /// Whether it refuses what it does not bear. If not, it runs it slowly.
    pub sheds: bool,
    /// Whether its answers name its run.
    pub names_run: bool,
    /// Its run.
    pub run: u64,
    /// When the requests that run now end.
    pub running: Vec<Time>,
    /// How often it fell over.
    pub falls: u32,
    /// Requests that came while it ran as many as it bears.
    pub excess: u64,
    /// Requests that came while it ran as many as it has slots.
    pub over_slots: u64,
    /// Requests that it ran.
    pub ran: u64,
    /// Requests that came after their deadline.
    pub too_late: u64,
    /// The sum over time of the requests that ran, since the last reset.
    pub busy_millis: u64,
    down_until: Time,
    answers: u32,
    last_step: Time,
    accounted: Time,
    recent_excess: VecDeque<Time>,
    load_history: VecDeque<(Time, u32)>,
}

impl ColdBackend {
    /// Creates a warm backend server.
    pub fn warm(slots: u32) -> ColdBackend {
        ColdBackend {
            slots,
            bears: slots,
            warming: Warming::Answers(4),
            sheds: true,
            names_run: true,
            run: 1,
            running: Vec::new(),
            falls: 0,
            excess: 0,
            over_slots: 0,
            ran: 0,
            too_late: 0,
            busy_millis: 0,
            down_until: Time(0),
            answers: 0,
            last_step: Time(0),
            accounted: Time(0),
            recent_excess: VecDeque::new(),
            load_history: VecDeque::new(),
        }
    }

    /// Falls back into cold start.
    pub fn go_cold(&mut self, now: Time) {
        self.bears = 1;
        self.answers = 0;
        self.last_step = now;
        self.run += 1;
    }

    /// Tells whether it runs.
    pub fn is_up(&self, now: Time) -> bool {
        now >= self.down_until
    }

    /// Takes in a request that takes `service_time` on a warm backend server.
    pub fn offer(
        &mut self,
        now: Time,
        wall: WallTime,
        deadline: WallTime,
        service_time: Millis,
    ) -> Reception {
        self.pass_time(now);
        if !self.is_up(now) {
            return Reception::Unreachable;
        }
        if wall > deadline {
            self.too_late += 1;
            return Reception::TooLate;
        }
        let running = self.running.len() as u32;
        if running >= self.slots {
            self.over_slots += 1;
        }
        if running >= self.bears {
            self.strain(now);
            if !self.is_up(now) {
                return Reception::Unreachable;
            }
            if self.sheds || running >= self.slots {
                return Reception::Sheds;
            }
        }
        let slowness = if self.bears < self.slots {
            COLD_SLOWNESS * u64::from(running.max(self.bears) + 1) / u64::from(self.bears + 1)
        } else {
            1
        };
        let span = Millis(service_time.0 * slowness);
        self.running.push(now + span);
        self.ran += 1;
        Reception::Runs(span)
    }

    /// Lets time pass: requests end, and a cold backend server warms up.
    pub fn pass_time(&mut self, now: Time) {
        let ended = self.running.iter().filter(|end| **end <= now).count() as u32;
        let left = self.running.len() as u64 - u64::from(ended);
        self.busy_millis += now.since(self.accounted).0 * left;
        let accounted = self.accounted;
        for end in self.running.iter().filter(|end| **end <= now) {
            self.busy_millis += end.since(accounted).0;
        }
        self.accounted = now;
        self.running.retain(|end| *end > now);
        self.answers += ended;
        self.warm_up(now);
        self.record_load(now);
    }

    /// Returns the load as its endpoint reports it.
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
            // The first record stays, for an endpoint that sticks.
            self.load_history.remove(1);
        }
    }

    fn warm_up(&mut self, now: Time) {
        if self.bears >= self.slots || !self.is_up(now) {
            return;
        }
        let is_due = match self.warming {
            Warming::Answers(n) => self.answers >= n,
            Warming::Time(span) => now.since(self.last_step) >= span,
        };
        if is_due {
            self.bears += 1;
            self.answers = 0;
            self.last_step = now;
        }
    }

    fn strain(&mut self, now: Time) {
        self.excess += 1;
        self.recent_excess.push_back(now);
        while self
            .recent_excess
            .front()
            .is_some_and(|at| now.since(*at) > OVERLOAD_WINDOW)
        {
            self.recent_excess.pop_front();
        }
        if self.recent_excess.len() > OVERLOAD_LIMIT && self.bears < self.slots {
            self.fall_over(now);
        }
    }

    fn fall_over(&mut self, now: Time) {
        self.falls += 1;
        self.down_until = now + RESTART_TIME;
        self.running.clear();
        self.recent_excess.clear();
        self.go_cold(self.down_until);
    }
}
