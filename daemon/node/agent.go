package node

import (
	"context"
	"sync"

	"github.com/coder/quartz"
	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/configuration"
	"shallotring.dev/coordination/loadpermit"
	"shallotring.dev/coordination/registry"
	"shallotring.dev/daemon/agent"
	"shallotring.dev/state/ident"
	"shallotring.dev/transport/timeline"
)

// AgentSettings is the content of the agent's settings file.
type AgentSettings struct {
	agent.Settings
	Service
}

// DefaultAgentSettings returns the values of the settings that a file may leave out.
func DefaultAgentSettings() AgentSettings { return AgentSettings{Settings: agent.DefaultSettings()} }

// Check returns an error if an agent cannot run with the settings.
func (s *AgentSettings) Check() (err error) {
	if err = s.Settings.Check(); err != nil {
		return err
	}
	return s.Service.Check()
}

// Agent is an agent with the connections of its process.
type Agent struct {
	*agent.Agent
	platform *Platform
}

// NewAgent opens the listeners of an agent process; Run starts its work.
func NewAgent(s AgentSettings, log *timeline.Log, process ident.Process, options ...agent.Option) (n *Agent, err error) {
	defer func() { err = eris.Wrap(err, "set up agent process") }()
	if err = s.Check(); err != nil {
		return nil, err
	}
	n = &Agent{}
	id := configuration.Identity{Process: process, Role: registry.RoleAgent, Zone: s.Zone}
	if n.platform, err = Connect(s.Service, id, s.PeerTLS, log); err != nil {
		return nil, err
	}
	clock := quartz.NewReal()
	permits := loadpermit.NewClient(n.platform.Store,
		func(address string) loadpermit.Granter { return n.platform.Entry(address) },
		agent.NewFixedShare(n.platform.Configuration, clock), clock)
	options = append([]agent.Option{
		agent.WithLog(log), agent.WithProcess(process), agent.WithStore(n.platform.Store),
		agent.WithConfiguration(n.platform.Configuration), agent.WithPermits(permits), agent.WithMetrics(n.platform.Metrics),
	}, options...)
	n.Agent, err = agent.New(s.Settings, options...)
	return n, err
}

// Run serves until ctx ends or the agent has drained.
func (n *Agent) Run(ctx context.Context) (err error) {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { n.platform.Run(background) })
	err = n.Agent.Run(ctx)
	stop()
	wg.Wait()
	return err
}
