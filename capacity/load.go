package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/carawaypitch/carawaypitch/dev"
	"github.com/carawaypitch/carawaypitch/engine/framing"
)

// callTimeout bounds one call of an entry.
const callTimeout = 30 * time.Second

// idleConnections is how many connections to the entry are kept open between calls.
const idleConnections = 1024

// load calls an entry at a constant rate: service calls, or streamed completions of o.Tokens tokens.
func (s *side) load(o Order) (Reply, error) {
	client := &http.Client{
		Transport: framing.NewTransport(&http.Transport{MaxIdleConnsPerHost: idleConnections}),
		Timeout:   callTimeout,
	}
	defer client.CloseIdleConnections()
	run := newPacer(o.Rate, o.Seconds)
	run.each(func(n int) bool { return callOnce(s.ctx, client, o, n) })
	return Reply{Count: run.done(), Failed: run.failed()}, nil
}

func callOnce(ctx context.Context, client *http.Client, o Order, n int) bool {
	request, err := newCall(ctx, o, n)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// newCall makes call number n of a load.
func newCall(ctx context.Context, o Order, n int) (*http.Request, error) {
	path := "/v1/services/" + dev.SampleService + "/check"
	class := "gate-check"
	body := fmt.Sprintf(`{"pass": "ZG-%d"}`, n)
	if o.Tokens > 0 {
		path, class = "/v1/chat/completions", "appeal"
		body = fmt.Sprintf(`{"model": %q, "stream": true, "max_tokens": %d,
			"messages": [{"role": "user", "content": "Appeal %d. %s"}]}`, dev.SampleModel, o.Tokens, n, appealText)
	}
	if o.Keyed {
		path, class = "/v1/services/"+dev.SampleService+"/issue", "pass-issue"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, o.Addresses[0]+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Carawaypitch-Class", class)
	if o.Keyed {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("key-%d-%d", o.First, n))
	}
	return request, nil
}

// appealText makes a prompt of some hundred tokens.
var appealText = strings.Repeat("The pass was refused although the compost was clean. ", 10)
