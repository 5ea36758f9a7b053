package process

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// Guards against an endpoint with a wrong status, and against a failed readiness probe that is counted as a refused
// request.
func TestRouter(t *testing.T) {
	var reason error
	errorCode := result.Code(0)
	router := NewRouter(Probes{
		Ready:        func() error { return reason },
		WriteMetrics: func(w io.Writer) { _, _ = io.WriteString(w, "one 1\n") },
	}, func(err error, c echo.Context) {
		errorCode = ResultFrom(err).Code
		_ = c.NoContent(ResultFrom(err).Status())
	})
	get := func(method, path string) (int, string) {
		recorder := httptest.NewRecorder()
		router.ServeHTTP(recorder, httptest.NewRequest(method, path, http.NoBody))
		return recorder.Code, recorder.Body.String()
	}
	for _, path := range []string{"/healthz", "/readyz"} {
		status, _ := get(http.MethodGet, path)
		require.Equal(t, http.StatusOK, status)
	}
	reason = result.New(result.Stopping, "")
	status, body := get(http.MethodGet, "/readyz")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, `"name":"stopping"`)
	require.Zero(t, errorCode, "a failed readiness probe must not be counted as a refusal")
	status, body = get(http.MethodGet, "/metrics")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "one 1\n", body)
	status, _ = get(http.MethodGet, "/none")
	require.Equal(t, http.StatusNotFound, status)
	require.Equal(t, result.NotFound, errorCode)
	status, _ = get(http.MethodPost, "/healthz")
	require.Equal(t, http.StatusMethodNotAllowed, status)
	require.Equal(t, result.MethodNotAllowed, errorCode)
}

// Guards against keys that are accepted with another scheme, or refused for the case of the scheme's name.
func TestBearerKey(t *testing.T) {
	for header, want := range map[string]string{"": "", "Bearer k": "k", "bearer k": "k", "Basic k": "", "Bearer": ""} {
		request := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
		request.Header.Set("Authorization", header)
		key, ok := BearerKey(request)
		require.Equal(t, want, key, header)
		require.Equal(t, want != "", ok, header)
	}
}
