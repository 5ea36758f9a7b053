package agent

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
)

// Symptom: an agent that restarted tells control of servers whose engines still run what its last incarnation gave them,
// as if all were settled.
// Sequence: one of two announced servers is proved free, the other isn't yet; or none has announced itself.
// Cause: the release looked at one server, or took no server for no work.
func TestRecoveryWaitsForAllAnnouncedServers(t *testing.T) {
	free := serverView{client: new(engine.HTTP), recovered: true}
	busy := serverView{client: new(engine.HTTP)}
	silent := serverView{}
	cases := map[string]struct {
		views  []serverView
		isFree bool
	}{
		"no server":                     {nil, false},
		"only asked for by an entry":    {[]serverView{silent}, false},
		"one free":                      {[]serverView{free}, true},
		"one not free":                  {[]serverView{busy}, false},
		"one of two not free":           {[]serverView{free, busy}, false},
		"the other of two not free":     {[]serverView{busy, free}, false},
		"one free, one never announced": {[]serverView{silent, free}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newServers(serverDeps{
				log:     discardLog(),
				newGate: func() serverGate { return new(gateRecorder) },
			}, func(*server) {}, maxServers)
			for i, view := range c.views {
				s := l.getOrCreate([]string{"server-1", "server-2"}[i])
				require.NotNil(t, s)
				s.view.Store(&view)
			}
			assert.Equal(t, c.isFree, (&Agent{servers: l}).areServersRecovered())
		})
	}
}
