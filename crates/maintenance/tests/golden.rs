//! All transitions of one wave with failures and operator actions, compared with a golden file.

#[path = "support/fake.rs"]
mod support;

use std::time::Duration;

use maintenance::wave;
use model::Config;
use model::HostState;
use model::WaveState;
use support::RebootOutcome;
use support::TICK;
use support::World;
use support::contract;
use support::host_changes;
use support::wave_changes;

/// Returns the transitions of hosts and waves between two configurations.
fn transitions(before: &Config, after: &Config) -> Vec<String> {
    let mut transitions = Vec::new();
    for row in &after.hosts {
        let previous = before.host(row.id()).unwrap();
        if previous.state != row.state || previous.spec.pool != row.spec.pool {
            let reason = row.reason.as_ref().map_or(String::new(), |why| format!(" ({why})"));
            transitions.push(format!("{} {}{reason}", row.id(), row.state));
        }
    }
    for wave in &after.waves {
        if before.wave(&wave.id).is_none_or(|previous| previous.state != wave.state) {
            transitions.push(format!("wave {} {}", wave.id, wave.state));
        }
    }
    transitions
}

struct Session {
    world: World,
    last_config: Config,
    lines: Vec<String>,
    second: u64,
}

impl Session {
    async fn tick(&mut self) {
        self.world.tick().await;
        self.record_transitions().await;
        self.world.advance_time(TICK);
        self.second += TICK.as_secs();
    }

    async fn record_transitions(&mut self) {
        let config = self.world.config().await;
        for transition in transitions(&self.last_config, &config) {
            self.lines.push(format!("{:>5} s  {transition}", self.second));
        }
        self.last_config = config;
    }

    async fn tick_until(&mut self, wanted: impl Fn(&Config) -> bool) {
        while !wanted(&self.last_config) {
            assert!(self.second < Duration::from_secs(86_400).as_secs(), "{:#?}", self.lines);
            self.tick().await;
        }
    }
}

#[tokio::test]
async fn wave_transcript_matches_the_golden_file() {
    let mut world = World::new(&contract(8, 1, 4)).await;
    world.tick().await;
    world.host("h03").reboot_outcome = RebootOutcome::ReturnsBroken;
    world.host("h06").reboot_outcome = RebootOutcome::NeverEnds;
    let last_config = world.config().await;
    let mut session = Session { world, last_config, lines: Vec::new(), second: 0 };
    session.world.start_wave("validate").await;
    session.record_transitions().await;

    // An operator pauses the wave for a while.
    session.tick_until(|config| config.host("h00").unwrap().state == HostState::Rebooting).await;
    let pause = |config: &Config, _| Ok(wave_changes(wave::pause(config, "validate").unwrap()));
    session.world.change(Vec::new(), pause).await.unwrap();
    session.record_transitions().await;
    session.tick_until(|config| config.host("h00").unwrap().state == HostState::Serving).await;
    let start = |config: &Config, _| Ok(wave_changes(wave::start(config, "validate").unwrap()));
    session.world.change(Vec::new(), start).await.unwrap();

    // Two hosts do not come back, which halts the wave; then one of them is repaired.
    session.tick_until(|config| matches!(config.waves[0].state, WaveState::Halted { .. })).await;
    session.world.host("h03").is_broken = false;
    session.world.host("h03").reboot_outcome = RebootOutcome::Returns;
    let repair = |config: &Config, moment| {
        Ok(host_changes(maintenance::return_host(config, "h03", moment).unwrap()))
    };
    session.world.change(Vec::new(), repair).await.unwrap();
    session.tick_until(|config| config.waves[0].state == WaveState::Done).await;

    let transcript = session.lines.join("\n") + "\n";
    assert_eq!(transcript, include_str!("golden/wave.txt"), "transcript:\n{transcript}");
}
