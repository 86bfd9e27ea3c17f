package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

// newCertificate returns a self-signed certificate for the DNS name.
func newCertificate(t *testing.T, name string) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		DNSNames:              []string{name},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// startTLSProxy forwards TLS connections to a destination without TLS until the test ends, and returns its own address.
func startTLSProxy(t *testing.T, certificate tls.Certificate, destination string) (address string) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{certificate}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", destination)
			if err != nil {
				return
			}
			go forward(server, client)
			go forward(client, server)
		}
	}()
	return listener.Addr().String()
}

// forward copies from source to destination and then closes the destination.
func forward(destination io.WriteCloser, source io.Reader) {
	_, _ = io.Copy(destination, source)
	destination.Close()
}

const tlsOperatorFileFormat = `<thymechute xmlns="urn:thymechute:operator:1"><amqp><broker address="%s"/><login file="%s"/>` +
	`<tls ca="%s" name="%s"/><queue name="readings" dead-letter="given-up"/></amqp></thymechute>`

// The program connects to a broker over TLS with configured credentials, and rejects a certificate for another name.
func TestBrokerBehindTLS(t *testing.T) {
	e := startAMQP(t, amqpOptions{}) // connects without TLS first
	e.Program.Terminate()
	e.Program.AwaitExit()
	certificate := newCertificate(t, "broker")
	address := startTLSProxy(t, certificate, e.brokerAddress)
	folder := t.TempDir()
	writeFile := func(name string, text []byte) (path string) {
		path = filepath.Join(folder, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	ca := writeFile("ca.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate.Certificate[0]}))
	login := writeFile("login", []byte("reader:a very secret word\n"))
	startWithName := func(name string) {
		e.operatorFile = writeFile("tls.xml", fmt.Appendf(nil, tlsOperatorFileFormat, address, login, ca, name))
		e.startProgram("old", 1000)
	}
	startWithName("another")
	testutil.Eventually(t, "the certificate is rejected", func() bool {
		return strings.Contains(e.Program.Log(), "not another")
	})
	if strings.Contains(e.Program.Log(), "secret") {
		t.Error("the log contains a credential")
	}
	e.Program.Terminate()
	e.Program.AwaitExit()
	startWithName("broker")
	e.publish("trace", "", "a")
	e.Runtime.SendEnd(1, e.expectStart("a"), "good", "")
	e.expectAllSettled()
}
