package control

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/process"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// readChange reads the headers of a change. The digest covers the whole request: the method, the path, the version and
// message, which is the decoded body. A body that differs only in white space or in the order of its fields is
// therefore the same request.
func readChange(call echo.Context, message proto.Message) (*wire.OperatorChange, error) {
	version, err := readIfMatch(call)
	if err != nil {
		return nil, err
	}
	id := call.Request().Header.Get(headerChangeID)
	if id == "" {
		return nil, result.New(result.ChangeIDMissing, "")
	}
	if len(id) > maxChangeID {
		return nil, result.New(result.BadHeader, "Change-Id is longer than %d bytes", maxChangeID)
	}
	digest, err := requestDigest(call, version, message)
	if err != nil {
		return nil, err
	}
	return &wire.OperatorChange{Operator: operatorOf(call), ChangeId: id, Digest: digest, IfMatch: version}, nil
}

// maxChangeID bounds a Change-Id, in bytes.
const maxChangeID = 200

// readIfMatch accepts a version as a plain number or as an entity tag.
func readIfMatch(call echo.Context) (uint64, error) {
	text := strings.TrimSpace(call.Request().Header.Get(headerIfMatch))
	if text == "" {
		return 0, result.New(result.IfMatchMissing, "")
	}
	version, err := strconv.ParseUint(strings.Trim(strings.TrimPrefix(text, "W/"), `"`), 10, 64)
	if err != nil {
		return 0, result.New(result.BadHeader, "If-Match isn't a version: a whole number, 0 for a new class")
	}
	return version, nil
}

func requestDigest(call echo.Context, version uint64, message proto.Message) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "")
	}
	h := sha256.New()
	_, _ = io.WriteString(h, call.Request().Method+" "+call.Request().URL.Path+"\n")
	_ = binary.Write(h, binary.LittleEndian, version)
	_, _ = h.Write(data)
	return h.Sum(nil), nil
}

// bodyRoomTimeout bounds the wait for room for a body.
const bodyRoomTimeout = time.Second

// readBody reads a whole body of at most maxOperatorBody bytes.
func readBody(call echo.Context) ([]byte, error) {
	data, err := process.ReadBody(call, maxOperatorBody, time.Now().Add(bodyRoomTimeout))
	if result.Is(err, result.OverMemoryShare) {
		return nil, err
	}
	if err != nil {
		return nil, result.Wrap(err, result.BodyTooLarge, "the body can't be read, or is larger than %d bytes", maxOperatorBody)
	}
	return data, nil
}

func setETag(call echo.Context, version uint64) {
	call.Response().Header().Set(headerETag, `"`+formatUint(version)+`"`)
}

func formatUint(n uint64) string {
	return strconv.FormatUint(n, 10)
}
