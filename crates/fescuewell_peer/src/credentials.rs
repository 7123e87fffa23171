//! Certificates and keys: loading them from settings, and identifying a peer by its certificate.

mod authority;

use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::WebPkiClientVerifier;
use rustls::server::danger::ClientCertVerifier;
use rustls::{RootCertStore, version};
use snafu::{ResultExt, Snafu};

use crate::frame::FRAME_LIMIT;
use crate::settings::{Limits, Settings, millis};

pub use authority::{Authority, CertifiedKey};

/// ALPN protocol name, so that a connection to another QUIC service fails in the handshake.
const ALPN_PROTOCOL: &[u8] = b"fescuewell/1";
/// Prefix of PEM text. A setting without it is the path of a PEM file.
const PEM_PREFIX: &str = "-----BEGIN";
/// Initial estimate of the round-trip time. Between instances it is a few milliseconds.
const INITIAL_RTT: Duration = Duration::from_millis(100);
/// Flow control window of one connection, in bytes, in each direction.
const CONNECTION_WINDOW_BYTES: u32 = 4 * FRAME_LIMIT as u32;

/// Why credentials cannot be used. No error message contains a key.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file could not be read.
    #[snafu(display("setting {setting}: the file {file:?} could not be read"))]
    File {
        /// The setting that contains the path.
        setting: &'static str,
        /// The file's path.
        file: Arc<str>,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The text contains no PEM block of the expected kind.
    #[snafu(display("setting {setting}: no usable PEM block was found"))]
    Pem {
        /// Name of the setting.
        setting: &'static str,
    },
    /// The certificate has no DNS name, several, or one that is not a valid instance name.
    #[snafu(display("setting certificate: it must have exactly one DNS name, the instance's"))]
    Name,
    /// The TLS library rejected the credentials, for example because key and certificate do not match.
    #[snafu(display("setting {setting}: {reason}"))]
    Unusable {
        /// Name of the setting.
        setting: &'static str,
        /// The TLS library's error.
        reason: Arc<str>,
    },
}

/// Loaded and validated credentials, as QUIC server and client configurations.
pub(crate) struct Identity {
    pub instance: Arc<str>,
    pub server: quinn::ServerConfig,
    pub client: quinn::ClientConfig,
    verifier: Arc<dyn ClientCertVerifier>,
}

impl Identity {
    pub(crate) fn load(settings: &Settings) -> Result<Self, Error> {
        let chain = read_certificates("certificate", &settings.certificate)?;
        let key = read_key(&settings.key)?;
        let roots = read_roots(&settings.authority)?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());

        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .map_err(|error| unusable("authority", &error))?;
        let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&version::TLS13])
            .map_err(|error| unusable("certificate", &error))?
            .with_client_cert_verifier(verifier.clone())
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(|error| unusable("key", &error))?;
        server.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        // A resumed session skips certificate verification. After a reload that removes an authority,
        // instances with its certificates could still connect, so session resumption is disabled.
        server.send_tls13_tickets = 0;

        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&version::TLS13])
            .map_err(|error| unusable("certificate", &error))?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain.clone(), key)
            .map_err(|error| unusable("key", &error))?;
        client.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        client.resumption = rustls::client::Resumption::disabled();

        Ok(Self {
            instance: instance_name(&chain).ok_or(Error::Name)?,
            server: server_config(server, &settings.limits)?,
            client: client_config(client, &settings.limits)?,
            verifier,
        })
    }

    /// Returns whether these credentials accept a peer's certificate chain.
    pub(crate) fn accepts(&self, chain: &[CertificateDer<'_>]) -> bool {
        let Some((end_entity, intermediates)) = chain.split_first() else {
            return false;
        };
        let verified = self
            .verifier
            .verify_client_cert(end_entity, intermediates, UnixTime::now());
        verified.is_ok()
    }
}

