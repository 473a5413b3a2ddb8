//! A link in front of a machine: a proxy that passes bytes on at a limited rate, and whose open connections can go
//! silent for good while new ones work.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

/// The bytes that are passed on at a time.
const PIECE_BYTES: usize = 2048;
/// The pause of a silent connection between two looks at whether the run is over.
const SILENT_PAUSE: Duration = Duration::from_millis(200);

/// A link.
pub struct Link {
    inner: SocketAddr,
    /// The pause after each piece; it sets the rate.
    pause: Duration,
    /// For each open connection, whether it is silent.
    open: Mutex<Vec<Arc<AtomicBool>>>,
}

impl Link {
    /// Listens at `outer` and passes connections on to `inner`, at `pause` for each 2 KiB.
    pub fn start(outer: SocketAddr, inner: SocketAddr, pause: Duration) -> std::io::Result<Arc<Link>> {
        let listener = TcpListener::bind(outer)?;
        let link = Arc::new(Link { inner, pause, open: Mutex::default() });
        let served = Arc::clone(&link);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = Arc::clone(&served);
                thread::spawn(move || link.pass_on(stream));
            }
        });
        Ok(link)
    }

    /// Lets all connections that are open now go silent for good. Returns their number.
    pub fn silence(&self) -> usize {
        let open = std::mem::take(&mut *self.open.lock().unwrap());
        open.iter().for_each(|is_silent| is_silent.store(true, Ordering::SeqCst));
        open.len()
    }

    fn pass_on(&self, outer: TcpStream) {
        let Ok(inner) = TcpStream::connect(self.inner) else { return };
        let is_silent = Arc::new(AtomicBool::new(false));
        self.open.lock().unwrap().push(Arc::clone(&is_silent));
        let pairs = [(outer.try_clone(), inner.try_clone()), (Ok(inner), Ok(outer))];
        for (from, to) in pairs {
            let (Ok(from), Ok(to)) = (from, to) else { return };
            let (is_silent, pause) = (Arc::clone(&is_silent), self.pause);
            thread::spawn(move || pump(from, to, &is_silent, pause));
        }
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, is_silent: &AtomicBool, pause: Duration) {
    let _ = to.set_nodelay(true);
    let mut piece = [0; PIECE_BYTES];
    loop {
        let count = from.read(&mut piece).unwrap_or(0);
        while is_silent.load(Ordering::SeqCst) {
            // Neither bytes nor the end of the connection get through.
            sleep(SILENT_PAUSE);
        }
        if count == 0 {
            let _ = to.shutdown(std::net::Shutdown::Write);
            return;
        }
        if to.write_all(&piece[..count]).is_err() {
            let _ = from.shutdown(std::net::Shutdown::Both);
            return;
        }
        sleep(pause);
    }
}
