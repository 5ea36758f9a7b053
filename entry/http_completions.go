package entry

import (
	"encoding/json"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/settings"
)

// postCompletion serves POST /v1/chat/completions and POST /v1/completions.
func (e *Entry) postCompletion(c echo.Context) error {
	return e.serve(c, settings.KindModel, func(r *sched.Request) *result.Error {
		r.Path = c.Request().URL.Path
		return e.readCompletion(r)
	})
}

// readCompletion sets the target, the sizes and the prefix digests of a request from its body.
func (e *Entry) readCompletion(r *sched.Request) *result.Error {
	prompt, err := engine.ParsePrompt(r.Body)
	if err != nil {
		return result.Wrap(err, result.MalformedBody, "the body is not a completion request")
	}
	var options struct {
		Stream bool `json:"stream"`
	}
	if err := json.Unmarshal(r.Body, &options); err != nil {
		return result.Wrap(err, result.MalformedBody, "stream is not true or false")
	}
	if prompt.Model == "" {
		return result.New(result.MalformedBody, "no model is named")
	}
	if !e.catalogue.Load().models[prompt.Model] {
		return result.New(result.UnknownModel, "no model %q", prompt.Model)
	}
	r.Target = prompt.Model
	r.Stream = options.Stream
	r.PromptTokens = uint32(engine.EstimateTokens(len(prompt.Text)))
	r.MaxTokens = uint32(prompt.MaxTokens)
	r.Prefix = prefixDigests(prompt)
	for _, part := range prompt.Parts {
		r.Parts = append(r.Parts, sched.Part{ID: part.ID, Tokens: uint32(part.Tokens)})
	}
	return nil
}

// prefixDigests returns the digests of the prompt's leading blocks.
func prefixDigests(prompt engine.Prompt) []uint64 {
	longest := min(len(prompt.Text), maxPrefixBlocks*prefixBlockTokens*engine.BytesPerToken)
	return engine.PrefixBlockHashes(prompt.Model, prompt.Text[:longest], prefixBlockTokens)
}
