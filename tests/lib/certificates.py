"""Create TLS certificates for tests."""

from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from gooseberrydeal._internal.models.settings import TlsSettings


class CertificateAuthority:
    """Act as a certificate authority that stores its files in ``folder``."""

    def __init__(self, folder: Path, name: str) -> None:
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = _name(name)
        self.certificate = _sign(self.name, self.name, self.key, self.key, is_ca=True)
        self.path = folder / f"{name}.pem"
        self.path.write_bytes(self.certificate.public_bytes(_PEM))

    def identity(self, name: str) -> TlsSettings:
        """Issue a certificate for ``name`` and return TLS settings that use it."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = _sign(_name(name), self.name, key, self.key, is_ca=False)
        certificate_path = self.folder / f"{name}.crt"
        key_path = self.folder / f"{name}.key"
        certificate_path.write_bytes(certificate.public_bytes(_PEM))
        key_path.write_bytes(
            key.private_bytes(
                _PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return TlsSettings(
            certificate=certificate_path, key=key_path, authority=self.path
        )


_PEM = serialization.Encoding.PEM


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _sign(
    subject: x509.Name,
    issuer: x509.Name,
    key: ec.EllipticCurvePrivateKey,
    signing_key: ec.EllipticCurvePrivateKey,
    *,
    is_ca: bool,
) -> x509.Certificate:
    now = datetime.now(UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=30))
        .add_extension(x509.BasicConstraints(ca=is_ca, path_length=None), critical=True)
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ip_address("127.0.0.1"))]),
            critical=False,
        )
        .sign(signing_key, hashes.SHA256())
    )
