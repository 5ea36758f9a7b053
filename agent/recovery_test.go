package agent

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
)

// A restarted agent must not register before all announced servers are free of what the last incarnation started.
// Checking one server only, or accepting none, would report unfinished attempts as over.
func TestRecoveryWaitsForAllAnnouncedServers(t *testing.T) {
	recovered := serverView{client: new(engine.HTTP), recovered: true}
	recovering := serverView{client: new(engine.HTTP)}
	unannounced := serverView{}
	cases := map[string]struct {
		views []serverView
		want  bool
	}{
		"no server":                          {nil, false},
		"only known from an entry":           {[]serverView{unannounced}, false},
		"one recovered":                      {[]serverView{recovered}, true},
		"one not recovered":                  {[]serverView{recovering}, false},
		"second of two not recovered":        {[]serverView{recovered, recovering}, false},
		"first of two not recovered":         {[]serverView{recovering, recovered}, false},
		"one recovered, one never announced": {[]serverView{unannounced, recovered}, true},
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
			assert.Equal(t, c.want, (&Agent{servers: l}).areServersRecovered())
		})
	}
}
