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

// The broker behind TLS, with a login of its own; a certificate of another name is rejected.
func TestBrokerBehindTLS(t *testing.T) {
	e := startAMQP(t, amqpOptions{}) // its plain connection goes first
	e.Program.Terminate()
	e.Program.AwaitExit()
	folder := t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	form := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{"broker"}, NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	raw, err := x509.CreateCertificate(rand.Reader, form, form, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	front, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: key}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { front.Close() })
	go func() {
		for {
			c, err := front.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", e.brokerAddress)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(to, c); to.Close() }()
			go func() { _, _ = io.Copy(c, to); c.Close() }()
		}
	}()
	put := func(name string, text []byte) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	ca := put("ca.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}))
	login := put("login", []byte("reader:a very secret word\n"))
	for _, name := range []string{"another", "broker"} {
		e.operatorFile = put("tls.xml", fmt.Appendf(nil, `<thymechute xmlns="urn:thymechute:operator:1"><amqp><broker address="%s"/><login file="%s"/>`+
			`<tls ca="%s" name="%s"/><queue name="readings" dead-letter="given-up"/></amqp></thymechute>`, front.Addr(), login, ca, name))
		e.startProgram("old", 1000)
		if name == "another" {
			testutil.Eventually(t, "the certificate is rejected", func() bool { return strings.Contains(e.Program.Log(), "not another") })
			if strings.Contains(e.Program.Log(), "secret") {
				t.Error("the log contains a credential")
			}
			e.Program.Terminate()
			e.Program.AwaitExit()
		}
	}
	e.publish("trace", "", "a")
	e.Runtime.SendEnd(1, e.expectStart("a"), "good", "")
	e.expectAllSettled()
}
