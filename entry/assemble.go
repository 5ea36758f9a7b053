package entry

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Object names of the completion format.
const (
	objectChat       = "chat.completion"
	objectCompletion = "text_completion"
	chatPathSuffix   = "/chat/completions"
)

// chunk is one event of an engine's stream, for chat and text completions.
type chunk struct {
	ID                string              `json:"id"`
	Created           int64               `json:"created"`
	Model             string              `json:"model"`
	SystemFingerprint string              `json:"system_fingerprint"`
	Choices           []chunkChoice       `json:"choices"`
	Usage             *engine.Usage       `json:"usage"`
	Error             *engine.ErrorDetail `json:"error"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Text         string     `json:"text"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	ToolCalls []toolCall `json:"tool_calls"`
}

// toolCall is a tool call requested by the model, or a fragment of one, identified by its index.
type toolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// completion is the complete answer object.
type completion struct {
	ID                string       `json:"id"`
	Object            string       `json:"object"`
	Created           int64        `json:"created"`
	Model             string       `json:"model"`
	SystemFingerprint string       `json:"system_fingerprint,omitempty"`
	Choices           []choice     `json:"choices"`
	Usage             engine.Usage `json:"usage"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	LogProbs     *string  `json:"logprobs"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

// assembler builds a completion object from the events of one answer.
type assembler struct {
	chat     bool
	first    chunk
	hasFirst bool
	choices  []*choiceText
	usage    *engine.Usage
}

type choiceText struct {
	role         string
	text         strings.Builder
	toolCalls    []toolCall
	finishReason *string
}

// maxChoices bounds the choices of an answer, maxToolCalls the tool calls of a choice.
const (
	maxChoices   = 128
	maxToolCalls = 128
)

// assemble builds the completion object from the events of a complete answer. It returns an error for an event that is
// not in the completion format. Log probabilities are omitted: they are only passed on in streams.
func assemble(path string, events [][]byte, end *wire.AnswerEnd) ([]byte, error) {
	a := &assembler{chat: strings.HasSuffix(path, chatPathSuffix)}
	for _, event := range events {
		if err := a.add(event); err != nil {
			return nil, err
		}
	}
	if !a.hasFirst {
		return nil, errors.New("answer without events")
	}
	return json.Marshal(a.completion(end))
}

func (a *assembler) add(event []byte) error {
	var c chunk
	if err := json.Unmarshal(event, &c); err != nil {
		return errors.Wrap(err, "decode event")
	}
	if c.Error != nil {
		return errors.Errorf("error event: %s", c.Error.Type)
	}
	if !a.hasFirst {
		a.first, a.hasFirst = c, true
	}
	if c.Usage != nil {
		a.usage = c.Usage
	}
	for i := range c.Choices {
		if err := a.addChoice(&c.Choices[i]); err != nil {
			return err
		}
	}
	return nil
}

func (a *assembler) addChoice(c *chunkChoice) error {
	if c.Index < 0 || c.Index >= maxChoices {
		return errors.Errorf("choice index %d out of range", c.Index)
	}
	for len(a.choices) <= c.Index {
		a.choices = append(a.choices, &choiceText{})
	}
	to := a.choices[c.Index]
	if c.Delta.Role != "" {
		to.role = c.Delta.Role
	}
	to.text.WriteString(c.Text)
	to.text.WriteString(c.Delta.Content)
	if c.FinishReason != nil {
		to.finishReason = c.FinishReason
	}
	return to.addTools(c.Delta.ToolCalls)
}

// addTools merges fragments of tool calls by their index.
func (c *choiceText) addTools(parts []toolCall) error {
	for _, part := range parts {
		if part.Index < 0 || part.Index >= maxToolCalls {
			return errors.Errorf("tool call index %d out of range", part.Index)
		}
		for len(c.toolCalls) <= part.Index {
			c.toolCalls = append(c.toolCalls, toolCall{Index: len(c.toolCalls)})
		}
		to := &c.toolCalls[part.Index]
		to.ID += part.ID
		to.Function.Name += part.Function.Name
		to.Function.Arguments += part.Function.Arguments
		if part.Type != "" {
			to.Type = part.Type
		}
	}
	return nil
}

func (a *assembler) completion(end *wire.AnswerEnd) *completion {
	completed := &completion{
		ID:                a.first.ID,
		Object:            objectCompletion,
		Created:           a.first.Created,
		Model:             a.first.Model,
		SystemFingerprint: a.first.SystemFingerprint,
		Choices:           make([]choice, 0, len(a.choices)),
		Usage:             a.tokens(end),
	}
	if a.chat {
		completed.Object = objectChat
	}
	for i, c := range a.choices {
		completed.Choices = append(completed.Choices, a.choice(i, c))
	}
	return completed
}

func (a *assembler) choice(index int, c *choiceText) choice {
	text := c.text.String()
	built := choice{Index: index, FinishReason: c.finishReason}
	if !a.chat {
		built.Text = &text
		return built
	}
	role := c.role
	if role == "" {
		role = "assistant"
	}
	built.Message = &message{Role: role, Content: text, ToolCalls: c.toolCalls}
	return built
}

// tokens returns the engine's own usage if an event carried it, otherwise the agent's counts.
func (a *assembler) tokens(end *wire.AnswerEnd) engine.Usage {
	if a.usage != nil {
		return *a.usage
	}
	prompt, output := int(end.GetPromptTokens()), int(end.GetOutputTokens())
	return engine.Usage{
		PromptTokens:     prompt,
		CompletionTokens: output,
		TotalTokens:      prompt + output,
		PromptDetails:    engine.PromptDetails{CachedTokens: int(end.GetCachedTokens())},
	}
}
