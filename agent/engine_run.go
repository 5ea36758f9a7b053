package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/holding"
	"github.com/carawaypitch/carawaypitch/wire"
)

// attemptKey identifies an attempt in maps.
type attemptKey struct {
	request string
	number  uint64
}

func keyOf(id *wire.AttemptID) attemptKey {
	return attemptKey{request: id.GetRequest(), number: id.GetNumber()}
}

// engineID returns the ID of an attempt at its engine. All calls for the attempt use it, also for a resumed one, so
// that everyone who knows the attempt can cancel it at the engine.
func engineID(id *wire.AttemptID) engine.AttemptID {
	return engine.AttemptID(id.GetRequest() + "." + strconv.FormatUint(id.GetNumber(), 10))
}

// engineRun is one attempt at the engine. Its goroutine calls the engine; the server's event loop takes the events.
//
// The context of a run is derived from the server's and not from that of a link. Otherwise the loss of a link would
// close the connection to the engine: an engine that goes on after that would run an attempt whose answer is not read,
// and its outcome would stay unknown although the engine finished.
type engineRun struct {
	dispatch      *wire.Dispatch
	key           attemptKey
	client        engine.Client
	isService     bool // a plain service, not a model
	canResume     bool // whether the engine can resume
	canTransferKV bool // whether the engine can export and import KV cache
	wantsUsage    bool
	repeated      uint32             // events before the first token that the caller has and this run sends again
	disconnect    context.CancelFunc // closes the connection to the engine

	arrivedAt      time.Time // when the dispatch was received
	concurrentRuns int       // other runs of the server at that time
	returnedAt     time.Time // when the engine call returned, zero while it runs; used by the event loop only
	suspension     suspensionOf
	originNoted    bool               // its stream's origin is kept; used by the event loop only
	resumption     *engine.Suspension // the suspension that the engine call resumes, nil for a call from the start
	resumedAfter   []byte             // the event after which it does; set before the run begins

	mu            sync.Mutex
	changed       *sync.Cond
	events        [][]byte
	tokens        []uint32 // in each of events
	bufferedBytes int
	window        runWindow
	account       *holding.Account // nil if nothing is counted; set before the run begins
	notified      bool             // whether the event loop was notified of waiting events
	closed        bool             // whether further events are refused
	received      position
	contentType   string
}

func newRun(d *wire.Dispatch, client engine.Client, capabilities *wire.Capabilities) *engineRun {
	r := &engineRun{
		dispatch:      d,
		key:           keyOf(d.GetAttempt()),
		client:        client,
		arrivedAt:     time.Now(),
		isService:     d.GetWork().GetService(),
		canResume:     capabilities.GetResume(),
		canTransferKV: capabilities.GetKv(),
		wantsUsage:    !d.GetVerbatim() && wantsUsage(d.GetBody()),
	}
	r.received = position{
		head: d.GetResumeFrom() > 0, lastEvent: d.GetLastEvent(), tokens: int(d.GetResumeTokens()),
		sequence: framing.After(framing.EventID(d.GetLastEvent()), d.GetConsecutive()),
	}
	if !d.GetVerbatim() && !r.isService && d.GetResumeTokens() == 0 {
		r.repeated = d.GetResumeFrom()
	}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// wantsUsage reports whether the caller asked for the usage event. The adapter always asks the engine for it.
func wantsUsage(body []byte) bool {
	var parsed struct {
		Options struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
	}
	return json.Unmarshal(body, &parsed) == nil && parsed.Options.IncludeUsage
}

// call runs the attempt at the engine until its end. The errors are those of engine.Client.
func (r *engineRun) call(ctx context.Context, sink engine.Sink) (engine.Outcome, error) {
	d := r.dispatch
	if d.GetVerbatim() {
		return r.client.Run(ctx, r.continueAfter(r.verbatimRequest()), sink)
	}
	if r.resumption == nil && (d.GetResumeTokens() > 0 || d.GetResumeAttempt() != "") {
		return r.resume(ctx, sink)
	}
	request := engine.Request{
		ID:             engineID(d.GetAttempt()),
		Kind:           engine.KindModel,
		Method:         d.GetMethod(),
		Path:           d.GetPath(),
		Body:           d.GetBody(),
		IdempotencyKey: d.GetIdempotencyKey(),
	}
	if r.isService {
		request.Kind = engine.KindService
	}
	if contentType := d.GetContentType(); contentType != "" {
		request.Header = map[string][]string{"Content-Type": {contentType}}
	}
	return r.client.Run(ctx, r.continueAfter(request), sink)
}

// verbatimRequest returns the engine request of a dispatch that is passed on as its caller sent it.
func (r *engineRun) verbatimRequest() engine.Request {
	d := r.dispatch
	work := d.GetWork()
	header := make(http.Header, len(d.GetHeaders()))
	for _, line := range d.GetHeaders() {
		header.Add(line.GetName(), line.GetValue())
	}
	request := engine.Request{
		ID:     engineID(d.GetAttempt()),
		Kind:   engine.KindModel,
		Method: d.GetMethod(),
		Path:   d.GetPath(),
		Body:   d.GetBody(),
		Header: header,
		Verbatim: &engine.Verbatim{
			Host:         d.GetHost(),
			Organisation: work.GetOrganisation(),
			Server:       d.GetServer(),
			Remaining:    r.remaining(),
			Repeatable:   work.GetRepeatable(),
			LastEvent:    d.GetLastEvent(),
			Consecutive:  d.GetConsecutive(),
			SkipHead:     d.GetResumeFrom() > 0,
		},
	}
	if r.isService {
		request.Kind = engine.KindService
	}
	return request
}

// resume continues an answer whose first tokens were delivered by earlier attempts. If the engine doesn't support
// that, the attempt never starts: a run from the beginning could give other tokens, and the caller would get a mixture
// of two answers.
func (r *engineRun) resume(ctx context.Context, sink engine.Sink) (engine.Outcome, error) {
	d := r.dispatch
	id := engineID(d.GetAttempt())
	if !r.canResume {
		return engine.Outcome{}, &engine.CallError{
			Call:  "resume",
			ID:    id,
			Class: engine.ErrNeverSent,
			Err:   engine.ErrUnsupported,
		}
	}
	if d.GetResumeAttempt() != "" && r.canTransferKV {
		r.transferKVCache(ctx, engine.AttemptID(d.GetResumeAttempt()), id)
	}
	return r.client.Resume(ctx, id, int(d.GetResumeTokens()), d.GetBody(), sink)
}

// transferKVCache copies the KV cache of an earlier attempt to this one. A failure only costs a second prefill, since
// the engine then begins again from the body.
func (r *engineRun) transferKVCache(ctx context.Context, from, to engine.AttemptID) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	cache, err := r.client.ExportKV(ctx, from)
	if err != nil {
		return
	}
	_ = r.client.ImportKV(ctx, to, cache)
}

// provesEnd reports whether the error of a returned engine call, nil included, proves that the attempt is over.
func provesEnd(err error) bool {
	return err == nil || errors.Is(err, engine.ErrNeverSent)
}
