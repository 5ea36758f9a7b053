package engine

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/network/memory"
)

// cutAnswer is a call and an answer to it that may be cut.
type cutAnswer struct {
	call   func(ctx context.Context, h *HTTP, sink Sink) error
	status string
	header string
	body   string
}

// cutAnswers returns each call of the protocol with its answers.
func cutAnswers() map[string]cutAnswer {
	run := func(kind Kind, suspended bool) func(context.Context, *HTTP, Sink) error {
		request := Request{ID: "r.1", Kind: kind, Path: "/p", Body: []byte("{}")}
		if suspended {
			request.Resume, request.ResumeTokens = &Suspension{Handle: "h1", Events: 1}, 1
		}
		return func(ctx context.Context, h *HTTP, sink Sink) error {
			outcome, err := h.Run(ctx, request, sink)
			if err != nil && (outcome.End != EndUnknown || outcome.NotStarted) {
				return fmt.Errorf("an error with the outcome %+v", outcome)
			}
			return err
		}
	}
	const token = `data: {"choices":[{"text":"a"}]}` + "\n\n"
	const stream = "Content-Type: text/event-stream\r\n"
	const asJSON = "Content-Type: application/json\r\n"
	refused := func(kind string) string { return `{"error":{"type":"` + kind + `","message":"m","started":false}}` }
	return map[string]cutAnswer{
		"service":             {run(KindService, false), "200 OK", asJSON, `{"a": [1, 2]}`},
		"service, no body":    {run(KindService, false), "204 No Content", "", ""},
		"service, refused":    {run(KindService, false), "503 Service Unavailable", asJSON, refused(TypeNotReady)},
		"model":               {run(KindModel, false), "200 OK", stream, token + token + "data: [DONE]\n\n"},
		"model, in one piece": {run(KindModel, false), "200 OK", asJSON, `{"choices":[{"text":"a"}]}`},
		"model, refused":      {run(KindModel, false), "503 Service Unavailable", asJSON, refused(TypeNotReady)},
		"model, duplicate":    {run(KindModel, false), "409 Conflict", asJSON, refused(TypeDuplicate)},
		"resumed":             {run(KindModel, true), "200 OK", stream, token + "data: [DONE]\n\n"},
		"resumed, unknown":    {run(KindModel, true), "404 Not Found", asJSON, refused(TypeUnknownStream)},
		"resume": {func(ctx context.Context, h *HTTP, s Sink) error {
			_, err := h.Resume(ctx, "r.1", 1, nil, s)
			return err
		}, "200 OK", stream, token + "data: [DONE]\n\n"},
		"cancel":                 {func(ctx context.Context, h *HTTP, _ Sink) error { _, err := h.Cancel(ctx, "r.1"); return err }, "200 OK", asJSON, `{"id":"r.1","state":"cancelled"}`},
		"cancel, unknown":        {func(ctx context.Context, h *HTTP, _ Sink) error { _, err := h.Cancel(ctx, "r.1"); return err }, "404 Not Found", asJSON, refused(TypeUnknownStream)},
		"streams":                {func(ctx context.Context, h *HTTP, _ Sink) error { _, err := h.Streams(ctx); return err }, "200 OK", asJSON, `{"streams":[]}`},
		"export":                 {func(ctx context.Context, h *HTTP, _ Sink) error { _, err := h.ExportKV(ctx, "r.1"); return err }, "200 OK", "", `"kv"`},
		"import":                 {func(ctx context.Context, h *HTTP, _ Sink) error { return h.ImportKV(ctx, "r.1", []byte("kv")) }, "204 No Content", "", ""},
		"load":                   {func(ctx context.Context, h *HTTP, _ Sink) error { _, err := h.Load(ctx); return err }, "200 OK", asJSON, `{"slots":4}`},
		"cache events":           {func(ctx context.Context, h *HTTP, _ Sink) error { _, err := h.CacheEvents(ctx, 1); return err }, "200 OK", asJSON, `{"events":[]}`},
		"order":                  {func(ctx context.Context, h *HTTP, _ Sink) error { _, err := h.Order(ctx, Order{Fence: 1}); return err }, "202 Accepted", asJSON, `{"state":"done","fence":1}`},
		"suspend":                {func(ctx context.Context, h *HTTP, _ Sink) error { _, err := h.Suspend(ctx, "r.1", nil); return err }, "200 OK", asJSON, `{"handle":"h1","events":3}`},
		"suspend, no room":       {func(ctx context.Context, h *HTTP, _ Sink) error { _, err := h.Suspend(ctx, "r.1", nil); return err }, "503 Service Unavailable", asJSON, refused(TypeNoRoom)},
		"suspend, unknown":       {func(ctx context.Context, h *HTTP, _ Sink) error { _, err := h.Suspend(ctx, "r.1", nil); return err }, "404 Not Found", asJSON, refused(TypeUnknownStream)},
		"discard":                {func(ctx context.Context, h *HTTP, _ Sink) error { return h.Discard(ctx, Suspension{Handle: "h1"}) }, "204 No Content", "", ""},
		"discard, unknown":       {func(ctx context.Context, h *HTTP, _ Sink) error { return h.Discard(ctx, Suspension{Handle: "h1"}) }, "404 Not Found", asJSON, refused(TypeUnknownStream)},
		"service, no such route": {run(KindService, false), "404 Not Found", "Content-Type: text/plain\r\n", `"no route"`},
	}
}

