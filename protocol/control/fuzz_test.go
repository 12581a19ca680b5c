package control

import (
	"net"
	"testing"
	"time"
)

// FuzzReceive guards against bytes of a peer that make the decoder fail in any other way than with an error.
func FuzzReceive(f *testing.F) {
	f.Add([]byte(`{"Endpoint":"i-1","Born":1,"Up":true,"Holdings":{"Models":["m"],"Resident":[],"Loading":[]}}` + "\n" + `{"Changes":{"Added":["m/a1@1"]}}` + "\n" + `{"Same":true}` + "\n"))
	f.Add([]byte("{}\n[]\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		client, server := net.Pipe()
		go func() {
			server.Write(b)
			server.Close()
		}()
		defer client.Close()
		c, states := NewConn(client), StateReader{}
		for {
			var message State
			if c.Receive(&message, time.Second) != nil {
				return
			}
			if s, err := states.State(message); err == nil && s.Holdings == nil {
				t.Error("a state without holdings is accepted")
			}
		}
	})
}
