// This file owns the credentials and certificates that the element amqp names. No error may name what stands in a login file.

package operator

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"thymechute/internal/xsd"
)

const mostLogin = 4096 // bytes of a login file

// read takes the credentials. No error names what stands in the file.
func (l *Login) read(a *AMQP) error {
	if a.User, a.Password = "guest", "guest"; l.File == "" {
		return nil
	}
	text, err := os.ReadFile(l.File)
	if err != nil {
		return &xsd.Fault{Line: l.Line, Element: "login", Found: err.Error(), Want: "a file that can be read"}
	}
	user, password, ok := strings.Cut(strings.TrimRight(string(text), "\r\n"), ":")
	if !ok || user == "" || len(text) > mostLogin || strings.ContainsAny(user+password, "\r\n\x00") {
		return &xsd.Fault{Line: l.Line, Element: "login", Found: "something else in " + l.File, Want: "one line, user:password"}
	}
	a.User, a.Password = user, password
	return nil
}

func (t *TLS) read(a *AMQP) error {
	if t == nil {
		return nil
	}
	fault := func(found, want string) error {
		return &xsd.Fault{Line: t.Line, Element: "tls", Found: found, Want: want}
	}
	text, err := os.ReadFile(t.CA)
	if err != nil {
		return fault(err.Error(), "a file that can be read")
	}
	a.Secure = &tls.Config{RootCAs: x509.NewCertPool(), ServerName: t.Name, MinVersion: tls.VersionTLS12}
	if !a.Secure.RootCAs.AppendCertsFromPEM(text) {
		return fault("no certificate in "+t.CA, "PEM")
	}
	if (t.Certificate == "") != (t.Key == "") {
		return fault("only one of certificate and key", "both or none")
	}
	if t.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
		if err != nil {
			return fault(err.Error(), "a certificate and its key")
		}
		a.Secure.Certificates = []tls.Certificate{pair}
	}
	return nil
}
