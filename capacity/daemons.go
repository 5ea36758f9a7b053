package capacity

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/carawaypitch/carawaypitch/agent"
	"github.com/carawaypitch/carawaypitch/control"
	"github.com/carawaypitch/carawaypitch/dev"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/entry"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/settings"
)

const (
	operatorKey  = "operator-key-of-the-measurement"
	callerKey    = "caller-key-of-the-measurement"
	organisation = "union"
	stopTime     = time.Second // drain of a daemon at its end
)

// slowElection keeps a control instance from leading while another one with the default election timeout is there.
const slowElection = 20 * time.Second

// silent drops events, but makes them: their fields cost what they cost in production, their writing is left out.
func silent() log.Interface { return &log.Logger{Handler: discard.Default, Level: log.InfoLevel} }

func salt() []byte { return make([]byte, settings.SaltBytes) }

// freeAddresses returns loopback addresses where nobody listens at the moment.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", loopback)
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// controlSettings are those of control instance number of a group at the given link addresses.
func controlSettings(number int, group []string, folder string, election time.Duration) settings.Control {
	s := settings.DefaultControl()
	s.Instance = controlName(number)
	s.AvailabilityZone = "zone-" + strconv.Itoa(number+1)
	s.Listen = settings.ControlListen{Operators: loopback, Links: group[number]}
	s.Advertise = group[number]
	for i, address := range group {
		s.Replicas = append(s.Replicas, settings.Replica{Instance: controlName(i), Address: address})
	}
	s.Bootstrap = true
	s.DataDir = filepath.Join(folder, s.Instance)
	s.Operators = []settings.OperatorAccount{{Name: "olga", KeyDigests: []string{settings.NewDigest(operatorKey, salt())}}}
	s.Organisations = organisations()
	s.InitialClasses = dev.SampleClasses()
	s.Timing.Election = election
	s.Timing.Drain = stopTime
	return s
}

func controlName(number int) string { return fmt.Sprintf("control-%d", number) }

func organisations() []settings.Organisation {
	return []settings.Organisation{{
		Name:         organisation,
		KeyDigests:   []string{settings.NewDigest(callerKey, salt())},
		DefaultClass: "summary",
	}}
}

// newControl makes a control instance on a network.
func newControl(s settings.Control, n network.Network) (*control.Control, error) {
	return control.New(s, control.Options{Network: n, Log: silent(), Seed: 1})
}

// startControls starts control instances of the group at o.Controls. Unless o.Leads, or
// they are the whole group, they leave the lead to others.
func (s *side) startControls(o Order) (Reply, error) {
	election := slowElection
	if o.Leads || o.Count == len(o.Controls) {
		election = settings.DefaultControl().Timing.Election
	}
	var r Reply
	for i := range o.Count {
		c, err := newControl(controlSettings(o.First+i, o.Controls, o.Folder, election), network.TCP{})
		if err != nil {
			return r, err
		}
		s.run(c.Run)
		r.Addresses = append(r.Addresses, c.LinkAddr())
		r.Operators = append(r.Operators, "http://"+c.OperatorsAddr())
	}
	return r, nil
}

// entrySettings are those of an entry instance.
func entrySettings(controls []string) settings.Entry {
	s := settings.DefaultEntry()
	s.Instance = "entry-1"
	s.AvailabilityZone = "zone-1"
	s.Listen.Callers = loopback
	s.Controls = controls
	s.Organisations = organisations()
	s.Timing.Drain = stopTime
	return s
}

func (s *side) startEntry(o Order) (Reply, error) {
	e, err := entry.New(entrySettings(o.Controls), entry.Options{Log: silent(), Seed: 1})
	if err != nil {
		return Reply{}, err
	}
	s.run(e.Run)
	return Reply{Addresses: []string{"http://" + e.CallersAddr()}}, nil
}

// agentSettings are those of agent number i.
func agentSettings(i int, controls []string) settings.Agent {
	s := settings.DefaultAgent()
	s.Instance = agentName(i)
	s.AvailabilityZone = "zone-1"
	s.Listen = settings.AgentListen{HTTP: loopback, Links: loopback}
	s.Advertise = loopback
	s.Controls = controls
	s.Timing.Drain = stopTime
	return s
}

// startServers starts agents with a stand-in model engine each.
func (s *side) startServers(o Order) (Reply, error) {
	for i := range o.Count {
		a, err := agent.New(agentSettings(o.First+i, o.Controls), agent.Options{Log: silent()})
		if err != nil {
			return Reply{}, err
		}
		s.run(a.Run)
		_, err = s.startEngine(Order{First: o.First + i, Addresses: []string{"http://" + a.HTTPAddr()}, Tokens: o.Tokens})
		if err != nil {
			return Reply{}, err
		}
	}
	return Reply{}, nil
}

// Speeds of the stand-ins: a token of each stream each tokenPace, so that each token has a frame of its own as with
// real engines, and service calls that take no time to speak of.
const (
	tokenPace   = 20 * time.Millisecond
	engineSlots = 512
	prefillRate = 1e6
)

// startEngine starts a stand-in, a service if Tokens is 0.
func (s *side) startEngine(o Order) (Reply, error) {
	options := standin.ServiceDefaults()
	options.ServiceTime = time.Millisecond
	if o.Tokens > 0 {
		options = standin.ModelDefaults()
		options.DecodePace = tokenPace
		options.DecodeSlope = 0
		options.PrefillRate = prefillRate
		options.KVTokens = 1 << 22
	}
	options.Server = fmt.Sprintf("server-%04d", o.First)
	options.Slots = engineSlots
	options.Agent = o.Addresses[0]
	options.Seed = uint64(o.First) + 1
	options.LeaveTimeout = stopTime
	server := standin.New(options)
	s.run(server.Run)
	select {
	case <-server.Ready():
		return Reply{}, nil
	case <-time.After(waitBound):
		return Reply{}, context.DeadlineExceeded
	}
}
