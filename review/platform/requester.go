package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// defaultWait is how long a requester waits for an answer unless it says otherwise.
const defaultWait = 3 * time.Second

// requester sends requests on a connection that it keeps, and opens a new one when that ends. It never repeats a request.
type requester struct {
	log     *record
	address string
	key     string
	wait    time.Duration // for an answer, as sent in X-Deadline-Ms

	conn   net.Conn
	reader *bufio.Reader
}

// answer is what a requester received. The status is 0 without a whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends one request and reads its answer.
func (r *requester) send(method, host, target, attempt string, body []byte) answer {
	got := r.exchange(method, host, target, attempt, body)
	r.log.printf("requester: %s %s %s -> %d %q %v", method, target, attempt, got.status, got.body, got.err)
	return got
}

func (r *requester) exchange(method, host, target, attempt string, body []byte) answer {
	if r.wait == 0 {
		r.wait = defaultWait
	}
	if r.conn == nil {
		conn, err := net.DialTimeout("tcp", r.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		r.conn, r.reader = conn, bufio.NewReader(conn)
	}
	length := ""
	if method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = r.conn.SetDeadline(time.Now().Add(r.wait + time.Second))
	_, err := fmt.Fprintf(r.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: %s\r\n%s\r\n%s",
		method, target, host, attempt, r.wait.Milliseconds(), r.key, length, body)
	if err != nil {
		r.close()
		return answer{err: err}
	}
	response, err := http.ReadResponse(r.reader, &http.Request{Method: method})
	if err != nil {
		r.close()
		return answer{err: err}
	}
	data, err := io.ReadAll(response.Body)
	if err != nil || response.Close {
		r.close()
	}
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, header: response.Header, body: data}
}

func (r *requester) close() {
	if r.conn != nil {
		r.conn.Close()
		r.conn = nil
	}
}