// framed returns the bytes of an answer in each framing, each with the length of its head. Half of them follow an interim answer.
func (a cutAnswer) framed() map[string]struct {
	text string
	head int
} {
	all := make(map[string]struct {
		text string
		head int
	})
	add := func(name, interim, header, body string) {
		head := interim + "HTTP/1.1 " + a.status + "\r\n" + header + "\r\n"
		all[name] = struct {
			text string
			head int
		}{head + body, len(head)}
	}
	if strings.HasPrefix(a.status, "204") {
		add("no body", "", "", "")
		add("no body after 100", "HTTP/1.1 100 Continue\r\n\r\n", "", "")
		return all
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(a.body), a.body)
	add("length", "", a.header+length, a.body)
	add("chunks", "HTTP/1.1 100 Continue\r\n\r\n", a.header+"Transfer-Encoding: chunked\r\n", chunks)
	add("connection", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", a.header, a.body)
	return all
}

// cutPeer answers each call with the given bytes, after which it ends the connection. Calls of the path /first get a whole answer.
type cutPeer struct {
	listener net.Listener
	tls      *tls.Config
	end      func(net.Conn) // instead of closing the connection, which follows
	calls    atomic.Int32
	part     atomic.Pointer[string]
}

func (p *cutPeer) start(t *testing.T) {
	t.Cleanup(func() { _ = p.listener.Close() })
	go func() {
		for {
			conn, err := p.listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
}

func (p *cutPeer) serve(raw net.Conn) {
	// Without the closing alert of TLS.
	defer func() { _ = raw.Close() }()
	conn := raw
	if p.tls != nil {
		conn = tls.Server(raw, p.tls)
	}
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path == "/first" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		p.calls.Add(1)
		_, _ = io.WriteString(conn, *p.part.Load())
		if p.end != nil {
			p.end(raw)
		}
		return
	}
}

// cutEverywhere cuts an answer at each byte and returns the number of cuts. What is cut may give none of the results that the whole
// answer may give.
func (p *cutPeer) cutEverywhere(t *testing.T, client *HTTP, name string, answer cutAnswer, kept bool) int {
	t.Helper()
	cuts := 0
	for framing, framed := range answer.framed() {
		for n := range len(framed.text) {
			if kept {
				_, err := client.Run(t.Context(), Request{ID: "f.1", Kind: KindService, Path: "/first"}, new(countingSink))
				require.NoError(t, err)
			}
			part := framed.text[:n]
			p.part.Store(&part)
			before := p.calls.Load()
			sink := new(countingSink)
			err := answer.call(t.Context(), client, sink)
			label := fmt.Sprintf("%s, %s, cut at %d (head %d): %q", name, framing, n, framed.head, part)
			require.EqualValues(t, 1, p.calls.Load()-before, "%s: the call reaches the server once", label)
			if n >= framed.head && isWholeEarly(framing, part[framed.head:], answer) {
				continue
			}
			require.ErrorIs(t, err, ErrOutcomeUnknown, label)
			for _, class := range []error{ErrNeverSent, ErrRefused, ErrUnknownStream, ErrNoRoom, ErrBusy, ErrDuplicate, ErrUnsupported} {
				require.NotErrorIs(t, err, class, label)
			}
			require.Zero(t, sink.answers, label)
			if n < framed.head {
				require.Zero(t, sink.chunks, label)
			}
			cuts++
		}
	}
	return cuts
}

// isWholeEarly reports whether a stream has its end marker already, whose framing vouches for nothing.
func isWholeEarly(framing, body string, answer cutAnswer) bool {
	return framing != "length" && strings.Contains(answer.header, ContentTypeStream) && strings.Contains(body, "data: [DONE]\n\n")
}

// someCalls are those whose cuts are played in each way.
func someCalls() map[string]cutAnswer {
	some, all := make(map[string]cutAnswer), cutAnswers()
	for _, name := range []string{"service", "service, no body", "model", "resumed", "suspend, no room"} {
		some[name] = all[name]
	}
	return some
}

// startOverTCP starts a peer and returns it with its client. trusted is nil without TLS.
func startOverTCP(t *testing.T, peer *cutPeer, trusted *x509.CertPool) (*cutPeer, *HTTP) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peer.listener = listener
	peer.start(t)
	scheme := "http://"
	if trusted != nil {
		scheme = "https://"
	}
	client, err := NewHTTP(scheme+listener.Addr().String(), HTTPOptions{})
	require.NoError(t, err)
	t.Cleanup(client.Close)
	client.transport.TLSClientConfig = &tls.Config{RootCAs: trusted, CurvePreferences: []tls.CurveID{tls.X25519}}
	return peer, client
}

// Guards against an answer that is taken for whole, for a refusal, for a proof that a run has ended or for a reason to send a call
// again, though its server broke it off: each call, each framing, each byte of head and body, with an end of the connection or a
// stall until the call's time is over, on new and kept connections.
func TestAnswerCutAtAnyByteIsUnknown(t *testing.T) {
	for _, test := range []struct {
		name  string
		calls map[string]cutAnswer
		end   func(net.Conn)
		kept  bool
		bound time.Duration
	}{
		{name: "close", calls: someCalls(), bound: time.Hour},
		{name: "close of a kept connection", calls: cutAnswers(), kept: true, bound: time.Hour},
		{name: "stall", calls: cutAnswers(), end: func(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) }, bound: time.Second},
	} {
		cuts := 0
		for name, answer := range test.calls {
			synctest.Test(t, func(t *testing.T) {
				hosts := memory.New()
				listener, err := hosts.Host("10.0.0.2").Listen("10.0.0.2:0")
				require.NoError(t, err)
				peer := &cutPeer{listener: listener, end: test.end}
				peer.start(t)
				client, err := NewHTTP("http://"+listener.Addr().String(), HTTPOptions{Network: hosts.Host("10.0.0.1")})
				require.NoError(t, err)
				defer client.Close()
				bounded := answer
				bounded.call = func(ctx context.Context, h *HTTP, sink Sink) error {
					ctx, cancel := context.WithTimeout(ctx, test.bound)
					defer cancel()
					return answer.call(ctx, h, sink)
				}
				cuts += peer.cutEverywhere(t, client, name+", "+test.name, bounded, test.kept)
			})
		}
		t.Logf("%s: %d cuts", test.name, cuts)
	}
}

