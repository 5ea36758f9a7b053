package deploy

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/settings"
)

const (
	// poisonText is in the body of the request that crashes backend servers.
	poisonText = "a request that crashes servers"
	// poisonDown is how long a server takes to come back.
	poisonDown = 2 * time.Second
	// poisonSample is how often crashes are counted.
	poisonSample = 10 * time.Millisecond
	// poisonContact is how long after the third crash all entries have to know of it, and poisonRetries how many servers the
	// request may reach after that.
	poisonContact = 3 * time.Second
	poisonCrashes = 3
	poisonRetries = 3
)

// poison is a caller that sends requests which crash each backend server that begins to run them: the same one again and
// again, or different ones that share a part of their prompts.
type poison struct {
	deployment *Deployment
	fault      plan.Fault
	class      string
	target     *serverInstance
	before     int64 // crashes
	crashes    []time.Time
	sends      sync.WaitGroup
}

// beginPoison has the first organisation repeat the request, at one entry after the other.
func (d *Deployment) beginPoison(ctx context.Context, f plan.Fault) (end func() error, err error) {
	p := &poison{deployment: d, fault: f, target: d.named(f.Target)[0], before: d.crashes()}
	for _, class := range d.plan.Classes {
		if class.Kind == p.target.Kind && p.class == "" {
			p.class = class.Name
		}
	}
	mend, err := d.switchFaults(d.serverList(),
		func(s *standin.Faults) { s.CrashOn, s.DownMs = poisonText, poisonDown.Milliseconds() },
		func(s *standin.Faults) { s.CrashOn = "" })
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.run(ctx)
	}()
	return func() error {
		stop()
		<-done
		return mend()
	}, nil
}

// run sends the request Factor times a second and counts crashes, until ctx ends.
func (p *poison) run(ctx context.Context) {
	defer p.sends.Wait()
	send := time.NewTicker(time.Duration(float64(time.Second) / p.fault.Factor))
	defer send.Stop()
	sample := time.NewTicker(poisonSample)
	defer sample.Stop()
	for n := 0; ; {
		select {
		case <-ctx.Done():
			p.deployment.noteViolation(p.violation())
			return
		case <-send.C:
			entry := p.deployment.entries[n%len(p.deployment.entries)]
			p.sends.Go(func() { p.send(ctx, entry.url(), n) })
			n++
		case now := <-sample.C:
			for range p.deployment.crashes() - p.before - int64(len(p.crashes)) {
				p.crashes = append(p.crashes, now)
			}
		}
	}
}

// send sends the nth request. What its caller hears doesn't matter: the crashes tell whether it reached a server.
func (p *poison) send(ctx context.Context, entry string, n int) {
	path, body := "/v1/services/"+p.target.Serves+"/check", fmt.Sprintf("%q", poisonText)
	if p.target.Kind == settings.KindModel {
		path = "/v1/chat/completions"
		body = fmt.Sprintf(`{"model":%q,"max_tokens":8,"messages":[{"role":"user","content":%q}]}`, p.target.Serves, poisonText)
	}
	if p.fault.Kind == plan.PoisonPart {
		body = fmt.Sprintf(`{"model":%q,"max_tokens":8,"messages":[{"role":"system","content":"check permits"},{"role":"system","content":%q},`+
			`{"role":"user","content":"question %d"}]}`, p.target.Serves, poisonText, n)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+p.deployment.keys[0])
	request.Header.Set("Carawaypitch-Class", p.class)
	if response, err := p.deployment.probe.Do(request); err == nil {
		response.Body.Close()
	}
}

// violation says whether the request reached more servers than it may, empty if it didn't.
func (p *poison) violation() string {
	if len(p.crashes) <= poisonCrashes {
		return ""
	}
	known := p.crashes[poisonCrashes-1].Add(poisonContact)
	late := 0
	for _, at := range p.crashes[poisonCrashes:] {
		if at.After(known) {
			late++
		}
	}
	if late <= poisonRetries {
		return ""
	}
	return fmt.Sprintf("a request, or a part of some, that had crashed %d servers crashed %d more, later than %s after the third",
		poisonCrashes, late, poisonContact)
}

// crashes is how often backend servers have crashed.
func (d *Deployment) crashes() int64 {
	var total int64
	for _, s := range d.serverList() {
		total += int64(s.server.Stats().Crashes)
	}
	return total
}

func (d *Deployment) noteViolation(violation string) {
	if violation == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, violation)
}

// Violations are the broken promises that faults have seen themselves.
func (d *Deployment) Violations() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.violations
}