fn server_config(tls: rustls::ServerConfig, limits: &Limits) -> Result<quinn::ServerConfig, Error> {
    let crypto =
        QuicServerConfig::try_from(tls).map_err(|error| unusable("certificate", &error))?;
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    let mut transport = transport_config(limits);
    transport.max_concurrent_uni_streams(limits.max_streams.into());
    config.transport_config(Arc::new(transport));
    config.max_incoming(limits.max_incoming as usize);
    // Peers have fixed addresses, so a legitimate connection never migrates.
    config.migration(false);
    Ok(config)
}

fn client_config(tls: rustls::ClientConfig, limits: &Limits) -> Result<quinn::ClientConfig, Error> {
    let crypto =
        QuicClientConfig::try_from(tls).map_err(|error| unusable("certificate", &error))?;
    let mut config = quinn::ClientConfig::new(Arc::new(crypto));
    let mut transport = transport_config(limits);
    transport.max_concurrent_uni_streams(0u32.into());
    transport.keep_alive_interval(Some(millis(limits.keep_alive_ms)));
    config.transport_config(Arc::new(transport));
    Ok(config)
}

fn transport_config(limits: &Limits) -> quinn::TransportConfig {
    let mut config = quinn::TransportConfig::default();
    config.max_idle_timeout(Some(quinn::VarInt::from_u32(limits.idle_ms).into()));
    config.max_concurrent_bidi_streams(0u32.into());
    config.datagram_receive_buffer_size(None);
    config.stream_receive_window((FRAME_LIMIT as u32).into());
    config.receive_window(CONNECTION_WINDOW_BYTES.into());
    config.send_window(CONNECTION_WINDOW_BYTES.into());
    // Messages are small: MTU discovery costs a new connection more bytes than its messages.
    config.mtu_discovery_config(None);
    config.initial_rtt(INITIAL_RTT);
    config
}

/// Returns the certificate chain that the peer presented in the handshake.
pub(crate) fn peer_chain(connection: &quinn::Connection) -> Vec<CertificateDer<'static>> {
    let identity = connection.peer_identity();
    let chain = identity.and_then(|identity| identity.downcast::<Vec<CertificateDer>>().ok());
    chain.map(|chain| *chain).unwrap_or_default()
}

/// Returns the name of the instance that a verified chain identifies.
///
/// Returns `None` for a certificate without a name, and for one with several names, which could
/// impersonate several instances.
pub(crate) fn instance_name(chain: &[CertificateDer<'_>]) -> Option<Arc<str>> {
    let certificate = webpki::EndEntityCert::try_from(chain.first()?).ok()?;
    let mut names = certificate.valid_dns_names();
    let name = names.next()?;
    if names.next().is_some() {
        return None;
    }
    let reference = ServerName::try_from(name).ok()?;
    let verified = certificate.verify_is_valid_for_subject_name(&reference);
    verified.is_ok().then(|| name.into())
}

fn read_text(setting: &'static str, value: &Arc<str>) -> Result<String, Error> {
    if value.trim_start().starts_with(PEM_PREFIX) {
        return Ok(value.to_string());
    }
    let file = value.clone();
    std::fs::read_to_string(&**value).context(FileSnafu { setting, file })
}

fn read_certificates(
    setting: &'static str,
    value: &Arc<str>,
) -> Result<Vec<CertificateDer<'static>>, Error> {
    let text = read_text(setting, value)?;
    let blocks: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text.as_bytes()).collect();
    match blocks {
        Ok(blocks) if !blocks.is_empty() => Ok(blocks),
        _ => Err(Error::Pem { setting }),
    }
}

fn read_key(value: &Arc<str>) -> Result<PrivateKeyDer<'static>, Error> {
    let setting = "key";
    let text = read_text(setting, value)?;
    PrivateKeyDer::from_pem_slice(text.as_bytes()).map_err(|_| Error::Pem { setting })
}

fn read_roots(value: &Arc<str>) -> Result<Arc<RootCertStore>, Error> {
    let setting = "authority";
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(setting, value)? {
        let added = roots.add(certificate);
        added.map_err(|error| unusable(setting, &error))?;
    }
    Ok(Arc::new(roots))
}

fn unusable<Source>(setting: &'static str, error: &Source) -> Error
where
    Source: std::fmt::Display,
{
    let reason = error.to_string().into();
    Error::Unusable { setting, reason }
}