// Guards against the same where the connection is reset or half-closed.
func TestAnswerCutAtAnyByteByResetOrHalfCloseIsUnknown(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"reset":      func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) },
		"half-close": func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite(); _, _ = conn.Read(make([]byte, 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peer, client := startOverTCP(t, &cutPeer{end: end}, nil)
			cuts := 0
			for call, answer := range someCalls() {
				cuts += peer.cutEverywhere(t, client, call, answer, false)
			}
			t.Logf("%d cuts", cuts)
		})
	}
}

// Guards against the end of a TCP connection that is taken for the end of an answer over TLS: without a closing alert it isn't one,
// but crypto/tls reports it as io.EOF between two records.
func TestAnswerCutAtAnyByteOverTLSIsUnknown(t *testing.T) {
	certificate, trusted := newCertificate(t)
	peer, client := startOverTCP(t, &cutPeer{tls: &tls.Config{Certificates: []tls.Certificate{certificate}}}, trusted)
	cuts := 0
	for _, call := range []string{"service", "model"} {
		cuts += peer.cutEverywhere(t, client, call, someCalls()[call], false)
	}
	t.Logf("%d cuts", cuts)
}

// newCertificate returns a self-signed certificate of the loopback address and a pool that trusts it.
func newCertificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	parsed, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}
