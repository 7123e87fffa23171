//! A settings file that changes while an instance runs.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use fescuewell::standin::rows::Rows;
use fescuewell::standin::sample;
use fescuewell::standin::worker::wait_until;

/// An address of this test process alone: the metrics port is the same for every instance.
fn own_address() -> IpAddr {
    let process = std::process::id();
    IpAddr::from([
        127,
        77,
        (process / 250 % 250) as u8 + 1,
        (process % 250) as u8 + 1,
    ])
}

fn free() -> SocketAddr {
    let probe = TcpListener::bind((own_address(), 0)).unwrap();
    probe.local_addr().unwrap()
}

fn store() -> Rows {
    Rows::start(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap()
}

/// An instance as a process of its own; killed when it is dropped.
struct Instance {
    child: Child,
    settings: PathBuf,
    front: SocketAddr,
    ready: SocketAddr,
}

impl Instance {
    fn start(store: SocketAddr) -> Self {
        let name = format!("fescuewell-change-{}.conf", std::process::id());
        let settings = std::env::temp_dir().join(name);
        let (front, ready) = (free(), free());
        write(&settings, front, ready, store);
        let child = Command::new(env!("CARGO_BIN_EXE_fescuewell"))
            .args(["entry", "--settings"])
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            child,
            settings,
            front,
            ready,
        }
    }

    fn is_ready(&self) -> bool {
        let path = format!("http://{}/-/readyz", self.ready);
        let answer = attohttpc::get(path).send();
        answer.is_ok_and(|answer| answer.is_success())
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // It may have ended already; nothing else is left to do.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn write(path: &PathBuf, front: SocketAddr, ready: SocketAddr, store: SocketAddr) {
    let text = format!(
        "node=entry-1\nzone=a\nlisten.front={front}\nlisten.ready={ready}\nplatform.address={store}\n"
    );
    std::fs::write(path, text).unwrap();
}

/// Symptom: an instance went on asking an address at which no store was any more. Sequence: the store moves, the settings file
/// is written anew, and no signal tells of it. Cause: the file was read at the start and at SIGHUP only.
#[test]
fn a_store_that_moved_is_found_without_a_signal() {
    let (old, new) = (store(), store());
    new.put(
        "op",
        "",
        "config",
        sample::configuration(1, 1_000).to_string().as_bytes(),
    );
    let instance = Instance::start(old.address());
    let asks_the_old_one = wait_until(|| old.calls("/-/rows-get") > 0);

    write(
        &instance.settings,
        instance.front,
        instance.ready,
        new.address(),
    );

    assert!(asks_the_old_one);
    assert!(wait_until(|| instance.is_ready()));
}
