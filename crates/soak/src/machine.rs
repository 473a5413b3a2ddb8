//! One machine: a sidecar process, the target beside it, its own address of the store, and the link to it.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillhatch_platform_standins::settings::{settings_document, MachineSettings, SETTINGS_VARIABLE};
use quillhatch_platform_standins::store::StandInStore;
use quillhatch_platform_standins::target::{ChainedCall, CrashRule, StandInTarget, TargetBehaviour};
use rustix::process::{kill_process, Pid, Signal};
use tokio::time::sleep;

use crate::layout::{MachineAddrs, RouteKind, CRASH_DOWNTIME, HOST, SLOTS};
use crate::links::{LinkProcess, MachineLink};

/// How long a request runs at a target.
const REQUEST_DURATION: Duration = Duration::from_millis(15);

/// How long a crashing request runs before its target crashes.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// The interval at which the machine checks whether its target has restarted and must be registered again.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(50);

/// A machine of the soak.
pub struct SoakMachine {
    /// Its addresses.
    pub addrs: MachineAddrs,
    /// Its target.
    pub target: StandInTarget,
    /// The store at the address that only this machine uses.
    pub store: StandInStore,
    /// The link from the other machines.
    pub link: MachineLink,
    /// Whether a schedule lets the target announce a rate limit or a drain.
    pub is_announcing: Cell<bool>,
    /// How its target responds while no fault affects it.
    pub normal_behaviour: Cell<TargetBehaviour>,
    /// Whether callers may open connections to the process.
    pub accepts_callers: Cell<bool>,
    process: RefCell<Option<Child>>,
    starts: RefCell<Vec<Instant>>,
    program: PathBuf,
    settings: PathBuf,
    log: File,
}

impl SoakMachine {
    /// Sets up a machine and starts `program` as its process. Its settings and its log are written to `folder`. Its
    /// link runs in the link process `links` if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written, an address can't be used or the process does not start.
    pub async fn start(
        addrs: MachineAddrs,
        store: &StandInStore,
        (program, folder): (&Path, &Path),
        links: Option<&Rc<RefCell<LinkProcess>>>,
    ) -> io::Result<SoakMachine> {
        let target = StandInTarget::start_at(addrs.target(), addrs.service(), SLOTS).await;
        target.set_behaviour(TargetBehaviour::Slow(REQUEST_DURATION));
        let crashing = RouteKind::Crashing.path().to_owned();
        let keeps_id = addrs.number % 2 == 1;
        target.set_crash_rule(CrashRule { path: crashing, after: CRASH_DELAY, down_for: CRASH_DOWNTIME, keeps_id });
        let path = RouteKind::Read.path().to_owned();
        target.set_chained_call(ChainedCall { outbound: addrs.outbound(), host: HOST.to_owned(), path });
        let store = store.add_listener().await;
        store.register(&target, "ready");
        let link = MachineLink::open(links, addrs.number, addrs.proxy(), addrs.inbound()).await?;
        let node = format!("machine-{}", addrs.number);
        let settings = folder.join(format!("{node}.json"));
        let document = settings_document(&MachineSettings {
            node: &node,
            service: addrs.service(),
            ip: addrs.public.into(),
            target: addrs.target(),
            outbound: addrs.outbound(),
            inbound: addrs.inbound(),
            ready: addrs.ready(),
            project_ports: addrs.project_ports(),
            store: store.address,
        });
        std::fs::write(&settings, document)?;
        let log = File::create(folder.join(format!("{node}.log")))?;
        let machine = SoakMachine {
            addrs,
            target,
            store,
            link,
            is_announcing: Cell::new(false),
            normal_behaviour: Cell::new(TargetBehaviour::Slow(REQUEST_DURATION)),
            accepts_callers: Cell::new(true),
            process: RefCell::default(),
            starts: RefCell::default(),
            program: program.to_owned(),
            settings,
            log,
        };
        machine.start_process()?;
        Ok(machine)
    }

    /// Starts the process unless it is running.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub fn start_process(&self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let child = Command::new(&self.program)
            .arg("sidecar")
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(self.log.try_clone()?)
            .stderr(self.log.try_clone()?)
            .spawn()?;
        *self.process.borrow_mut() = Some(child);
        self.starts.borrow_mut().push(Instant::now());
        Ok(())
    }

    /// Whether the process is running.
    pub fn is_running(&self) -> bool {
        let mut process = self.process.borrow_mut();
        process.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process that this machine started, if it is still running.
    pub fn signal(&self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let process = self.process.borrow();
        let Some(pid) = process.as_ref().and_then(|child| Pid::from_raw(child.id() as i32)) else { return };
        // The process may have exited in the meantime.
        let _ = kill_process(pid, signal);
    }

    /// The peak of the memory of its process so far, in bytes, if it is running.
    pub fn peak_memory(&self) -> Option<u64> {
        let process = self.process.borrow();
        let status = std::fs::read_to_string(format!("/proc/{}/status", process.as_ref()?.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kibibytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
        Some(kibibytes * 1024)
    }

    /// The times at which its process was restarted.
    pub fn restarts(&self) -> Vec<Instant> {
        self.starts.borrow().iter().skip(1).copied().collect()
    }

    /// Registers the target again whenever it has restarted after a crash. Never returns.
    pub async fn keep_registered(self: Rc<Self>) {
        let mut registered = (self.target.id(), self.target.start_time_ms());
        loop {
            sleep(REGISTRATION_INTERVAL).await;
            let current = (self.target.id(), self.target.start_time_ms());
            if current == registered {
                continue;
            }
            self.store.register(&self.target, "ready");
            if current.0 != registered.0 {
                self.store.deregister(&registered.0);
            }
            registered = current;
        }
    }

    /// Resets the target to its normal behaviour.
    pub fn reset_target_behaviour(&self) {
        self.target.set_behaviour(self.normal_behaviour.get());
    }
}

impl Drop for SoakMachine {
    fn drop(&mut self) {
        let Some(child) = self.process.get_mut() else { return };
        // The process may have exited already.
        let _ = child.kill();
        let _ = child.wait();
    }
}
