package local

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/standin/engine"
	"shallotring.dev/standin/keyvalue"
	"shallotring.dev/standin/service"
	"shallotring.dev/standin/weights"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/server"
	"shallotring.dev/transport/settings"
)

// anyPort makes the operating system choose a free port on loopback.
const anyPort = "127.0.0.1:0"

const (
	engineCount          = 4
	engineSlots          = 8
	engineBatchSize      = 32
	defaultTokenInterval = 2 * time.Millisecond
)

// Platform holds the embedded stand-ins for the key-value service, the weight store, the engines and a plain service.
type Platform struct {
	KeyValue *keyvalue.Service
	Weights  *weights.Store
	Engines  map[ident.Endpoint]*engine.Engine
	Service  *service.Service

	keyValueURL string
	urls        map[ident.Endpoint]string
	servers     []*server.Server
}

// newPlatform starts the stand-ins on free loopback ports.
func newPlatform(tokenInterval time.Duration, tls settings.TLS) (p *Platform, err error) {
	defer func() { err = eris.Wrap(err, "start the stand-ins of the local deployment") }()
	p = &Platform{
		KeyValue: keyvalue.New(keyvalue.WithClock(quartz.NewReal())),
		Weights:  weights.New(),
		Engines:  make(map[ident.Endpoint]*engine.Engine),
		Service:  service.New(),
		urls:     make(map[ident.Endpoint]string),
	}
	if p.keyValueURL, err = p.serve(p.KeyValue.Handler(), tls); err != nil {
		return nil, err
	}
	for _, name := range engineNames() {
		e := engine.New(baseModel, p.Weights, engine.WithSlots(engineSlots, engineBatchSize),
			engine.WithTokenInterval(tokenInterval), engine.WithFencing(true))
		p.Engines[name] = e
		if p.urls[name], err = p.serve(e.Handler(), settings.TLS{}); err != nil {
			return nil, err
		}
	}
	p.urls[serviceEndpoint], err = p.serve(p.Service.Handler(), settings.TLS{})
	return p, err
}

func (p *Platform) serve(h http.Handler, tls settings.TLS) (url string, err error) {
	s, err := server.Listen(anyPort, h, server.WithTLS(tls))
	if err != nil {
		return "", err
	}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve() }()
	if tls.Enabled() {
		return "https://" + s.Addr(), nil
	}
	return "http://" + s.Addr(), nil
}

// URL returns the base URL of an endpoint's stand-in.
func (p *Platform) URL(e ident.Endpoint) string { return p.urls[e] }

// KeyValueURL returns the base URL of the key-value stand-in.
func (p *Platform) KeyValueURL() string { return p.keyValueURL }

func (p *Platform) close(context.Context) {
	p.KeyValue.Close()
	for _, s := range p.servers {
		_ = s.Close()
	}
}
