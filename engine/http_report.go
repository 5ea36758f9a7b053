package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"
)

// Cancel implements [Client].
func (h *HTTP) Cancel(ctx context.Context, id AttemptID) (CancelResult, error) {
	c := call{
		name:   "cancel",
		id:     id,
		method: http.MethodPost,
		path:   streamPath(id, "cancel"),
	}
	var answer CancelAnswer
	err := h.exchangeJSON(ctx, c, &answer)
	if errors.Is(err, ErrUnknownStream) {
		return CancelUnknownID, nil
	}
	if err != nil {
		return CancelNone, err
	}
	ended := answer.State == CancelStateCancelled || answer.State == CancelStateFinished
	if answer.ID != id || !ended {
		return CancelNone, c.fail(ErrOutcomeUnknown, errors.Errorf("engine reports stream %s as %q", answer.ID, answer.State))
	}
	return CancelConfirmed, nil
}

// Streams implements [Client].
func (h *HTTP) Streams(ctx context.Context) ([]StreamInfo, error) {
	var answer StreamsAnswer
	err := h.exchangeJSON(ctx, getCall("streams", "/v1/streams"), &answer)
	return answer.Streams, err
}

// ExportKV implements [Client].
func (h *HTTP) ExportKV(ctx context.Context, id AttemptID) ([]byte, error) {
	c := getCall("export_kv", kvPath(id))
	c.id = id
	return h.exchange(ctx, c, h.options.MaxKVBytes)
}

// ImportKV implements [Client].
func (h *HTTP) ImportKV(ctx context.Context, id AttemptID, kv []byte) error {
	c := call{
		name:   "import_kv",
		id:     id,
		method: http.MethodPut,
		path:   kvPath(id),
		body:   kv,
	}
	_, err := h.exchange(ctx, c, h.options.MaxAnswerBytes)
	return err
}

// Load implements [Client].
func (h *HTTP) Load(ctx context.Context) (Load, error) {
	var answer Load
	err := h.exchangeJSON(ctx, getCall("load", "/v1/load"), &answer)
	return answer, err
}

// CacheEvents implements [Client].
func (h *HTTP) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	path := "/v1/cache/events?after=" + strconv.FormatUint(after, 10)
	var answer CacheEventsAnswer
	err := h.exchangeJSON(ctx, getCall("cache_events", path), &answer)
	return answer.Events, err
}

// Order implements [Client].
func (h *HTTP) Order(ctx context.Context, order Order) (OrderResult, error) {
	c := call{
		name:   "order",
		method: http.MethodPost,
		path:   "/v1/orders",
		body:   mustMarshal(order),
		header: http.Header{"Content-Type": {ContentTypeJSON}},
	}
	response, err := h.send(ctx, c)
	if err != nil {
		return OrderResult{}, err
	}
	defer closeBody(response)
	body, _, err := h.readWhole(c, response, h.options.MaxAnswerBytes)
	if err != nil {
		return OrderResult{}, err
	}
	return c.orderResult(response.StatusCode, body)
}

func getCall(name, path string) call {
	return call{
		name:   name,
		method: http.MethodGet,
		path:   path,
	}
}

func kvPath(id AttemptID) string { return "/v1/kv/" + url.PathEscape(string(id)) }

// orderResult decodes the response to an order, which has the same form whether the order was
// accepted (200, 202) or refused (400, 409).
func (c call) orderResult(status int, body []byte) (OrderResult, error) {
	var result OrderResult
	if err := json.Unmarshal(body, &result); err != nil || result.State == "" {
		return OrderResult{}, c.statusError(status, body)
	}
	return result, nil
}
