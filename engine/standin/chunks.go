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
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	// Fingerprint is the software version of the engine, empty if it has none.
	Fingerprint string        `json:"system_fingerprint,omitempty"`
	Choices     []choice      `json:"choices"`
	Usage       *engine.Usage `json:"usage,omitempty"`
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

// format encodes a stream's answer in one of the two completion formats.
type format struct {
	spec    streamSpec
	id      string
	created int64
	version string // of the engine's software
	// cached is the number of prompt tokens from the cache. It is set at the end of the stream.
	cached int
	// tokenPrefix and tokenSuffix enclose a token's text in its chunk; its position, counted from 0, follows.
	tokenPrefix, tokenSuffix string
}

func newFormat(s *stream, created int64, version string) *format {
	f := &format{
		spec:    s.spec,
		id:      "cmpl-" + string(s.id),
		created: created,
		version: version,
	}
	fingerprint := ""
	if version != "" {
		fingerprint = `"system_fingerprint":` + quote(version) + `,`
	}
	head := `{"id":` + quote(f.id) + `,"object":` + quote(f.chunkObject()) +
		`,"created":` + strconv.FormatInt(created, 10) + `,"model":` + quote(s.spec.Model) + `,` +
		fingerprint + `"choices":[{"index":0,`
	f.tokenPrefix, f.tokenSuffix = head+`"text":"`, `","finish_reason":null}],"position":`
	if s.spec.Chat {
		f.tokenPrefix, f.tokenSuffix = head+`"delta":{"content":"`, `"},"finish_reason":null}],"position":`
	}
	return f
}

func quote(text string) string {
	encoded, err := json.Marshal(text)
	if err != nil {
		panic(err) // a string can always be encoded
	}
	return string(encoded)
}

func (f *format) chunkObject() string {
	if f.spec.Chat {
		return objectChatChunk
	}
	return objectText
}

func (f *format) newCompletion(object string) completion {
	return completion{
		ID:      f.id,
		Object:  object,
		Created: f.created,
		Model:   f.spec.Model,

		Fingerprint: f.version,

		Choices: []choice{},
	}
}

// appendToken appends the event of one token. The words need no JSON escaping.
func (f *format) appendToken(events []byte, index int) []byte {
	events = append(events, "data: "...)
	events = append(events, f.tokenPrefix...)
	events = append(events, token(f.spec.Hash, index)...)
	events = append(events, f.tokenSuffix...)
	events = strconv.AppendInt(events, int64(index), 10)
	return append(events, "}\n\n"...)
}

// roleChunk returns the first chunk of a chat.
func (f *format) roleChunk() completion {
	empty := ""
	chunk := f.newCompletion(f.chunkObject())
	chunk.Choices = []choice{{Delta: &message{
		Role:    "assistant",
		Content: &empty,
	}}}
	return chunk
}

// finishChunk returns the chunk with the finish reason.
func (f *format) finishChunk() completion {
	last := choice{FinishReason: &f.spec.Finish}
	if f.spec.Chat {
		last.Delta = &message{}
	} else {
		last.Text = new(string)
	}
	chunk := f.newCompletion(f.chunkObject())
	chunk.Choices = []choice{last}
	return chunk
}

// usageChunk returns the last chunk, with the token counts and no choice.
func (f *format) usageChunk() completion {
	chunk := f.newCompletion(f.chunkObject())
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

// completion returns the complete answer for a request without streaming.
func (f *format) completion() completion {
	content := text(f.spec.Hash, f.spec.Total)
	single := choice{FinishReason: &f.spec.Finish}
	object := objectText
	if f.spec.Chat {
		object = objectChat
		single.Message = &message{
			Role:    "assistant",
			Content: &content,
		}
	} else {
		single.Text = &content
	}
	answer := f.newCompletion(object)
	answer.Choices = []choice{single}
	answer.Usage = f.usageCounts()
	return answer
}

// wantsUsage reports whether a body requests the usage chunk.
func wantsUsage(body []byte) bool {
	return parseStreamOptions(body).Options.IncludeUsage
}

// streamOptions holds the streaming fields of a body.
type streamOptions struct {
	Stream  bool `json:"stream"`
	Options struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func parseStreamOptions(body []byte) streamOptions {
	var options streamOptions
	_ = json.Unmarshal(body, &options) // ParsePrompt rejects a body that is not JSON
	return options
}
