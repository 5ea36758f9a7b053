package agent

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// callOrder makes one order call and reports whether the order is done. It returns false without an error while the
// order is in progress, and after a failed call whose effect is unknown.
func callOrder(ctx context.Context, client engine.Client, order *wire.Order) (bool, error) {
	kind, err := engineOrderKind(order.GetKind())
	if err != nil {
		return false, err
	}
	callCtx, stop := context.WithTimeout(ctx, engineCallTimeout)
	defer stop()
	answer, err := client.Order(callCtx, engine.Order{
		Fence: order.GetFence(),
		Kind:  kind,
		Model: order.GetModel(),
		Role:  order.GetRole(),
	})
	if err != nil {
		return false, orderFailure(err)
	}
	return isOrderDone(answer)
}

func engineOrderKind(kind wire.OrderKind) (engine.OrderKind, error) {
	switch kind {
	case wire.OrderKind_ORDER_KIND_LOAD:
		return engine.OrderLoad, nil
	case wire.OrderKind_ORDER_KIND_UNLOAD:
		return engine.OrderUnload, nil
	case wire.OrderKind_ORDER_KIND_ROLE:
		return engine.OrderRole, nil
	default:
		return "", result.New(result.OrderRefused, "the order's kind %d is not known", kind)
	}
}

// isOrderDone reports whether the engine's answer says that the order is done. It returns an error if the engine
// refused.
func isOrderDone(answer engine.OrderResult) (bool, error) {
	switch answer.State {
	case engine.OrderDone:
		return true, nil
	case engine.OrderRunning:
		return false, nil
	case engine.OrderStale:
		return false, result.New(result.FenceTooOld, "the engine has seen fence number %d", answer.Fence)
	case engine.OrderBusy:
		return false, result.New(result.ServerBusy, "")
	default:
		return false, result.New(result.OrderRefused, "the engine refused: %s", answer.Message)
	}
}

// orderFailure converts the error of a failed order call. It returns nil if the order is to be sent again, because the
// engine may have accepted it or may recover. Sending an order again is idempotent: the answer gives its progress.
func orderFailure(err error) error {
	switch {
	case errors.Is(err, engine.ErrUnsupported):
		return result.Wrap(err, result.OrderRefused, "the engine takes no orders")
	case errors.Is(err, engine.ErrRefused), errors.Is(err, engine.ErrInvalid):
		return result.Wrap(err, result.OrderRefused, "")
	default:
		return nil
	}
}
