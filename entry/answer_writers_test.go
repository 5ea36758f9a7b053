package entry

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// writerCalls are the names of methods and functions that write to a caller, or complete an answer to one.
var writerCalls = map[string]bool{
	"Write": true, "WriteString": true, "WriteHeader": true, "Flush": true, "FlushError": true, "ReadFrom": true, "WriteTo": true,
	"WriteHead": true, "WriteBody": true, "Complete": true, "Hijack": true, "WritePrometheus": true,
	"JSON": true, "JSONBlob": true, "JSONPretty": true, "Blob": true, "Stream": true, "NoContent": true, "HTML": true,
	"io.Copy": true, "io.CopyN": true, "io.CopyBuffer": true, "io.WriteString": true,
	"fmt.Fprint": true, "fmt.Fprintf": true, "fmt.Fprintln": true, "http.Error": true, "http.Redirect": true, "http.ServeContent": true,
}

// answerWriters are the functions that write bytes of backend servers' answers to callers.
var answerWriters = []string{
	// Verbatim answers: relay decides, answerWriter writes.
	"entry/verbatim.go relay w.Complete",
	"entry/verbatim.go writeAnswerHead w.WriteHead",
	"entry/verbatim.go writeBody to.WriteBody",
	"platform/callers.go WriteHead a.control.Flush",
	"platform/callers.go WriteHead a.w.WriteHeader",
	"platform/callers.go WriteBody a.control.Flush",
	"platform/callers.go WriteBody a.w.Write",
	// The own protocol.
	"entry/reply.go flush w.control.Flush",
	"entry/reply.go startStream w.c.Response().WriteHeader",
	"entry/reply.go write w.c.Response().Write",
	"entry/reply.go writeResponse c.Response().Write",
	"entry/reply.go writeResponse c.Response().WriteHeader",
	// The end of an answer that is broken off.
	"process/break_off.go BreakOff control.Hijack",
}

// otherWriters write nothing of backend servers' answers to callers.
var otherWriters = []string{
	"entry/assemble.go addChoice to.text.WriteString",
	"entry/caller_conn.go writePart c.Conn.Write",
	"entry/discard_body.go discardBody io.CopyN",
	"entry/http_models.go getModels c.JSON",
	"entry/http_requests.go getRequest c.JSON",
	"entry/http_requests.go getRequests c.JSON",
	"entry/inflight_keys.go digestOf h.Write",
	"entry/outcome.go addToStream k.stream.Write",
	"entry/outcome.go addToStream k.stream.WriteString",
	"entry/request_conn.go Close io.Copy",
	"entry/request_conn.go Write c.Conn.Write",
	"entry/request_conn.go refuseHead io.WriteString",
	"platform/callers.go discardBody io.Copy",
	"platform/callers.go refuse io.WriteString",
	"platform/callers.go refuse w.WriteHeader",
	"platform/callers.go serveReadiness e.Metrics().WritePrometheus",
	"platform/callers.go serveReadiness http.Error",
	"platform/operators.go deleteServer c.JSON",
	"platform/operators.go getDesired c.JSONBlob",
	"platform/operators.go putDesired c.JSON",
	"platform/operators.go putServer c.JSON",
	"platform/operators.go writeError c.JSON",
	"platform/rollouts.go getRollout c.JSON",
	"platform/rollouts.go startRollout c.JSON",
	"process/process.go getHealth c.JSON",
	"process/process.go getMetrics c.Blob",
	"process/process.go getReady c.JSON",
}

// Guards against another way to a caller that passes by the judgement of an answer's beginning, order and end: each function of the
// packages between servers and callers that writes is listed.
func TestWritersOfAnswersAreListed(t *testing.T) {
	found := make(map[string]bool)
	eachSource(t, []string{"entry", "platform", "process"}, func(file, function string, node ast.Node) bool {
		if call, ok := node.(*ast.CallExpr); ok {
			name := types.ExprString(call.Fun)
			selector, isMethod := call.Fun.(*ast.SelectorExpr)
			if writerCalls[name] || isMethod && writerCalls[selector.Sel.Name] && !strings.HasPrefix(name, "http.") {
				found[file+" "+function+" "+name] = true
			}
		}
		return true
	})
	listed := slices.Concat(answerWriters, otherWriters)
	for writer := range found {
		assert.Contains(t, listed, writer, "a writer that isn't listed")
	}
	for _, writer := range listed {
		assert.Contains(t, found, writer, "a listed writer that isn't there")
	}
}

// Guards against a body of a backend server's answer that is read past the judgement of its end. Closing a body, and dropping the rest
// of one that was judged, reads nothing that is passed on.
func TestBodiesOfAnswersAreReadInOnePlace(t *testing.T) {
	allowed := map[string]bool{
		"engine/http_stream.go closeBody response.Body": true,
	}
	eachSource(t, []string{"agent", "engine", "entry", "platform"}, func(file, function string, node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if inner, ok := selector.X.(*ast.SelectorExpr); ok && inner.Sel.Name == "Body" && selector.Sel.Name == "Close" {
			return false
		}
		name := types.ExprString(selector)
		if selector.Sel.Name == "Body" && strings.HasPrefix(strings.ToLower(name), "resp") {
			assert.True(t, allowed[file+" "+function+" "+name], "%s %s reads %s", file, function, name)
		}
		return true
	})
}

// eachSource calls visit with each node of each function in the packages' own sources.
func eachSource(t *testing.T, packages []string, visit func(file, function string, node ast.Node) (descend bool)) {
	t.Helper()
	for _, name := range packages {
		files, err := fs.Glob(os.DirFS(".."), name+"/*.go")
		require.NoError(t, err)
		require.NotEmpty(t, files)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join("..", file), nil, parser.SkipObjectResolution)
			require.NoError(t, err)
			for _, declaration := range parsed.Decls {
				if function, ok := declaration.(*ast.FuncDecl); ok {
					ast.Inspect(function, func(node ast.Node) bool {
						return node != nil && visit(file, function.Name.Name, node)
					})
				}
			}
		}
	}
}
