package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/network/memory"
	"github.com/carawaypitch/carawaypitch/result"
)

// Guards against a reply that is taken for whole, or for a final refusal, though the control instance ended inside its head or body:
// each framing, each byte.
func TestCutReplyIsNotFinal(t *testing.T) {
	hosts := memory.New()
	listener, err := hosts.Host("10.0.0.2").Listen("10.0.0.2:0")
	require.NoError(t, err)
	defer listener.Close()
	parts := make(chan string)
	go func() {
		for part := range parts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// The whole request fits into one read.
			_, _ = conn.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(conn, part)
			conn.Close()
		}
	}()
	defer close(parts)
	transport := network.SingleSend{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return hosts.Host("10.0.0.1").Dial(ctx, address)
		},
	}}
	client := New([]string{"http://" + listener.Addr().String()}, "key", transport)
	refusal, err := json.Marshal(result.New(result.UnknownRoute, "m"))
	require.NoError(t, err)
	cuts := 0
	for status, body := range map[string]string{
		"200 OK":        `{"version":7}`,
		"404 Not Found": string(refusal),
	} {
		for _, whole := range []string{
			fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body),
			fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", status, len(body), body),
			fmt.Sprintf("HTTP/1.1 %s\r\nConnection: close\r\n\r\n%s", status, body),
		} {
			for n := range len(whole) + 1 {
				parts <- whole[:n]
				var out Change
				err := client.attempt(t.Context(), client.controls[0], apiCall{method: http.MethodPut, path: "/v1/x", body: []byte("{}")}, &out)
				if n == len(whole) {
					require.True(t, err == nil || isFinal(err), "the whole reply: %v", err)
					break
				}
				require.Error(t, err, "cut at %d: %q", n, whole[:n])
				require.False(t, isFinal(err), "cut at %d: %q: %v", n, whole[:n], err)
				cuts++
			}
		}
	}
	t.Logf("%d cuts", cuts)
}
