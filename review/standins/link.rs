//! A link in front of a machine: a proxy that passes bytes on at a rate that all its connections share, and whose open
//! connections can go silent for good while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The bytes that are passed on at a time.
const PIECE_BYTES: usize = 2048;
/// How long a silent connection sleeps at a time. It never passes anything on again.
const SILENT_PAUSE: Duration = Duration::from_millis(200);
/// The rate of a sound link, in bits per second.
pub const FULL_RATE: u64 = 1_000_000_000;

/// One direction of a link: when it is free for the next piece.
type Lane = Mutex<Instant>;

/// A link.
pub struct Link {
    inner: SocketAddr,
    bits_per_second: AtomicU64,
    inward: Lane,
    outward: Lane,
    /// For each open connection, whether it is silent.
    open: Mutex<Vec<Arc<AtomicBool>>>,
}

impl Link {
    /// Listens at `outer` and passes connections on to `inner`.
    pub fn start(outer: SocketAddr, inner: SocketAddr) -> std::io::Result<Arc<Link>> {
        let listener = TcpListener::bind(outer)?;
        let now = Instant::now();
        let link = Arc::new(Link {
            inner,
            bits_per_second: AtomicU64::new(FULL_RATE),
            inward: Mutex::new(now),
            outward: Mutex::new(now),
            open: Mutex::default(),
        });
        let served = Arc::clone(&link);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = Arc::clone(&served);
                thread::spawn(move || link.pass_on(stream));
            }
        });
        Ok(link)
    }

    /// Sets the rate in each direction, in bits per second.
    pub fn set_rate(&self, bits_per_second: u64) {
        self.bits_per_second.store(bits_per_second, Ordering::SeqCst);
    }

    /// Lets all connections that are open now go silent for good. Returns their number.
    pub fn silence(&self) -> usize {
        let open = std::mem::take(&mut *self.open.lock().unwrap());
        open.iter().for_each(|is_silent| is_silent.store(true, Ordering::SeqCst));
        open.len()
    }

    fn pass_on(self: Arc<Self>, outer: TcpStream) {
        let Ok(inner) = TcpStream::connect(self.inner) else { return };
        let (Ok(outer_reader), Ok(inner_reader)) = (outer.try_clone(), inner.try_clone()) else { return };
        let is_silent = Arc::new(AtomicBool::new(false));
        self.open.lock().unwrap().push(Arc::clone(&is_silent));
        let (link, silent) = (Arc::clone(&self), Arc::clone(&is_silent));
        thread::spawn(move || link.pump(outer_reader, inner, &link.inward, &silent));
        self.pump(inner_reader, outer, &self.outward, &is_silent);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, lane: &Lane, is_silent: &AtomicBool) {
        let _ = to.set_nodelay(true);
        let mut piece = [0; PIECE_BYTES];
        loop {
            let count = from.read(&mut piece).unwrap_or(0);
            self.wait_for(lane, count);
            while is_silent.load(Ordering::SeqCst) {
                // Neither bytes nor the end of the connection get through.
                sleep(SILENT_PAUSE);
            }
            if count == 0 {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if to.write_all(&piece[..count]).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Waits until the lane has carried `count` more bytes.
    fn wait_for(&self, lane: &Lane, count: usize) {
        let bits = count as f64 * 8.0;
        let time = Duration::from_secs_f64(bits / self.bits_per_second.load(Ordering::SeqCst) as f64);
        let free = {
            let mut free = lane.lock().unwrap();
            *free = (*free).max(Instant::now()) + time;
            *free
        };
        let left = free.saturating_duration_since(Instant::now());
        if !left.is_zero() {
            sleep(left);
        }
    }
}
