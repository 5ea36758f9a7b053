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

func TestRouter(t *testing.T) {
	var reason error
	refused := result.Code(0)
	router := NewRouter(Probes{
		Ready:        func() error { return reason },
		WriteMetrics: func(w io.Writer) { _, _ = io.WriteString(w, "one 1\n") },
	}, func(err error, c echo.Context) {
		refused = ResultFrom(err).Code
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
	require.Zero(t, refused, "not being ready is no refusal")
	status, body = get(http.MethodGet, "/metrics")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "one 1\n", body)
	status, _ = get(http.MethodGet, "/none")
	require.Equal(t, http.StatusNotFound, status)
	require.Equal(t, result.NotFound, refused)
	status, _ = get(http.MethodPost, "/healthz")
	require.Equal(t, http.StatusMethodNotAllowed, status)
	require.Equal(t, result.MethodNotAllowed, refused)
}

func TestBearerKey(t *testing.T) {
	for header, want := range map[string]string{"": "", "Bearer k": "k", "bearer k": "k", "Basic k": "", "Bearer": ""} {
		request := httptest.NewRequest(http.MethodGet, "/", http.NoBody)
		request.Header.Set("Authorization", header)
		key, ok := BearerKey(request)
		require.Equal(t, want, key, header)
		require.Equal(t, want != "", ok, header)
	}
}
