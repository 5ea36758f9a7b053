package entry

import (
	"encoding/json"
	"net/url"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/settings"
)

// servicesPath is the path prefix of calls to plain services.
const servicesPath = "/v1/services/"

// postService serves POST /v1/services/{service}/{path...}.
func (e *Entry) postService(c echo.Context) error {
	return e.serve(c, settings.KindService, func(r *sched.Request) *result.Error {
		service, path, err := splitServicePath(c.Request().URL)
		if err != nil {
			return err
		}
		return e.readServiceCall(r, service, path)
	})
}

// splitServicePath returns the service and the path at the service, escaped as the caller wrote it, with the query. A
// path with a dot segment is refused: a proxy or the service could resolve it to a different path than the one checked
// here.
func splitServicePath(u *url.URL) (service, path string, err *result.Error) {
	rest := strings.TrimPrefix(u.EscapedPath(), servicesPath)
	name, path, found := strings.Cut(rest, "/")
	service, unescapeErr := url.PathUnescape(name)
	if !found || unescapeErr != nil || service == "" {
		return "", "", result.New(result.NotFound, "")
	}
	decoded, unescapeErr := url.PathUnescape(path)
	if unescapeErr != nil || slices.ContainsFunc(strings.Split(decoded, "/"), isDotSegment) {
		return "", "", result.New(result.NotFound, "the path holds a dot segment")
	}
	path = "/" + path
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return service, path, nil
}

func isDotSegment(segment string) bool {
	return segment == "." || segment == ".."
}

func (e *Entry) readServiceCall(r *sched.Request, service, path string) *result.Error {
	if !json.Valid(r.Body) {
		return result.New(result.MalformedBody, "the body is not JSON")
	}
	if !e.catalogue.Load().services[service] {
		return result.New(result.UnknownService, "no service %q", service)
	}
	r.Target = service
	r.Path = path
	r.PromptTokens = uint32(engine.EstimateTokens(len(r.Body)))
	return nil
}
