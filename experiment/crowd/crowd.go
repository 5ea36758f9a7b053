// Package crowd plays clients that send more than a process can hold, stop short, or never come to an end, and observes what the process
// holds meanwhile.
package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/pause"
)

// reconnectPause is the time until a client that was refused or closed connects again.
const reconnectPause = 50 * time.Millisecond

// Member sends what a misbehaving client sends over one connection. It returns once it has sent everything; the connection
// then stays open until its peer closes it or the crowd is over.
type Member func(conn *Conn)

// Conn is a connection of a crowd.
type Conn struct {
	net.Conn
	Ctx context.Context // ends with the crowd
	ID  string          // of its request, different for each connection
}

// Send sends a text. It returns false if that failed.
func (c *Conn) Send(text string) bool {
	_, err := io.WriteString(c.Conn, text)
	return err == nil
}

// SendBytes sends n bytes in writes of the given size.
func (c *Conn) SendBytes(n, size int) bool {
	part := bytes.Repeat([]byte("x"), size)
	for ; n > 0 && c.Ctx.Err() == nil; n -= size {
		if _, err := c.Write(part[:min(n, size)]); err != nil {
			return false
		}
	}
	return n <= 0
}

// Repeat sends a text over and over, in writes of some 64 KiB, until it has sent n bytes.
func (c *Conn) Repeat(text string, n int) bool {
	part := []byte(strings.Repeat(text, max(1, 64<<10/len(text))))
	for ; n > 0 && c.Ctx.Err() == nil; n -= len(part) {
		if _, err := c.Write(part[:min(n, len(part))]); err != nil {
			return false
		}
	}
	return n <= 0
}

// Request is the request that a crowd sends.
type Request struct {
	Line   string                 // method and target
	Header func(id string) string // header lines, each with its end
}

// Head returns the head of the request with further header lines, without the empty line at its end.
func (r Request) Head(c *Conn, version, framed string) string {
	return r.Line + " " + version + "\r\n" + r.Header(c.ID) + framed
}

// Header lines that tell how a body ends.
const (
	ByLength = "Content-Length: %d\r\n"
	InChunks = "Transfer-Encoding: chunked\r\n"
)

