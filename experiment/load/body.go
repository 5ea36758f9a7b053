package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/settings"
)

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionBody struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt,omitempty"`
	Messages  []chatMessage `json:"messages,omitempty"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
}

// write gives a request its body and key.
func (g *generator) write(a *Arrival) {
	if a.Key != "" {
		a.Key = fmt.Sprintf("%s-%d-%06d", g.scenario.Name, g.plan.Seed, a.Number)
	}
	random := g.random(streamBody, uint64(a.Number))
	if a.Class.Kind == settings.KindService {
		a.Body = serviceBody(a, random)
		return
	}
	prefix, rest := g.texts(a, random)
	body := completionBody{Model: g.model(a), MaxTokens: a.OutputTokens, Stream: a.Stream}
	if strings.HasSuffix(a.Path, "/chat/completions") {
		body.Messages = []chatMessage{{"system", prefix}, {"user", rest}}
	} else {
		body.Prompt = prefix + rest
	}
	a.Body = marshal(body)
}

func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types here always have a JSON form
	}
	return data
}

func (g *generator) model(a *Arrival) string {
	return g.plan.Servers[g.plan.PoolOf(g.plan.Mix[a.Work])[0]].Serves
}

// chatOverhead is the bytes that the roles of two messages add to a prompt.
const chatOverhead = len("system:\nuser:\n")

// texts returns the shared beginning and the rest of a prompt. The beginning is one of the work's, chosen at random;
// the rest begins with the request's number, so that no two prompts are the same.
func (g *generator) texts(a *Arrival, random *rand.Rand) (prefix, rest string) {
	w := g.plan.Mix[a.Work]
	if shared := w.SharedTokens(); shared > 0 {
		number := random.IntN(w.Prefixes)
		source := g.random(streamPrefix, uint64(a.Work), uint64(number))
		prefix = words(source, shared*engine.BytesPerToken)
	}
	rest = fmt.Sprintf("%d of %s: ", a.Number, g.plan.Organisations[a.Organisation].Name)
	missing := a.PromptTokens*engine.BytesPerToken - len(prefix) - len(rest) - chatOverhead
	return prefix, rest + words(random, missing)
}

// words returns letters and spaces of so many bytes.
func words(random *rand.Rand, size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz "
	var text strings.Builder
	for range max(size, 0) {
		text.WriteByte(letters[random.IntN(len(letters))])
	}
	return text.String()
}

func serviceBody(a *Arrival, random *rand.Rand) []byte {
	body := struct {
		Pass string `json:"pass"`
		Note string `json:"note"`
	}{Pass: fmt.Sprintf("P-%06d", a.Number)}
	body.Note = words(random, a.PromptTokens*engine.BytesPerToken-len(marshal(body)))
	return marshal(body)
}
