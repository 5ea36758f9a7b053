package capacity

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"

	"github.com/go-faster/errors"
)

// farSideVariable is set in the environment of a far side.
const farSideVariable = "CARAWAYPITCH_CAPACITY_FAR_SIDE"

// IsFarSide tells whether this process was started as a far side. It must then call ServeFarSide and end.
func IsFarSide() bool { return os.Getenv(farSideVariable) != "" }

// Order asks a far side for something. Do names it; the other fields are by need.
type Order struct {
	Do        string
	Count     int      // how many to start
	First     int      // number of the first
	Controls  []string // link addresses of control instances
	Addresses []string // of what is dialled, or told of
	Name      string   // instance that is dialled
	Version   uint64   // configuration version that is awaited
	Rate      float64  // a second
	Seconds   float64  // duration
	Tokens    int      // output tokens of each request; 0 means a service call
	Keyed     bool     // requests with an Idempotency-Key
	Folder    string   // for journals
	Leads     bool     // the control instances may lead
}

// Reply answers an order.
type Reply struct {
	Addresses []string
	Operators []string // base URLs for operators
	UnixNano  int64    // moment
	Count     int      // of what the order is about; messages about room for doUsage
	Failed    int
	CPU       int64   // nanoseconds of processor time of the far side so far
	Memory    float64 // bytes
	Error     string
}

// FarSide is a far side as its starter sees it. One order is under way at a time.
type FarSide struct {
	cmd     *exec.Cmd
	orders  io.WriteCloser
	encoder *json.Encoder
	decoder *json.Decoder
}

// StartFarSide starts this program again as a far side. Stop must follow.
func StartFarSide() (*FarSide, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), farSideVariable+"=1")
	cmd.Stderr = os.Stderr
	orders, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	replies, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	f := &FarSide{cmd: cmd, orders: orders, encoder: json.NewEncoder(orders), decoder: json.NewDecoder(replies)}
	return f, cmd.Start()
}

// Do gives an order and waits for the reply.
func (f *FarSide) Do(o Order) (Reply, error) {
	if err := f.encoder.Encode(o); err != nil {
		return Reply{}, errors.Wrap(err, o.Do)
	}
	var r Reply
	if err := f.decoder.Decode(&r); err != nil {
		return Reply{}, errors.Wrap(err, o.Do)
	}
	if r.Error != "" {
		return r, errors.Errorf("far side: %s: %s", o.Do, r.Error)
	}
	return r, nil
}

// Stop ends the far side and waits for it.
func (f *FarSide) Stop() error {
	if err := f.orders.Close(); err != nil {
		return err
	}
	return f.cmd.Wait()
}

// ServeFarSide carries out orders until they end. What the orders started ends with the process.
func ServeFarSide(orders io.Reader, replies io.Writer) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	side := &side{ctx: ctx}
	decoder, encoder := json.NewDecoder(orders), json.NewEncoder(replies)
	for {
		var o Order
		err := decoder.Decode(&o)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		r, err := side.carryOut(o)
		if err != nil {
			r.Error = err.Error()
		}
		if err := encoder.Encode(r); err != nil {
			return err
		}
	}
}