// Shapes are the ways in which clients make a process hold what they send, with requests whose bodies may have the given size in bytes.
func Shapes(request Request, body int) map[string]Member {
	length := func(announced, sent int) Member {
		return func(c *Conn) {
			_ = c.Send(request.Head(c, "HTTP/1.1", fmt.Sprintf(ByLength, announced))+"\r\n") && c.SendBytes(sent, 256<<10)
		}
	}
	chunks := func(size, total int) Member {
		text := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
		return func(c *Conn) {
			_ = c.Send(request.Head(c, "HTTP/1.1", InChunks)+"\r\n") && c.Repeat(text, total/size*len(text))
		}
	}
	endless := func(framed, start, part string, total int) Member {
		return func(c *Conn) { _ = c.Send(request.Head(c, "HTTP/1.1", framed)+start) && c.Repeat(part, total) }
	}
	return map[string]Member{
		"a byte short":              length(body, body-1),
		"whole":                     length(body, body),
		"half of what is announced": length(body, body/2),
		"head alone":                length(body, 0),
		"1 GiB announced":           length(1<<30, 64<<20),
		"2^60 bytes announced":      length(1<<60, 64<<20),
		"slow pieces": func(c *Conn) {
			if !c.Send(request.Head(c, "HTTP/1.1", fmt.Sprintf(ByLength, body)) + "\r\n") {
				return
			}
			for sent := 0; sent < body-64<<10 && c.SendBytes(64<<10, 64<<10); sent += 64 << 10 {
				pause.For(c.Ctx, 80*time.Millisecond)
			}
		},
		"HTTP/1.0, a byte short": func(c *Conn) {
			_ = c.Send(request.Head(c, "HTTP/1.0", fmt.Sprintf(ByLength, body))+"\r\n") && c.SendBytes(body-1, 256<<10)
		},
		"expect, a byte short": func(c *Conn) {
			if !c.Send(request.Head(c, "HTTP/1.1", fmt.Sprintf(ByLength, body)+"Expect: 100-continue\r\n") + "\r\n") {
				return
			}
			if response, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && response.StatusCode == http.StatusContinue {
				_ = c.SendBytes(body-1, 256<<10)
			}
		},
		"half-closed": func(c *Conn) {
			if c.Send(request.Head(c, "HTTP/1.1", fmt.Sprintf(ByLength, body))+"\r\n") && c.SendBytes(body-1, 256<<10) {
				network.CloseWrite(c.Conn)
			}
		},
		"reset in a row": func(c *Conn) {
			_ = c.Send(request.Head(c, "HTTP/1.1", fmt.Sprintf(ByLength, body))+"\r\n") && c.SendBytes(body/4, 64<<10)
			network.Reset(c.Conn)
		},
		"chunks of 256 KiB, stopping short": chunks(256<<10, body-256<<10),
		"chunks of 64 KiB, over the limit":  chunks(64<<10, 64<<20),
		"chunks of one byte":                chunks(1, body-1),
		"a chunk over the limit": func(c *Conn) {
			first := body - 1<<10
			_ = c.Send(request.Head(c, "HTTP/1.1", InChunks)+fmt.Sprintf("\r\n%x\r\n", first)) && c.SendBytes(first, 256<<10) &&
				c.Send(fmt.Sprintf("\r\n%x\r\n", first)) && c.SendBytes(first-1, 256<<10)
		},
		"chunk extension without an end": endless(InChunks, "\r\n4;x=", "x", 64<<20),
		"chunk size without an end":      endless(InChunks, "\r\n", "0", 64<<20),
		"trailers without an end":        endless(InChunks, "\r\n4\r\nbody\r\n0\r\n", "X-More: more\r\n", 64<<20),
		"heads stopping short":           endless("X-Long: ", "", "x", 15<<10),
		"head without an end":            endless("", "", "X-More: more\r\n", 64<<20),
		"header line without an end":     endless("X-Long: ", "", "x", 64<<20),
		"request line without an end":    func(c *Conn) { _ = c.Send("GET /") && c.Repeat("x", 64<<20) },
		"pipelined, answers unread": func(c *Conn) {
			_ = c.Repeat(request.Head(c, "HTTP/1.1", fmt.Sprintf(ByLength, 2<<10))+"\r\n"+strings.Repeat("x", 2<<10), 64<<20)
		},
		"no request": func(*Conn) {},
	}
}

// Dial returns a function that connects to an address.
func Dial(address string) func(context.Context) (net.Conn, error) {
	return func(ctx context.Context) (net.Conn, error) {
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	}
}

// Run lets clients send over a number of connections until ctx ends. A client that is refused or closed connects again.
func Run(ctx context.Context, dial func(context.Context) (net.Conn, error), connections int, member Member) {
	var group sync.WaitGroup
	for i := range connections {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				conn, err := dial(ctx)
				if err != nil {
					pause.For(ctx, reconnectPause)
					continue
				}
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
				member(&Conn{Conn: conn, Ctx: ctx, ID: fmt.Sprintf("crowd-%d-%d-%d", os.Getpid(), i, n)})
				awaitClose(ctx, conn)
				stop()
				_ = conn.Close()
				pause.For(ctx, reconnectPause)
			}
		})
	}
	group.Wait()
}

// awaitClose waits until the peer closes a connection, of which it reads a byte now and then only, or until ctx ends.
func awaitClose(ctx context.Context, conn net.Conn) {
	one := make([]byte, 1)
	for {
		if _, err := conn.Read(one); err != nil || !pause.For(ctx, reconnectPause) {
			return
		}
	}
}
