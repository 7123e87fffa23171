//! Certificates: reading them from settings, and what they say about a peer.

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

/// Names the protocol in the TLS handshake, so that another QUIC service is not mistaken for a peer.
const PROTOCOL: &[u8] = b"fescuewell/1";
/// How the text of a PEM file starts; anything else is a path.
const PEM_START: &str = "-----BEGIN";
/// First guess of the round-trip time. Instances are some milliseconds apart.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(100);
/// How much may be under way on one connection, in each direction.
const CONNECTION_WINDOW: u32 = 4 * FRAME_LIMIT as u32;

/// Why credentials cannot be used. No message quotes a key.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file could not be read.
    #[snafu(display("setting {setting}: the file {file:?} could not be read"))]
    File {
        /// Which setting names it.
        setting: &'static str,
        /// Its path.
        file: Arc<str>,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A text is not the PEM that it should be.
    #[snafu(display("setting {setting}: no usable PEM block was found"))]
    Pem {
        /// Which setting.
        setting: &'static str,
    },
    /// The certificate has no DNS name, or several, or one that cannot name an instance.
    #[snafu(display("setting certificate: it must have exactly one DNS name, the instance's"))]
    Name,
    /// The parts do not fit each other.
    #[snafu(display("setting {setting}: {reason}"))]
    Unusable {
        /// Which setting.
        setting: &'static str,
        /// What the TLS library said.
        reason: Arc<str>,
    },
}

/// Credentials that were read and checked, ready for use.
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
        server.alpn_protocols = vec![PROTOCOL.to_vec()];
        // A resumed session skips the certificates. After a reload that drops an authority, its
        // instances could go on as peers; every connection therefore shows its certificate.
        server.send_tls13_tickets = 0;

        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&version::TLS13])
            .map_err(|error| unusable("certificate", &error))?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain.clone(), key)
            .map_err(|error| unusable("key", &error))?;
        client.alpn_protocols = vec![PROTOCOL.to_vec()];
        client.resumption = rustls::client::Resumption::disabled();

        Ok(Self {
            instance: instance_name(&chain).ok_or(Error::Name)?,
            server: server_config(server, &settings.limits)?,
            client: client_config(client, &settings.limits)?,
            verifier,
        })
    }

    /// Whether a peer's certificates are still good by these credentials.
    pub(crate) fn accepts(&self, chain: &[CertificateDer<'_>]) -> bool {
        let Some((first, rest)) = chain.split_first() else {
            return false;
        };
        let verified = self
            .verifier
            .verify_client_cert(first, rest, UnixTime::now());
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
    // Peers connect by fixed addresses; a connection that moves is not one of theirs.
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
    config.receive_window(CONNECTION_WINDOW.into());
    config.send_window(CONNECTION_WINDOW.into());
    // Searching for larger packets costs a new connection more bytes than its messages, which are small.
    config.mtu_discovery_config(None);
    config.initial_rtt(INITIAL_ROUND_TRIP);
    config
}

/// The certificates with which the other end of a connection proved itself.
pub(crate) fn peer_chain(connection: &quinn::Connection) -> Vec<CertificateDer<'static>> {
    let identity = connection.peer_identity();
    let chain = identity.and_then(|identity| identity.downcast::<Vec<CertificateDer>>().ok());
    chain.map(|chain| *chain).unwrap_or_default()
}

/// The instance that a verified chain stands for.
///
/// A certificate with several names could pass for several instances, and one without a name for
/// none; neither is taken.
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
    if value.trim_start().starts_with(PEM_START) {
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
