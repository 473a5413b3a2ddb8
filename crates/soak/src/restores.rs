//! Restores of the store from a backup that lacks the newest configuration, while processes start again.
//!
//! The backup also lacks the API key that the configuration replaced, and the operator writes the configuration again some
//! seconds later. Meanwhile processes are killed and started, and the store may be restored once more.

use std::io;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillhatch_platform_standins::store::{LostWrite, StoreMode};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::machine::SoakMachine;
use crate::planned_work::start_after_exit;
use crate::record::FaultSpan;
use crate::run::SoakRun;

/// Combined with the soak's seed for the schedule of restores.
const SCHEDULE_SEED: u64 = 0x7e5a;
/// The range of the times from the backup to the lost write, and from that to the outage, in milliseconds.
const BACKUP_MS: Range<u64> = 50..1_000;
const SPREAD_MS: Range<u64> = 100..2_500;
/// The range of the durations of the outage, in milliseconds.
const OUTAGE_MS: Range<u64> = 200..900;
/// The ways in which the store is away.
const OUTAGES: [StoreMode; 3] = [StoreMode::Unresponsive, StoreMode::Status(503), StoreMode::Reset];
/// The range of the times from the restore at which processes are killed, in milliseconds.
const KILL_MS: Range<u64> = 0..1_500;
/// The range of the times from the restore to the second write, in milliseconds.
const REWRITE_MS: Range<u64> = 300..5_200;
/// The probability that the store is restored once more before the second write.
const SECOND_RESTORE_PROBABILITY: f64 = 0.3;
/// How long callers go on after the second write: the time in which no bound applies yet, and some more.
const REST: Duration = Duration::from_secs(8);

/// The schedule of the restores of one soak.
pub struct Restores {
    random: Pcg64,
}

impl Restores {
    /// Creates the schedule.
    pub fn new(seed: u64) -> Self {
        Restores { random: Pcg64::seed_from_u64(seed ^ SCHEDULE_SEED) }
    }

    fn draw_ms(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.random.gen_range(range))
    }

    /// Draws the processes that are killed: one to half of them.
    fn draw_machines(&mut self, machines: &[Rc<SoakMachine>]) -> Vec<Rc<SoakMachine>> {
        let count = self.random.gen_range(1..=machines.len() / 2);
        machines.choose_multiple(&mut self.random, count).cloned().collect()
    }
}

impl SoakRun {
    /// Changes the configuration, restores the store from a backup without it, and writes it again.
    pub(crate) async fn restore_round(&mut self, restores: &mut Restores) -> io::Result<()> {
        let copied = Instant::now();
        sleep(restores.draw_ms(BACKUP_MS)).await;
        self.configure();
        sleep(restores.draw_ms(SPREAD_MS)).await;

        let from = Instant::now();
        let mode = *OUTAGES.choose(&mut restores.random).unwrap_or(&OUTAGES[0]);
        self.machines.iter().for_each(|machine| machine.store.set_mode(mode));
        sleep(restores.draw_ms(OUTAGE_MS)).await;
        let mut lost = self.store.restore_backup(copied.elapsed());
        self.machines.iter().for_each(|machine| machine.store.set_mode(StoreMode::Normal));

        let restored = Instant::now();
        let mut kills = Vec::new();
        for machine in restores.draw_machines(&self.machines) {
            let delay = restores.draw_ms(KILL_MS);
            kills.push(spawn_local(async move {
                sleep(delay).await;
                machine.signal(Signal::KILL);
                start_after_exit(&machine).await
            }));
        }
        let rewrite_delay = restores.draw_ms(REWRITE_MS);
        if restores.random.gen_bool(SECOND_RESTORE_PROBABILITY) {
            sleep(rewrite_delay / 2).await;
            merge_lost(&mut lost, self.store.restore_backup(copied.elapsed()));
        }
        sleep(rewrite_delay.saturating_sub(restored.elapsed())).await;
        lost.iter().for_each(|write| self.store.rewrite(write));
        for kill in kills {
            kill.await.map_err(io::Error::other)??;
        }
        self.record.borrow_mut().fault_spans.push(FaultSpan { machine: None, from, until: Instant::now() });
        sleep(REST).await;
        self.collect_requests();
        Ok(())
    }
}

/// Adds the writes that a second restore has lost; the later one of each key counts.
fn merge_lost(lost: &mut Vec<LostWrite>, second: Vec<LostWrite>) {
    lost.retain(|write| second.iter().all(|later| later.key != write.key));
    lost.extend(second);
}
