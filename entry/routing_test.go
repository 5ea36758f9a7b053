package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/clock"
	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

func testRoute(name, host, prefix string, pools ...*wire.WeightedPool) *wire.Route {
	return &wire.Route{
		Name: name, Host: host, Prefix: prefix, Pools: pools,
		Class: &wire.Class{Name: name, Tier: 2, DeadlineMs: 1000, Kind: settings.KindService, Preempt: "never"},
	}
}

func testRouting(routes ...*wire.Route) *routing {
	return newRouting(&wire.DesiredState{
		Version:       1,
		Routes:        routes,
		Pools:         []*wire.Pool{{Name: "m", Kind: settings.KindModel}, {Name: "registry", Kind: settings.KindService}},
		Organisations: []*wire.Member{{Name: "compost", Keys: []string{"k"}, Tier: 1}, {Name: "yatai", Keys: []string{"l"}}},
	}, quota.NewCaps("entry", 1, quota.Clock{Now: time.Now, SinceBoot: clock.SinceBoot}, usageTolerance(settings.DefaultEntry())))
}

func TestLongestPrefixOfHostMatches(t *testing.T) {
	r := testRouting(
		testRoute("root", "a.example", "/"), testRoute("one", "a.example", "/one/"),
		testRoute("deep", "a.example", "/one/two/"), testRoute("other", "b.example", "/one/"),
	)
	cases := map[string]string{
		"a.example /": "root", "a.example /x": "root", "a.example /one": "root", "a.example /one/": "one",
		"a.example /one/x": "one", "a.example /one/two": "one", "a.example /one/two/x/y": "deep",
		"A.EXAMPLE /one/": "one", "b.example /one/two/": "other", "b.example /": "", "c.example /one/": "",
		"a.example /onex/": "root", "a.example //one/": "root",
	}
	for hostAndPath, want := range cases {
		host, path := hostAndPath[:9], hostAndPath[10:]
		require.Equal(t, want, r.find(host, path).nameOrEmpty(), hostAndPath)
	}
}

func (r *route) nameOrEmpty() string {
	if r == nil {
		return ""
	}
	return r.GetName()
}

func TestPoolsArePickedByWeight(t *testing.T) {
	r := testRouting(testRoute("one", "a.example", "/",
		&wire.WeightedPool{Pool: "m", Weight: 3}, &wire.WeightedPool{Pool: "none", Weight: 0}, &wire.WeightedPool{Pool: "registry", Weight: 1}))
	drawn := map[string]int{}
	for range 8000 {
		drawn[r.find("a.example", "/").pickPool()]++
	}
	require.Zero(t, drawn["none"])
	require.InDelta(t, 6000, drawn["m"], 400)
	require.Equal(t, settings.KindModel, r.find("a.example", "/").kindOf("m"))
}

func TestOrganisationTierOverridesRouteTier(t *testing.T) {
	r := testRouting(testRoute("one", "a.example", "/"))
	one := r.find("a.example", "/")
	require.EqualValues(t, 1, one.class(r.members["k"]).GetTier())
	require.EqualValues(t, 2, one.class(r.members["l"]).GetTier())
	require.EqualValues(t, 2, one.class(nil).GetTier())
}
