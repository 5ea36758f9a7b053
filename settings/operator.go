package settings

import (
	"fmt"
	"net/url"

	"github.com/carawaypitch/carawaypitch/result"
)

// Operator is the settings of the operators' commands.
type Operator struct {
	// Role is "operator".
	Role Role `json:"role" settings:"required"`
	// Controls are the URLs of control instances, such as "http://10.0.0.7:8090".
	Controls []string `json:"controls" settings:"required"`
	// Key is the operator key. The file should be readable by its owner only.
	Key string `json:"key" settings:"required"`
	// Entry is the URL of the entry that "carawaypitch requests" asks. Empty: its flag or default.
	Entry string `json:"entry"`
}

func (*Operator) expectedRole() Role { return RoleOperator }

func (o *Operator) setDefaults() { *o = Operator{Role: RoleOperator} }

func (o *Operator) derive() {}

func (o *Operator) validate(c *checker) {
	c.unique("URL", o.Controls, controlPath)
	for i, text := range o.Controls {
		if !isURL(text) {
			c.add(result.SettingsBadAddress, fmt.Sprintf("controls[%d]", i), "want a URL such as \"http://10.0.0.7:8090\"")
		}
	}
	if o.Entry != "" && !isURL(o.Entry) {
		c.add(result.SettingsBadAddress, "entry", "want a URL such as \"http://10.0.0.7:8080\"")
	}
}

func isURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
}
