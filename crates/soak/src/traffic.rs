//! Callers: each sends requests sequentially to the node of its machine and records the results.

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
use crate::target_status::ResponderStatus;
use crate::tenancy::SoakKey;

/// The deadline that a caller sends with a request.
pub const DEADLINE: Duration = Duration::from_secs(3);
/// How much longer than the deadline a caller waits for a response.
const RESPONSE_ALLOWANCE: Duration = Duration::from_secs(1);
/// The pause of a caller whose machine accepts no callers or refused the connection.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(50);
/// The range of pauses between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..60;
/// The probability that a request crashes the target that runs it.
const CRASHING_PROBABILITY: f64 = 0.01;
/// The probability that a connection is reused after a response.
const REUSE_PROBABILITY: f64 = 0.9;

/// A caller of one machine.
pub struct SoakCaller {
    /// The machine.
    pub machine: Rc<SoakMachine>,
    /// Its number on that machine.
    pub number: usize,
    /// The record to which it adds its calls.
    pub record: Rc<RefCell<SoakRecord>>,
    /// Whether it keeps using an open connection while its machine accepts no callers because its process is stopping.
    pub reuses_while_draining: bool,
    /// The deadline that it sends with a request.
    pub deadline: Duration,
    /// Whether some of its requests crash targets.
    pub crashes_targets: bool,
    /// Its random number generator.
    pub random: Pcg64,
}

impl SoakCaller {
    /// Sends requests until `end`.
    pub async fn call_until(mut self, end: Instant) {
        let mut connection: Option<Caller> = None;
        for count in 0_u64.. {
            if Instant::now() >= end {
                return;
            }
            let has_connection = self.reuses_while_draining && connection.is_some();
            if !self.machine.accepts_callers.get() && !has_connection {
                connection = None;
                sleep(UNAVAILABLE_PAUSE).await;
                continue;
            }
            let kind = self.draw_kind();
            let key = SoakKey::draw(&mut self.random, self.record.borrow().configs.len());
            let id = format!("soak-{}-{}-{count}", self.machine.addrs.number, self.number);
            connection = self.call(kind, key, id, connection).await;
            sleep(Duration::from_millis(self.random.gen_range(PAUSE_MS))).await;
        }
    }

    fn draw_kind(&mut self) -> RouteKind {
        if self.random.gen_bool(CRASHING_PROBABILITY) && self.crashes_targets {
            return RouteKind::Crashing;
        }
        RouteKind::NON_CRASHING[self.random.gen_range(0..RouteKind::NON_CRASHING.len())]
    }

    /// Sends one request; returns the connection if it can be reused.
    async fn call(&mut self, kind: RouteKind, key: SoakKey, id: String, connection: Option<Caller>) -> Option<Caller> {
        let addrs = self.machine.addrs;
        let connected = match connection {
            Some(caller) => Some(caller),
            None => Caller::connect_from(addrs.public.into(), addrs.outbound()).await,
        };
        let Some(mut caller) = connected else {
            self.record_call(kind, key, id, Instant::now(), CallEnd::Unreached, ResponderStatus::default());
            sleep(UNAVAILABLE_PAUSE).await;
            return None;
        };
        let deadline = self.deadline.as_millis() as u64;
        let text = request(kind.method(), HOST, kind.path(), &id, deadline, kind.body());
        // The caller also sends a forged tenant name, which the node must not forward.
        let headers = format!("\r\nX-Api-Key: {}\r\nQuillhatch-Tenant: forged\r\n\r\n", key.text());
        caller.send(&text.replacen("\r\n\r\n", &headers, 1)).await;
        let sent = Instant::now();
        let Some(response) = caller.next_response_within(self.deadline + RESPONSE_ALLOWANCE).await else {
            let end = if sent.elapsed() >= self.deadline + RESPONSE_ALLOWANCE { CallEnd::Silent } else { CallEnd::Cut };
            self.record_call(kind, key, id, sent, end, ResponderStatus::default());
            return None;
        };
        let end = CallEnd::Answered {
            status: response.status,
            is_own: response.is_own(&id),
            is_signed: response.is_signed(),
        };
        self.record_call(kind, key, id, sent, end, ResponderStatus::read(&response));
        let closes = response.header("connection").eq_ignore_ascii_case("close");
        (!closes && self.random.gen_bool(REUSE_PROBABILITY)).then_some(caller)
    }

    fn record_call(
        &self,
        kind: RouteKind,
        key: SoakKey,
        id: String,
        sent: Instant,
        end: CallEnd,
        responder: ResponderStatus,
    ) {
        let machine = self.machine.addrs.number;
        let deadline = self.deadline;
        let call = CallRecord { id, kind, key, machine, sent, ended: Instant::now(), deadline, end, responder };
        self.record.borrow_mut().calls.push(call);
    }
}
