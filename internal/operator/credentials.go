package operator

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"thymechute/internal/xsd"
)

const (
	maxCredentialsBytes = 4096
	defaultUsername     = "guest"
	defaultPassword     = "guest"
)

// loadCredentials reads the user name and password from the credentials file. Errors do not contain any of its content.
func (a *AMQP) loadCredentials() error {
	a.Username, a.Password = defaultUsername, defaultPassword
	c := a.Credentials
	if c.File == "" {
		return nil
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return &xsd.ValidationError{Line: c.Line, Element: "login", Found: err.Error(), Expected: "a readable file"}
	}
	username, password, hasSeparator := strings.Cut(strings.TrimRight(string(text), "\r\n"), ":")
	if !hasSeparator || username == "" || len(text) > maxCredentialsBytes || strings.ContainsAny(username+password, "\r\n\x00") {
		return &xsd.ValidationError{Line: c.Line, Element: "login", Found: "a different format in " + c.File, Expected: "one line, user:password"}
	}
	a.Username, a.Password = username, password
	return nil
}

// loadTLS reads the certificates and the key if the settings have the element tls.
func (a *AMQP) loadTLS() error {
	t := a.TLS
	if t == nil {
		return nil
	}
	text, err := os.ReadFile(t.CAFile)
	if err != nil {
		return t.invalid(err.Error(), "a readable file")
	}
	a.TLSConfig = &tls.Config{RootCAs: x509.NewCertPool(), ServerName: t.ServerName, MinVersion: tls.VersionTLS12}
	if !a.TLSConfig.RootCAs.AppendCertsFromPEM(text) {
		return t.invalid("no certificate in "+t.CAFile, "PEM-encoded certificates")
	}
	if (t.CertificateFile == "") != (t.KeyFile == "") {
		return t.invalid("only one of certificate and key", "both or neither")
	}
	if t.CertificateFile == "" {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return t.invalid(err.Error(), "a certificate and its key")
	}
	a.TLSConfig.Certificates = []tls.Certificate{pair}
	return nil
}

func (t *TLS) invalid(found, expected string) error {
	return &xsd.ValidationError{Line: t.Line, Element: "tls", Found: found, Expected: expected}
}
