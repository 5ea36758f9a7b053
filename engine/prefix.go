package engine

import (
	"encoding/binary"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// BytesPerToken is the average size that is assumed to estimate a prompt's token count from its
// length in bytes.
const BytesPerToken = 4

// EstimateTokens returns the estimated number of tokens of a text of size bytes, at least 1.
func EstimateTokens(size int) int {
	return max(1, (size+BytesPerToken-1)/BytesPerToken)
}

// PrefixBlockHashes returns the hashes of the complete blocks of blockTokens tokens at the
// start of a prompt. Each hash covers the model and the prompt up to the end of its block, so
// equal hashes mean equal prefixes. It returns nil if blockTokens is not positive.
func PrefixBlockHashes(model, prompt string, blockTokens int) []uint64 {
	size := blockTokens * BytesPerToken
	if size <= 0 {
		return nil
	}
	blocks := make([]uint64, 0, len(prompt)/size)
	previous := xxhash.Sum64String(model)
	for start := 0; start+size <= len(prompt); start += size {
		previous = chainHash(previous, prompt[start:start+size])
		blocks = append(blocks, previous)
	}
	return blocks
}

func chainHash(previous uint64, block string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	digest := xxhash.New()
	_, _ = digest.Write(seed[:])
	_, _ = digest.WriteString(block)
	return digest.Sum64()
}

// Prompt holds the fields of a completion body that the scheduler and the stand-in use.
type Prompt struct {
	Model string
	// Text is the prompt, or the concatenated messages.
	Text string
	// Chat reports whether the body has messages.
	Chat bool
	// Parts are the first maxPromptParts messages; nil without messages.
	Parts []PromptPart
	// MaxTokens limits the output; 0 means no limit was given.
	MaxTokens int
}

// PromptPart is a message of a prompt. ID is a digest of its role and content, Tokens its estimated size.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// maxPromptParts bounds the parts of a prompt.
const maxPromptParts = 32

type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ParsePrompt decodes a completion or chat completion body. It fails if the body is not a JSON
// object or has neither a prompt nor messages.
func ParsePrompt(body []byte) (Prompt, error) {
	var parsed completionBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return Prompt{}, errors.Wrap(err, "completion body")
	}
	prompt := Prompt{
		Model:     parsed.Model,
		Chat:      parsed.Messages != nil,
		MaxTokens: max(parsed.MaxTokens, parsed.MaxCompletionTokens, 0),
	}
	if !prompt.Chat && parsed.Prompt == nil {
		return Prompt{}, errors.New("completion body has neither prompt nor messages")
	}
	if prompt.Chat {
		prompt.Text = joinMessages(parsed.Messages)
		prompt.Parts = promptParts(parsed.Messages)
		return prompt, nil
	}
	prompt.Text = plainText(parsed.Prompt)
	return prompt, nil
}

func promptParts(messages []chatMessage) []PromptPart {
	parts := make([]PromptPart, 0, min(len(messages), maxPromptParts))
	for _, message := range messages[:min(len(messages), maxPromptParts)] {
		content := plainText(message.Content)
		parts = append(parts, PromptPart{ID: chainHash(xxhash.Sum64String(message.Role), content), Tokens: EstimateTokens(len(content))})
	}
	return parts
}

func joinMessages(messages []chatMessage) string {
	var text strings.Builder
	for _, message := range messages {
		text.WriteString(message.Role)
		text.WriteByte(':')
		text.WriteString(plainText(message.Content))
		text.WriteByte('\n')
	}
	return text.String()
}

// plainText returns the text of a JSON string, and any other value in its encoded form, so that
// content in several parts still counts by its size.
func plainText(value json.RawMessage) string {
	var text string
	if err := json.Unmarshal(value, &text); err == nil {
		return text
	}
	return string(value)
}
