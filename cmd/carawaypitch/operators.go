package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/operator"
	"github.com/carawaypitch/carawaypitch/settings"
)

// Environment variables that set the defaults of the operators' flags.
const (
	controlEnv = "CARAWAYPITCH_CONTROL"
	keyEnv     = "CARAWAYPITCH_OPERATOR_KEY"
)

// defaultControl is the control URL used when neither a flag, the environment nor the settings file gives one.
const defaultControl = "http://127.0.0.1:8090"

// operatorFlags are the flags that the operators' commands share.
type operatorFlags struct {
	settings string // settings file of role operator
	control  string // URLs of control instances, separated by commas
	key      string // operator key
	json     bool   // print JSON instead of a table
}

// register defines the flags, with the environment variables as defaults.
func (f *operatorFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.settings, "settings", "", "settings file of role operator: control instances and key")
	flags.StringVar(&f.control, "control", os.Getenv(controlEnv), "URLs of control instances, separated by commas (default "+defaultControl+")")
	flags.StringVar(&f.key, "key", os.Getenv(keyEnv), "operator key")
	flags.BoolVar(&f.json, "json", false, "print JSON instead of a table")
}

// client returns a client for the control instances. Values missing from the flags come from the settings file; it is an
// error if neither has an operator key.
func (f *operatorFlags) client() (*operator.Client, error) {
	if f.settings != "" {
		loaded, err := settings.Load[settings.Operator](f.settings)
		if err != nil {
			return nil, err
		}
		if f.control == "" {
			f.control = strings.Join(loaded.Controls, ",")
		}
		if f.key == "" {
			f.key = loaded.Key
		}
	}
	if f.control == "" {
		f.control = defaultControl
	}
	if f.key == "" {
		return nil, errors.Errorf("no operator key: give -key, -settings or %s", keyEnv)
	}
	return operator.New(strings.Split(f.control, ","), f.key, nil), nil
}

// print writes v to standard output as JSON, or as a table of tab-separated cells written by the given function.
func (f *operatorFlags) print(v any, table func(w io.Writer)) error {
	if f.json {
		return printJSON(os.Stdout, v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// percent formats a share between 0 and 1 as a percentage with three significant digits.
func percent(share float64) string {
	return fmt.Sprintf("%.3g%%", share*100)
}
