package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/settings"
)

// maxAnswer bounds an answer, in bytes.
const maxAnswer = 16 << 20

// refusal is the JSON of a refusal or failure.
type refusal struct {
	Error *struct {
		Code    int    `json:"code"`
		Name    string `json:"name"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

// judge reads a reply and says what it is. check compares it with what the stand-ins answer to this very request.
func judge(o *Outcome, reply *http.Response, check bool) {
	o.RequestID = reply.Header.Get("Carawaypitch-Request-Id")
	contentType := reply.Header.Get("Content-Type")
	if reply.StatusCode == http.StatusOK && strings.HasPrefix(contentType, engine.ContentTypeStream) {
		judgeStream(o, reply.Body, check)
		return
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswer))
	switch {
	case err != nil:
		o.Fate, o.Detail = Cut, err.Error()
	case reply.StatusCode != http.StatusOK:
		judgeRefusal(o, body, "status "+strconv.Itoa(reply.StatusCode))
	case reply.Header.Get("Content-Length") != strconv.Itoa(len(body)):
		o.Fate, o.Detail = Wrong, "no Content-Length of the whole answer"
	case o.Arrival.Stream:
		o.Fate, o.Detail = Wrong, "a stream was asked for"
	default:
		judgeBody(o, body, check)
	}
}

// judgeRefusal reads the error of a refusal or failure.
func judgeRefusal(o *Outcome, body []byte, otherwise string) {
	var r refusal
	if json.Unmarshal(body, &r) != nil || r.Error == nil {
		o.Fate, o.Detail = Lost, otherwise
		return
	}
	o.Code, o.Name, o.Ran, o.Detail = r.Error.Code, r.Error.Name, r.Error.Ran, r.Error.Message
	o.Fate = Failed
	if o.Ran == "no" {
		o.Fate = Refused
	}
}

type choice struct {
	Text    string       `json:"text"`
	Message *chatMessage `json:"message"`
	Delta   *chatMessage `json:"delta"`
}

func (c choice) content() string {
	switch {
	case c.Delta != nil:
		return c.Delta.Content
	case c.Message != nil:
		return c.Message.Content
	default:
		return c.Text
	}
}

type completion struct {
	ID          string   `json:"id"`
	Fingerprint string   `json:"system_fingerprint"`
	Choices     []choice `json:"choices"`
	Position    *int     `json:"position"` // of a token in its stream
}

// judgeBody compares a whole answer with the request.
func judgeBody(o *Outcome, body []byte, check bool) {
	o.Fate = Whole
	if !check {
		return
	}
	if o.Arrival.Class.Kind == settings.KindService {
		judgeService(o, body)
		return
	}
	var answer completion
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) != 1 {
		o.Fate, o.Detail = Wrong, "the body is no completion"
		return
	}
	o.compare(answer.Choices[0].content(), true)
}

func judgeService(o *Outcome, body []byte) {
	var answer standin.ServiceAnswer
	err := json.Unmarshal(body, &answer)
	if err != nil || !bytes.Equal(answer.Received, o.Arrival.Body) || !strings.HasSuffix(o.Arrival.Path, answer.Path) {
		o.Fate, o.Detail = Wrong, "the answer is to another call"
	}
}

// compare checks the text of an answer, or the beginning of one that was cut.
func (o *Outcome) compare(text string, whole bool) {
	want, err := standin.CompletionText(o.Arrival.Body, "", o.Arrival.OutputTokens)
	if err != nil {
		o.Fate, o.Detail = Wrong, err.Error()
		return
	}
	if text != want && (whole || !strings.HasPrefix(want, text)) {
		same := commonPrefix(text, want)
		o.Fate, o.Detail = Wrong, fmt.Sprintf("the text is not the answer to this request: %d bytes, want %d, the same up to %d",
			len(text), len(want), same)
	}
}

func commonPrefix(a, b string) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

// judgeStream reads a stream to its end. Only the end mark makes it an answer.
func judgeStream(o *Outcome, body io.Reader, check bool) {
	var text strings.Builder
	order := &orderCheck{repeatable: o.Arrival.Class.Repeatable}
	defer func() { o.Order = order.faults }()
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 64<<10), maxAnswer)
	o.Fate = Cut
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == engine.StreamDone {
			o.Fate = Whole
			order.end(o.Arrival.OutputTokens)
			break
		}
		if !o.event([]byte(data), &text, order) {
			break
		}
	}
	if o.Fate != Whole && lines.Err() == nil {
		if _, err := io.Copy(io.Discard, body); err == nil {
			order.faults.FalseEnd = true
			o.Fate, o.Detail = Wrong, "a stream without its end mark has the ordinary end of a whole one"
			return
		}
	}
	if check && (o.Fate == Whole || o.Fate == Cut) {
		o.compare(text.String(), o.Fate == Whole)
	}
}

// event takes one event of a stream. It returns false at an error event, which ends it.
func (o *Outcome) event(data []byte, text *strings.Builder, order *orderCheck) bool {
	if bytes.HasPrefix(data, []byte(`{"error"`)) {
		judgeRefusal(o, data, "an error event without a code")
		return false
	}
	var chunk completion
	if json.Unmarshal(data, &chunk) != nil {
		o.Detail = "an event is no JSON"
		return false
	}
	order.event(chunk)
	for _, c := range chunk.Choices {
		text.WriteString(c.content())
	}
	return true
}
