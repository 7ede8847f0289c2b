//! A machine's link to the store: a proxy with a bandwidth, which can be down.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that pass at a time.
const CHUNK: usize = 2_500;

struct State {
    down: bool,
    /// When the link has sent what was given to it.
    free_at: Instant,
    open: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Link {
    pub address: SocketAddrV4,
    store: SocketAddrV4,
    bytes_per_second: f64,
    state: Arc<Mutex<State>>,
}

impl Link {
    /// Starts a link to `store` that passes `megabits` a second to the machine.
    pub fn start(host: [u8; 4], store: SocketAddrV4, megabits: f64) -> Link {
        let listener = TcpListener::bind((std::net::Ipv4Addr::from(host), 0)).expect("link");
        let port = listener.local_addr().expect("link").port();
        let link = Link {
            address: SocketAddrV4::new(host.into(), port),
            store,
            bytes_per_second: megabits * 1e6 / 8.0,
            state: Arc::new(Mutex::new(State {
                down: false,
                free_at: Instant::now(),
                open: Vec::new(),
            })),
        };
        let served = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = served.clone();
                thread::spawn(move || link.serve(stream));
            }
        });
        link
    }

    /// Takes the store away from this machine, with resets, or gives it back.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state.lock().unwrap();
        state.down = down;
        if down {
            for stream in state.open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn serve(&self, machine: TcpStream) {
        let Ok(store) = TcpStream::connect(self.store) else {
            return;
        };
        {
            let mut state = self.state.lock().unwrap();
            if state.down {
                return;
            }
            for stream in [&machine, &store] {
                let _ = stream.set_nodelay(true);
                state.open.extend(stream.try_clone());
            }
        }
        let (Ok(from), Ok(to)) = (machine.try_clone(), store.try_clone()) else {
            return;
        };
        thread::spawn(move || pass(from, to, |_| {}));
        pass(store, machine, |length| self.wait(length));
    }

    /// Waits until the link has sent `length` more bytes.
    fn wait(&self, length: usize) {
        let until = {
            let mut state = self.state.lock().unwrap();
            let time = Duration::from_secs_f64(length as f64 / self.bytes_per_second);
            state.free_at = state.free_at.max(Instant::now()) + time;
            state.free_at
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, wait: impl Fn(usize)) {
    let mut bytes = [0; CHUNK];
    while let Ok(length) = from.read(&mut bytes) {
        wait(length);
        if length == 0 || to.write_all(&bytes[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
