//! A whole wave session, step by step, against a golden file.

#[path = "support/fake.rs"]
mod support;

use std::time::Duration;

use maintenance::wave;
use model::Config;
use model::HostState;
use model::WaveState;
use support::Fate;
use support::TICK;
use support::World;
use support::contract;
use support::of_host;
use support::of_wave;

/// Steps of hosts and waves that lead from one configuration to the next.
fn steps(before: &Config, after: &Config) -> Vec<String> {
    let mut steps = Vec::new();
    for row in &after.hosts {
        let held = before.host(row.id()).unwrap();
        if held.state != row.state || held.spec.pool != row.spec.pool {
            let reason = row.reason.as_ref().map_or(String::new(), |why| format!(" ({why})"));
            steps.push(format!("{} {}{reason}", row.id(), row.state));
        }
    }
    for wave in &after.waves {
        if before.wave(&wave.id).is_none_or(|held| held.state != wave.state) {
            steps.push(format!("wave {} {}", wave.id, wave.state));
        }
    }
    steps
}

struct Session {
    world: World,
    last: Config,
    lines: Vec<String>,
    second: u64,
}

impl Session {
    async fn tick(&mut self) {
        self.world.tick().await;
        self.note().await;
        self.world.pass(TICK);
        self.second += TICK.as_secs();
    }

    async fn note(&mut self) {
        let config = self.world.config().await;
        for step in steps(&self.last, &config) {
            self.lines.push(format!("{:>5} s  {step}", self.second));
        }
        self.last = config;
    }

    async fn until(&mut self, wanted: impl Fn(&Config) -> bool) {
        while !wanted(&self.last) {
            assert!(self.second < Duration::from_secs(86_400).as_secs(), "{:#?}", self.lines);
            self.tick().await;
        }
    }
}

#[tokio::test]
async fn wave_session_goes_as_in_the_golden_file() {
    let mut world = World::new(&contract(8, 1, 4)).await;
    world.tick().await;
    world.host("h03").fate = Fate::ComesBackBroken;
    world.host("h06").fate = Fate::NeverEnds;
    let last = world.config().await;
    let mut session = Session { world, last, lines: Vec::new(), second: 0 };
    session.world.start_wave("validate").await;
    session.note().await;

    // An operator pauses it for a while.
    session.until(|config| config.host("h00").unwrap().state == HostState::Rebooting).await;
    let pause = |config: &Config, _| Ok(of_wave(wave::pause(config, "validate").unwrap()));
    session.world.change(Vec::new(), pause).await.unwrap();
    session.note().await;
    session.until(|config| config.host("h00").unwrap().state == HostState::Serving).await;
    let start = |config: &Config, _| Ok(of_wave(wave::start(config, "validate").unwrap()));
    session.world.change(Vec::new(), start).await.unwrap();

    // Two hosts do not come back, the wave halts, one of them is repaired.
    session.until(|config| matches!(config.waves[0].state, WaveState::Halted { .. })).await;
    session.world.host("h03").broken = false;
    session.world.host("h03").fate = Fate::Returns;
    let repair = |config: &Config, moment| {
        Ok(of_host(maintenance::return_host(config, "h03", moment).unwrap()))
    };
    session.world.change(Vec::new(), repair).await.unwrap();
    session.until(|config| config.waves[0].state == WaveState::Done).await;

    let played = session.lines.join("\n") + "\n";
    assert_eq!(played, include_str!("golden/wave.txt"), "played:\n{played}");
}
