//! The daemons under test, started with the command of the deploy file, and with settings as the
//! template of the deploy file lays them out.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use super::free_address;

pub struct Daemon {
    pub name: String,
    pub zone: String,
    /// Where it receives the packets of clients.
    pub clients: SocketAddrV4,
    /// Where it listens for other daemons.
    pub peers: SocketAddrV4,
    pub readiness: SocketAddrV4,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Daemon {
    /// Prepares a daemon. `port` is the port of `UdpListen`, which all machines of a day share.
    pub fn new(folder: &Path, name: &str, zone: &str, host: [u8; 4], port: u16) -> Daemon {
        let address = free_address(host);
        let readiness = free_address(host);
        Daemon {
            name: name.to_owned(),
            zone: zone.to_owned(),
            clients: SocketAddrV4::new(Ipv4Addr::from(host), port),
            peers: address,
            readiness,
            settings: folder.join(format!("{name}.toml")),
            log: folder.join(format!("{name}.log")),
            process: None,
        }
    }

    /// Writes the settings file. `bound_ms` is `DrainMs` and `ConfigApplyMs`.
    pub fn write_settings(&self, seeds: &[SocketAddrV4], store: SocketAddrV4, bound_ms: u64) {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "[instance]\nname = \"{}\"\nzone = \"{}\"\n\n[listen]\nclients = \"{}\"\n\
             readiness = \"{}\"\npeers = \"{}\"\n\n[peers]\nseeds = [{}]\n\n\
             [store]\naddress = \"{store}\"\n\n[decisions]\ndrain_bound = \"{bound_ms}ms\"\n\
             config_bound = \"{bound_ms}ms\"\n",
            self.name,
            self.zone,
            self.clients,
            self.readiness,
            self.peers,
            seeds.join(","),
        );
        std::fs::write(&self.settings, text).expect("cannot write the settings");
    }

    /// Starts the process. Its log goes on in the same file.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("log");
        let process = Command::new("target/release/lovagespindled")
            .arg("--dsr")
            .env("LOVAGESPINDLE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("cannot start the daemon");
        self.process = Some(process);
    }

    pub fn pid(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Returns whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.process
            .as_mut()
            .is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }

    /// Returns the resident memory of the process in bytes.
    pub fn memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1024)
    }

    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns whether the daemon answers the routers' check with 200.
    pub fn is_ready(&self) -> bool {
        use std::io::{Read, Write};
        use std::net::TcpStream;
        use std::time::Duration;
        let limit = Duration::from_millis(300);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.readiness.into(), limit) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(limit));
        let request = "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut head = [0; 12];
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_exact(&mut head).is_ok()
            && head.ends_with(b"200")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
