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

// secureClient verifies by the CA and presents the certificate if one is named.
func secureClient(t *testing.T, keys settings.TLS) *http.Client {
	t.Helper()
	dial, err := server.DialTLS(keys, (&net.Dialer{}).DialContext)
	if err != nil {
		t.Fatal(err)
	}
	tr := &http.Transport{DialTLSContext: dial}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: testTimeout}
}

// secure is a deployment whose processes verify each other.
type secure struct {
	*testing.T
	*Deployment
	ca   *servertest.Authority
	keys settings.TLS
	log  *collected
}

func newSecure(t *testing.T) *secure {
	s := &secure{T: t, ca: servertest.NewAuthority(t), log: &collected{}}
	s.keys = s.ca.Keys("process")
	s.Deployment = start(t, WithLog(s.log, slog.LevelInfo), WithKeys(s.keys), WithTokenInterval(5*time.Millisecond))
	return s
}

func (s *secure) post(c *http.Client, path, body, key string) *http.Response {
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

func (s *secure) expect(a *http.Response) {
	s.Helper()
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil || a.StatusCode != http.StatusOK {
		s.Errorf("%d %s, %v", a.StatusCode, text, err)
	}
}

// command runs the operator's command line.
func (s *secure) command(keys settings.TLS, arguments ...string) (code int, out string) {
	var b bytes.Buffer
	arguments = append([]string{
		"--service", s.Platform().KeyValueURL(), "--ca-file", keys.CAFile, "--cert-file", keys.CertFile, "--key-file", keys.KeyFile,
	}, arguments...)
	code = operator.Run(context.Background(), arguments, operator.Streams{In: strings.NewReader(""), Out: &b, Err: &b})
	return code, b.String()
}

// Guards against a call between the processes, to the key-value service or by the operator that does not work over TLS:
// requests, ledger, load permits, configuration, status and drain.
func TestDeploymentOverTLS(t *testing.T) {
	s := newSecure(t)
	public := secureClient(t, settings.TLS{CAFile: s.ca.File})
	s.expect(s.post(public, "/v1/completions", `{"model":"adapter-01","prompt":"x","max_tokens":3}`, ""))
	s.expect(s.post(public, "/services/custody/orders", `{}`, "order-1"))
	s.expect(s.post(public, "/services/custody/orders", `{}`, "order-1"))
	if runs := s.Platform().Service.Journal(); len(runs) != 1 {
		t.Errorf("the order ran %d times", len(runs))
	}
	own := s.ca.Keys("operator")
	for _, c := range [][]string{{"get"}, {"status"}, {"drain", string(serviceEndpoint)}} {
		if code, out := s.command(own, c...); code != operator.ExitSuccess {
			t.Errorf("%v: exit code %d: %s", c, code, out)
		}
	}
	stranger := servertest.NewAuthority(t).Keys("operator")
	stranger.CAFile = s.ca.File
	if code, out := s.command(stranger, "get"); code == operator.ExitSuccess {
		t.Errorf("operator of another CA: %s", out)
	}
	if text := s.log.String(); !strings.Contains(text, "load finished") || strings.Contains(text, "no load permits") {
		t.Error("loads without permits of the holder")
	}
	for line := range strings.Lines(s.log.String()) {
		if !strings.HasPrefix(line, "{") {
			t.Errorf("no line of the log: %s", line)
		}
	}
}

// Guards against a process that serves calls of peers without a certificate of the CA.
func TestPeersWithoutCertificateAreRefused(t *testing.T) {
	s := newSecure(t)
	foreign := servertest.NewAuthority(t).Keys("foreign")
	foreign.CAFile = s.ca.File
	addresses := map[string]string{"entry": s.entry.PeerAddress()}
	for name, a := range s.agents {
		addresses[string(name)] = a.Address()
	}
	for name, address := range addresses {
		for kind, keys := range map[string]settings.TLS{"none": {CAFile: s.ca.File}, "another CA": foreign} {
			c := secureClient(t, keys)
			var err error
			if name == "entry" {
				_, err = wire.NewEntryProtobufClient("https://"+address, c).InForce(t.Context(), &wire.InForceRequest{})
			} else {
				_, err = wire.NewAgentProtobufClient("https://"+address, c).Report(t.Context(), &wire.ReportRequest{})
			}
			if err == nil {
				t.Errorf("%s serves a peer with a certificate of %s", name, kind)
			}
		}
		if _, err := wire.NewAgentProtobufClient("http://"+address, http.DefaultClient).Report(t.Context(), &wire.ReportRequest{}); err == nil {
			t.Errorf("%s serves without TLS", name)
		}
	}
	own := wire.NewEntryProtobufClient("https://"+s.entry.PeerAddress(), secureClient(t, s.ca.Keys("peer")))
	if r, err := own.InForce(t.Context(), &wire.InForceRequest{}); err != nil || r.GetRole() != string(registry.RoleEntry) {
		t.Errorf("peer with a certificate: %v, %v", r, err)
	}
}

// Guards against replaced keys that interrupt a stream, or that a new connection does not see without a restart.
func TestKeysAreReplacedWhileAStreamRuns(t *testing.T) {
	s := newSecure(t)
	c := secureClient(t, settings.TLS{CAFile: s.ca.File})
	stream := s.post(c, "/v1/completions", `{"model":"adapter-03","prompt":"x","stream":true,"max_tokens":400}`, "")
	defer stream.Body.Close()
	if _, err := io.ReadFull(stream.Body, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	before := stream.TLS.PeerCertificates[0].SerialNumber
	s.ca.Keys("process")
	for i := range 4 {
		fresh := secureClient(t, settings.TLS{CAFile: s.ca.File})
		a := s.post(fresh, "/v1/completions", fmt.Sprintf(`{"model":"adapter-%02d","prompt":"x","max_tokens":3}`, 4+i), "")
		if a.TLS.PeerCertificates[0].SerialNumber.Cmp(before) == 0 {
			t.Error("a new connection sees the old certificate")
		}
		s.expect(a)
	}
	rest, err := io.ReadAll(stream.Body)
	if err != nil || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") || stream.Trailer.Get("Shallotring-Outcome") != "completed" {
		t.Errorf("stream: %v, outcome %q, ends with %q", err, stream.Trailer.Get("Shallotring-Outcome"), rest[max(0, len(rest)-80):])
	}
}
