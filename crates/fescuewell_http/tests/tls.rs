//! Tests of a TLS listener.

mod common;

use std::io::{Read, Write};
use std::sync::Arc;

use common::*;
use fescuewell_http::listener::{Error, Listener, Tls};
use rustls::pki_types::{CertificateDer, ServerName};

fn certificate() -> (Tls, CertificateDer<'static>) {
    let generated = rcgen::generate_simple_self_signed(vec!["router.test".to_owned()]).unwrap();
    let tls = Tls {
        certificate: generated.cert.pem().into_bytes().into(),
        key: generated.signing_key.serialize_pem().into_bytes().into(),
    };
    (tls, generated.cert.der().clone())
}

/// Sends a request over TLS and returns the response.
fn exchange(listener: &Listener, certificate: CertificateDer<'static>) -> String {
    let mut roots = rustls::RootCertStore::empty();
    roots.add(certificate).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = ServerName::try_from("router.test").unwrap();
    let session = rustls::ClientConnection::new(Arc::new(config), name).unwrap();
    let mut stream = rustls::StreamOwned::new(session, connect(listener.address()));

    let request = post("/", "over tls").replace("Host: here", "Host: here\r\nConnection: close");
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    response
}

#[test]
fn answers_over_tls() {
    let (tls, certificate) = certificate();
    let listener = listen(local().with_tls(tls), echo());

    let response = exchange(&listener, certificate);

    assert!(response.ends_with("over tls"), "{response:?}");
}

/// Guards against handshakes that stop half-way and take the connections of others until their timeout.
#[test]
fn an_unfinished_handshake_makes_room_at_the_connection_limit() {
    let (tls, certificate) = certificate();
    let mut settings = local().with_tls(tls).with_max_connections(1);
    settings.min_unused_time = std::time::Duration::ZERO;
    settings.header_timeout = 10 * TEST_TIMEOUT;
    let listener = listen(settings, echo());
    let mut unfinished = connect(listener.address());
    unfinished.write_all(&[0x16, 3, 1]).unwrap();
    eventually("open", || listener.open_connections() == 1);

    let response = exchange(&listener, certificate);

    assert!(response.ends_with("over tls"), "{response:?}");
    let end = unfinished.read(&mut [0]);
    assert!(matches!(end, Ok(0)), "{end:?}");
}

#[test]
fn a_caller_that_never_shakes_hands_is_closed() {
    // Guards against TLS handshakes that never complete and hold connections forever, because the timeout starts
    // only after the handshake.
    let mut settings = local().with_tls(certificate().0);
    settings.header_timeout = std::time::Duration::from_millis(50);
    let listener = listen(settings, echo());

    // The start of a TLS record that is never completed.
    assert_eq!(send_raw(listener.address(), &[0x16, 3, 1]), "");

    eventually("closed", || listener.open_connections() == 0);
}

#[test]
fn a_certificate_that_cannot_be_used_is_told() {
    let mut tls = certificate().0;
    tls.key = b"no key"[..].into();
    let refused = Listener::start(local().with_tls(tls), echo());
    assert!(matches!(refused, Err(Error::Certificate { .. })));
}
