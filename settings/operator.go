package settings

import (
	"fmt"
	"net/url"

	"github.com/carawaypitch/carawaypitch/result"
)

// Operator holds the settings of the command-line tools for operators.
type Operator struct {
	// Role is "operator".
	Role Role `json:"role" settings:"required"`
	// Controls holds the URLs of control instances, such as "http://10.0.0.7:8090".
	Controls []string `json:"controls" settings:"required"`
	// Key is the operator key in plain text, so the file should be readable by its owner only.
	Key string `json:"key" settings:"required"`
	// Entry is the URL of the entry instance that "carawaypitch requests" queries. If it is empty, the command uses its
	// flag or the default of that flag.
	Entry string `json:"entry"`
}

func (*Operator) expectedRole() Role { return RoleOperator }

func (o *Operator) setDefaults() { *o = Operator{Role: RoleOperator} }

func (o *Operator) derive() {}

func (o *Operator) validate(c *checker) {
	c.checkUnique("URL", o.Controls, controlPath)
	for i, text := range o.Controls {
		if !isURL(text) {
			c.report(result.SettingsBadAddress, fmt.Sprintf("controls[%d]", i), "want a URL such as \"http://10.0.0.7:8090\"")
		}
	}
	if o.Entry != "" && !isURL(o.Entry) {
		c.report(result.SettingsBadAddress, "entry", "want a URL such as \"http://10.0.0.7:8080\"")
	}
}

func isURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
}
