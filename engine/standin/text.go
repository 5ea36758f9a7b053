package standin

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaypitch/carawaypitch/engine"
)

// words are the tokens. None needs JSON escaping.
var words = strings.Fields(`
	the a to of and in for with on at by from permit garden pass stall site county route packet review reply note
	form fee date month owner vendor market load yard gate trailer scale green branch leaf soil bin bag truck
	north south east west open closed valid later early small large first second third new old full part copy`)

// promptHash returns a hash of everything that the text of an answer depends on.
func promptHash(prompt engine.Prompt) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(prompt.Model)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt.Text)
	return digest.Sum64()
}

// token returns token number index of the answer to a prompt.
func token(hash uint64, index int) string {
	word := words[hashNumbers("token", hash, uint64(index))%uint64(len(words))]
	if index == 0 {
		return word
	}
	return " " + word
}

// CompletionText returns the first count tokens of the answer to a completion body, which is
// the same on every stand-in; model is used for a body that names none. It fails if body is not
// a completion body.
func CompletionText(body []byte, model string, count int) (string, error) {
	prompt, err := engine.ParsePrompt(body)
	if err != nil {
		return "", err
	}
	prompt.Model = orDefault(prompt.Model, model)
	return text(promptHash(prompt), count), nil
}

func text(hash uint64, count int) string {
	var joined strings.Builder
	for index := range count {
		joined.WriteString(token(hash, index))
	}
	return joined.String()
}

// Finish reasons.
const (
	finishLength = "length"
	finishStop   = "stop"
)

// outputLength returns the length of an answer in tokens and its finish reason.
func (o Options) outputLength(prompt engine.Prompt, hash uint64) (tokens int, reason string) {
	if prompt.MaxTokens > 0 {
		return prompt.MaxTokens, finishLength
	}
	spread := uint64(o.MaxOutput - o.MinOutput + 1)
	return o.MinOutput + int(hashNumbers("length", hash)%spread), finishStop
}
