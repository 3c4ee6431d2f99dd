package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// certLife is the validity of certificates issued here, which are for tests and the demo.
const certLife = 30 * 24 * time.Hour

// Authority is a certificate authority for instances, for tests and the demo. Operators use their
// own.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority in memory.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	tmpl := template("amv test authority")
	tmpl.IsCA, tmpl.BasicConstraintsValid = true, true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, Error.Wrap(err)
}

func template(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certLife),
	}
}

// Issue returns a new certificate for an instance.
func (ath *Authority) Issue() (*tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	tmpl := template(serverName)
	tmpl.DNSNames = []string{serverName}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, ath.cert, &key.PublicKey, ath.key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// Pool returns the authority as a pool of trusted roots.
func (ath *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(ath.cert)
	return pool
}

// WriteFiles writes ca.pem, cert.pem and key.pem into a folder.
func (ath *Authority) WriteFiles(dir string) error {
	pair, err := ath.Issue()
	if err != nil {
		return err
	}
	key, err := x509.MarshalECPrivateKey(pair.PrivateKey.(*ecdsa.PrivateKey))
	if err != nil {
		return Error.Wrap(err)
	}
	blocks := map[string]*pem.Block{
		"ca.pem":   {Type: "CERTIFICATE", Bytes: ath.cert.Raw},
		"cert.pem": {Type: "CERTIFICATE", Bytes: pair.Certificate[0]},
		"key.pem":  {Type: "EC PRIVATE KEY", Bytes: key},
	}
	for name, blk := range blocks {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(blk), 0o600); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}
