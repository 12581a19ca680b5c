package local

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"shallotring.dev/coordination/registry"
	"shallotring.dev/daemon/operator"
	"shallotring.dev/protocol/wire"
	"shallotring.dev/transport/server"
	"shallotring.dev/transport/server/servertest"
	"shallotring.dev/transport/settings"
)

// tlsClient returns a client that verifies servers by the CA file and presents the certificate if one is set.
func tlsClient(t *testing.T, tls settings.TLS) *http.Client {
	t.Helper()
	dial, err := server.DialTLS(tls, (&net.Dialer{}).DialContext)
	if err != nil {
		t.Fatal(err)
	}
	tr := &http.Transport{DialTLSContext: dial}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: testTimeout}
}

// tlsDeployment is a deployment whose processes verify each other's certificates.
type tlsDeployment struct {
	*testing.T
	*Deployment
	ca  *servertest.Authority
	tls settings.TLS
	log *logBuffer
}

func newTLSDeployment(t *testing.T) *tlsDeployment {
	s := &tlsDeployment{T: t, ca: servertest.NewAuthority(t), log: &logBuffer{}}
	s.tls = s.ca.Keys("process")
	s.Deployment = startDeployment(t, WithLog(s.log, slog.LevelInfo), WithTLS(s.tls), WithTokenInterval(5*time.Millisecond))
	return s
}

func (s *tlsDeployment) post(c *http.Client, path, body, key string) *http.Response {
	s.Helper()
	q, err := http.NewRequest(http.MethodPost, "https://"+s.Address()+path, strings.NewReader(body))
	if err != nil {
		s.Fatal(err)
	}
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	a, err := c.Do(q)
	if err != nil {
		s.Fatal(err)
	}
	return a
}

func (s *tlsDeployment) expectOK(a *http.Response) {
	s.Helper()
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil || a.StatusCode != http.StatusOK {
		s.Errorf("status %d: %s, %v", a.StatusCode, text, err)
	}
}

// runOperator runs a command of the operator's command line with the given TLS files.
func (s *tlsDeployment) runOperator(tls settings.TLS, arguments ...string) (code int, out string) {
	var b bytes.Buffer
	arguments = append([]string{
		"--service", s.Platform().KeyValueURL(), "--ca-file", tls.CAFile, "--cert-file", tls.CertFile, "--key-file", tls.KeyFile,
	}, arguments...)
	code = operator.Run(context.Background(), arguments, operator.Streams{In: strings.NewReader(""), Out: &b, Err: &b})
	return code, b.String()
}

// TestDeploymentOverTLS guards against a call that fails over TLS, whether between the processes, to the key-value service or
// by the operator: requests, ledger, load permits, configuration, status and drain.
func TestDeploymentOverTLS(t *testing.T) {
	s := newTLSDeployment(t)
	public := tlsClient(t, settings.TLS{CAFile: s.ca.File})
	s.expectOK(s.post(public, "/v1/completions", `{"model":"adapter-01","prompt":"x","max_tokens":3}`, ""))
	s.expectOK(s.post(public, "/services/custody/orders", `{}`, "order-1"))
	s.expectOK(s.post(public, "/services/custody/orders", `{}`, "order-1"))
	if runs := s.Platform().Service.Journal(); len(runs) != 1 {
		t.Errorf("the non-repeatable request ran %d times", len(runs))
	}
	trusted := s.ca.Keys("operator")
	for _, c := range [][]string{{"get"}, {"status"}, {"drain", string(serviceEndpoint)}} {
		if code, out := s.runOperator(trusted, c...); code != operator.ExitSuccess {
			t.Errorf("%v: exit code %d: %s", c, code, out)
		}
	}
	untrusted := servertest.NewAuthority(t).Keys("operator")
	untrusted.CAFile = s.ca.File
	if code, out := s.runOperator(untrusted, "get"); code == operator.ExitSuccess {
		t.Errorf("an operator with a certificate of another CA was served: %s", out)
	}
	if text := s.log.String(); !strings.Contains(text, "load finished") || strings.Contains(text, "no load permits") {
		t.Error("no load finished, or an agent got no load permits from their holder")
	}
	for line := range strings.Lines(s.log.String()) {
		if !strings.HasPrefix(line, "{") {
			t.Errorf("a line of the log is not JSON: %s", line)
		}
	}
}

// TestPeersWithoutCertificateAreRefused guards against a process that serves a peer whose certificate is missing or from
// another CA, or a call without TLS.
func TestPeersWithoutCertificateAreRefused(t *testing.T) {
	s := newTLSDeployment(t)
	untrusted := servertest.NewAuthority(t).Keys("foreign")
	untrusted.CAFile = s.ca.File
	addresses := map[string]string{"entry": s.entry.PeerAddress()}
	for name, a := range s.agents {
		addresses[string(name)] = a.Address()
	}
	for name, address := range addresses {
		for kind, tls := range map[string]settings.TLS{"none": {CAFile: s.ca.File}, "of another CA": untrusted} {
			c := tlsClient(t, tls)
			var err error
			if name == "entry" {
				_, err = wire.NewEntryProtobufClient("https://"+address, c).InForce(t.Context(), &wire.InForceRequest{})
			} else {
				_, err = wire.NewAgentProtobufClient("https://"+address, c).Report(t.Context(), &wire.ReportRequest{})
			}
			if err == nil {
				t.Errorf("%s serves a peer (its certificate: %s)", name, kind)
			}
		}
		if _, err := wire.NewAgentProtobufClient("http://"+address, http.DefaultClient).Report(t.Context(), &wire.ReportRequest{}); err == nil {
			t.Errorf("%s serves a call without TLS", name)
		}
	}
	trusted := wire.NewEntryProtobufClient("https://"+s.entry.PeerAddress(), tlsClient(t, s.ca.Keys("peer")))
	if r, err := trusted.InForce(t.Context(), &wire.InForceRequest{}); err != nil || r.GetRole() != string(registry.RoleEntry) {
		t.Errorf("peer with a certificate of the CA: %v, %v", r, err)
	}
}

// TestCertificateRotationDuringStream guards against a replaced certificate that interrupts a running stream, or that new
// connections get only after a restart.
func TestCertificateRotationDuringStream(t *testing.T) {
	s := newTLSDeployment(t)
	c := tlsClient(t, settings.TLS{CAFile: s.ca.File})
	stream := s.post(c, "/v1/completions", `{"model":"adapter-03","prompt":"x","stream":true,"max_tokens":400}`, "")
	defer stream.Body.Close()
	if _, err := io.ReadFull(stream.Body, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	before := stream.TLS.PeerCertificates[0].SerialNumber
	s.ca.Keys("process")
	for i := range 4 {
		client := tlsClient(t, settings.TLS{CAFile: s.ca.File})
		a := s.post(client, "/v1/completions", fmt.Sprintf(`{"model":"adapter-%02d","prompt":"x","max_tokens":3}`, 4+i), "")
		if a.TLS.PeerCertificates[0].SerialNumber.Cmp(before) == 0 {
			t.Error("a new connection gets the old certificate")
		}
		s.expectOK(a)
	}
	rest, err := io.ReadAll(stream.Body)
	if err != nil || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") || stream.Trailer.Get("Shallotring-Outcome") != "completed" {
		t.Errorf("stream: %v, outcome %q, ends with %q", err, stream.Trailer.Get("Shallotring-Outcome"), rest[max(0, len(rest)-80):])
	}
}
