//! Messages between instances over quinn, with certificates from settings.
