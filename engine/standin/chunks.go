package standin

import (
	"encoding/json"
	"strconv"

	"github.com/carawaypitch/carawaypitch/engine"
)

// Object names of the completion formats.
const (
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
	objectText      = "text_completion"
)

type completion struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

// format writes a stream's answer in one of the two completion formats.
type format struct {
	spec    streamSpec
	id      string
	created int64
	// cached are the prompt tokens from the cache, known at the end.
	cached int
	// before and after surround a token's text in its chunk.
	before, after string
}

func newFormat(s *stream, created int64) *format {
	f := &format{
		spec:    s.spec,
		id:      "cmpl-" + string(s.id),
		created: created,
	}
	head := `{"id":` + quote(f.id) + `,"object":` + quote(f.chunkObject()) +
		`,"created":` + strconv.FormatInt(created, 10) + `,"model":` + quote(s.spec.Model) +
		`,"choices":[{"index":0,`
	f.before, f.after = head+`"text":"`, `","finish_reason":null}]}`
	if s.spec.Chat {
		f.before, f.after = head+`"delta":{"content":"`, `"},"finish_reason":null}]}`
	}
	return f
}

func quote(text string) string {
	encoded, err := json.Marshal(text)
	if err != nil {
		panic(err) // a string always has a JSON form
	}
	return string(encoded)
}

func (f *format) chunkObject() string {
	if f.spec.Chat {
		return objectChatChunk
	}
	return objectText
}

func (f *format) shell(object string) completion {
	return completion{
		ID:      f.id,
		Object:  object,
		Created: f.created,
		Model:   f.spec.Model,
		Choices: []choice{},
	}
}

// appendToken appends the event of one token. The words are safe in JSON.
func (f *format) appendToken(events []byte, index int) []byte {
	events = append(events, "data: "...)
	events = append(events, f.before...)
	events = append(events, token(f.spec.Hash, index)...)
	events = append(events, f.after...)
	return append(events, "\n\n"...)
}

// role is the first chunk of a chat.
func (f *format) role() completion {
	empty := ""
	chunk := f.shell(f.chunkObject())
	chunk.Choices = []choice{{Delta: &message{
		Role:    "assistant",
		Content: &empty,
	}}}
	return chunk
}

// finish is the chunk with the finish reason.
func (f *format) finish() completion {
	last := choice{FinishReason: &f.spec.Finish}
	if f.spec.Chat {
		last.Delta = &message{}
	} else {
		last.Text = new(string)
	}
	chunk := f.shell(f.chunkObject())
	chunk.Choices = []choice{last}
	return chunk
}

// usage is the last chunk, with the token counts and no choice.
func (f *format) usage() completion {
	chunk := f.shell(f.chunkObject())
	chunk.Usage = f.usageCounts()
	return chunk
}

func (f *format) usageCounts() *engine.Usage {
	return &engine.Usage{
		PromptTokens:     f.spec.PromptTokens,
		CompletionTokens: f.spec.Total,
		TotalTokens:      f.spec.PromptTokens + f.spec.Total,
		PromptDetails:    engine.PromptDetails{CachedTokens: f.cached},
	}
}

// whole is the answer that is not a stream.
func (f *format) whole() completion {
	content := text(f.spec.Hash, f.spec.Total)
	only := choice{FinishReason: &f.spec.Finish}
	object := objectText
	if f.spec.Chat {
		object = objectChat
		only.Message = &message{
			Role:    "assistant",
			Content: &content,
		}
	} else {
		only.Text = &content
	}
	answer := f.shell(object)
	answer.Choices = []choice{only}
	answer.Usage = f.usageCounts()
	return answer
}

// wantsUsage says whether a body asks for the usage chunk.
func wantsUsage(body []byte) bool {
	return parseStreamWish(body).Options.IncludeUsage
}

// streamWish is what a body says of streaming.
type streamWish struct {
	Stream  bool `json:"stream"`
	Options struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func parseStreamWish(body []byte) streamWish {
	var wish streamWish
	_ = json.Unmarshal(body, &wish) // a body that is no JSON is refused elsewhere
	return wish
}
