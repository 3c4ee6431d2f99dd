package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
)

// EphemeralKeys gives the TLS settings of an instance whose settings carry no
// certificates: a key that is made at start and ends with the process. The link is
// encrypted; who is at its other end is taken on trust, as everybody is who can
// reach the store, which asks for no proof either.
func EphemeralKeys() (server, client *tls.Config, err error) {
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
