package dev

import (
	"fmt"
	"io"
)

// Info holds the addresses and keys of a sample deployment. `dev -json` prints its JSON form on one line.
type Info struct {
	Entries       []string           `json:"entries"`  // URLs for callers
	Controls      []string           `json:"controls"` // URLs for operators
	Agents        []string           `json:"agents"`   // URLs of the agents' HTTP interface
	Engines       []string           `json:"engines"`  // URLs of the stand-ins
	OperatorKey   string             `json:"operator_key"`
	Organisations []OrganisationInfo `json:"organisations"`
	Models        []string           `json:"models"`
	Services      []string           `json:"services"`
}

// OrganisationInfo is a sample organisation with its caller key.
type OrganisationInfo struct {
	Name string `json:"name"`
	Key  string `json:"key"`
}

// Print writes the addresses, the keys and sample commands as text.
func (i Info) Print(w io.Writer) error {
	p := printer{w: w}
	p.line("carawaypitch dev: ready")
	p.line("")
	for n, url := range i.Entries {
		p.line("entry %d       %s", n+1, url)
	}
	for _, url := range i.Controls {
		p.line("control       %s", url)
	}
	p.line("operator key  %s", i.OperatorKey)
	for _, o := range i.Organisations {
		p.line("caller key    %s  (organisation %s)", o.Key, o.Name)
	}
	p.line("")
	key, entry := i.Organisations[0].Key, i.Entries[0]
	if len(i.Models) > 0 {
		p.line("A completion:")
		p.line(`  curl -s %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model": "%s", "messages": [{"role": "user", "content": "Summarise the tipping rules."}]}'`, entry, key, i.Models[0])
		p.line("The same as a stream:")
		p.line(`  curl -sN %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model": "%s", "stream": true, "messages": [{"role": "user", "content": "Summarise the tipping rules."}]}'`, entry, key, i.Models[0])
	}
	if len(i.Services) > 0 {
		p.line("A gate check at the registry service:")
		p.line(`  curl -s %s/v1/services/%s/check -H 'Authorization: Bearer %s' -H 'Carawaypitch-Class: gate-check' -d '{"pass": "ZG-1"}'`, entry, i.Services[0], key)
		p.line("A pass issuance, which runs at most once for its key:")
		p.line(`  curl -s %s/v1/services/%s/issue -H 'Authorization: Bearer %s' -H 'Carawaypitch-Class: pass-issue' -H 'Idempotency-Key: first' -d '{"pass": "ZG-2"}'`, entry, i.Services[0], key)
	}
	if len(i.Controls) > 0 {
		p.line("The operators' view (without the binary: go run ./cmd/carawaypitch status ...):")
		p.line("  carawaypitch status -control %s -key %s", i.Controls[0], i.OperatorKey)
		p.line("Where your requests stand, with a caller key:")
		p.line("  carawaypitch requests -entry %s -key %s", entry, key)
	}
	p.line("")
	p.line("Ctrl-C stops it.")
	return p.err
}

// printer writes lines until the first error, which it keeps.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}
