//! Callers: each sends one request after another to the node of its machine and records how it ended.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillhatch_platform_standins::caller::{request, Caller};
use rand::Rng;
use rand_pcg::Pcg64;
use tokio::time::sleep;

use crate::layout::{RouteKind, HOST};
use crate::machine::SoakMachine;
use crate::record::{CallEnd, CallRecord, SoakRecord};
use crate::tenancy::SoakKey;

/// The time that a caller gives.
const DEADLINE: Duration = Duration::from_secs(3);
/// How long a caller waits for an answer beyond it.
const ALLOWANCE: Duration = Duration::from_secs(1);
/// The pause of a caller whose machine takes none, or takes no connection.
const AWAY_PAUSE: Duration = Duration::from_millis(50);
/// The pause between two requests.
const PAUSE_MS: std::ops::Range<u64> = 20..60;
/// The share of requests that crash the targets that run them.
const CRASHING_SHARE: f64 = 0.01;
/// The share of answers after which a connection is used again.
const KEPT_SHARE: f64 = 0.9;

/// A caller of one machine.
pub struct SoakCaller {
    /// The machine.
    pub machine: Rc<SoakMachine>,
    /// Its number on that machine.
    pub number: usize,
    /// Where it records what it sees.
    pub record: Rc<RefCell<SoakRecord>>,
    /// Whether it goes on using an open connection for as long as there is one, also while its machine is led away from.
    pub reuses_while_draining: bool,
    /// Its random numbers.
    pub random: Pcg64,
}

impl SoakCaller {
    /// Sends requests until `end`.
    pub async fn call_until(mut self, end: Instant) {
        let mut kept: Option<Caller> = None;
        for count in 0_u64.. {
            if Instant::now() >= end {
                return;
            }
            let has_connection = self.reuses_while_draining && kept.is_some();
            if !self.machine.accepts_callers.get() && !has_connection {
                kept = None;
                sleep(AWAY_PAUSE).await;
                continue;
            }
            let kind = self.draw_kind();
            let key = SoakKey::draw(&mut self.random, self.record.borrow().configs.len());
            let id = format!("soak-{}-{}-{count}", self.machine.addrs.number, self.number);
            kept = self.call(kind, key, id, kept).await;
            sleep(Duration::from_millis(self.random.gen_range(PAUSE_MS))).await;
        }
    }

    fn draw_kind(&mut self) -> RouteKind {
        if self.random.gen_bool(CRASHING_SHARE) {
            return RouteKind::Crashing;
        }
        RouteKind::NON_CRASHING[self.random.gen_range(0..RouteKind::NON_CRASHING.len())]
    }

    /// Sends one request; returns the connection if it can be used again.
    async fn call(&mut self, kind: RouteKind, key: SoakKey, id: String, kept: Option<Caller>) -> Option<Caller> {
        let addrs = self.machine.addrs;
        let connected = match kept {
            Some(caller) => Some(caller),
            None => Caller::connect_from(addrs.public.into(), addrs.outbound()).await,
        };
        let Some(mut caller) = connected else {
            self.note(kind, key, id, Instant::now(), CallEnd::Unreached);
            sleep(AWAY_PAUSE).await;
            return None;
        };
        let deadline = DEADLINE.as_millis() as u64;
        let text = request(kind.method(), HOST, kind.path(), &id, deadline, kind.body());
        // Callers name a tenant of their own, which must not pass.
        let headers = format!("\r\nX-Api-Key: {}\r\nQuillhatch-Tenant: forged\r\n\r\n", key.text());
        caller.send(&text.replacen("\r\n\r\n", &headers, 1)).await;
        let sent = Instant::now();
        let Some(answer) = caller.answer_within(DEADLINE + ALLOWANCE).await else {
            let end = if sent.elapsed() >= DEADLINE + ALLOWANCE { CallEnd::Silent } else { CallEnd::Cut };
            self.note(kind, key, id, sent, end);
            return None;
        };
        let end = CallEnd::Answered { status: answer.status, is_own: answer.is_own(&id) };
        self.note(kind, key, id, sent, end);
        let closes = answer.header("connection").eq_ignore_ascii_case("close");
        (!closes && self.random.gen_bool(KEPT_SHARE)).then_some(caller)
    }

    fn note(&self, kind: RouteKind, key: SoakKey, id: String, sent: Instant, end: CallEnd) {
        let machine = self.machine.addrs.number;
        let call = CallRecord { id, kind, key, machine, sent, ended: Instant::now(), end };
        self.record.borrow_mut().calls.push(call);
    }
}
