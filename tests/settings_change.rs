//! Test of changing the settings file while an instance runs.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use fescuewell::standin::rows::Rows;
use fescuewell::standin::sample;
use fescuewell::standin::worker::wait_until;

/// Returns a loopback address that only this test process uses, since every instance has the same metrics port.
fn process_address() -> IpAddr {
    let process = std::process::id();
    IpAddr::from([
        127,
        77,
        (process / 250 % 250) as u8 + 1,
        (process % 250) as u8 + 1,
    ])
}

/// Returns a free address.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((process_address(), 0)).unwrap();
    listener.local_addr().unwrap()
}

fn start_store() -> Rows {
    Rows::start(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap()
}

/// Entry instance in its own process, which is killed on drop.
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
        let (front, ready) = (free_address(), free_address());
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
        let response = attohttpc::get(path).send();
        response.is_ok_and(|response| response.is_success())
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Errors are ignored: the process may have exited already.
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

/// Guards against an instance that keeps calling a former address of the store. It did so when the settings file was
/// rewritten without a signal, because the file was read only at startup and on SIGHUP.
#[test]
fn a_store_that_moved_is_found_without_a_signal() {
    let (old, new) = (start_store(), start_store());
    new.put(
        "op",
        "",
        "config",
        sample::configuration(1, 1_000).to_string().as_bytes(),
    );
    let instance = Instance::start(old.address());
    let called_old_store = wait_until(|| old.calls("/-/rows-get") > 0);

    write(
        &instance.settings,
        instance.front,
        instance.ready,
        new.address(),
    );

    assert!(called_old_store);
    assert!(wait_until(|| instance.is_ready()));
}
