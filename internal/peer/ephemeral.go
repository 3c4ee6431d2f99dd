package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
)

// EphemeralTLS returns the TLS configuration of an instance without configured certificates, with
// a key that is generated at start and lasts as long as the process. The link is encrypted, but
// peers are not authenticated; the store does not authenticate those who can reach it either.
func EphemeralTLS() (server, client *tls.Config, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	tmpl := template(serverName)
	tmpl.DNSNames = []string{serverName}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	pair := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	server = &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, Certificates: []tls.Certificate{pair},
		ClientAuth: tls.RequireAnyClientCert,
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, ServerName: serverName,
		Certificates: []tls.Certificate{pair}, InsecureSkipVerify: true,
	}
	return server, client, nil
}
