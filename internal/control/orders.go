package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
	"turmericdrum.org/turmericdrum/pkg/serving/fleet"
	"turmericdrum.org/turmericdrum/pkg/serving/registry"
)

// orderInterval is the time between two comparisons of the desired and the reported
// state.
const orderInterval = time.Second

// engineOrders is the controller that sends orders to engines while this replica
// leads. It runs on one goroutine.
type engineOrders struct {
	server     *Server
	clock      serving.Clock
	reconciler *fleet.Reconciler
	// entryClient calls entries with the cluster key; engineClient calls engines
	// without a key.
	entryClient, engineClient *http.Client
	board                     board
	// preferredEntry is the index in the entry list of the entry that is queried
	// first, the last one that answered.
	preferredEntry int
	// orderedAt has the time of the last order to each engine. The engine is read
	// back until fleet.DefaultOrderTimeout after that time.
	orderedAt map[serving.EngineID]time.Duration
}

// engineOrder is the JSON form of an order to an engine.
type engineOrder struct {
	FencingNumber uint64          `json:"fencing_number"`
	Command       fleet.Command   `json:"command"`
	Model         serving.ModelID `json:"model,omitempty"`
	Version       serving.Version `json:"version,omitempty"`
	Adapter       string          `json:"adapter,omitempty"`
	Role          string          `json:"role,omitempty"`
}

// ordersInForce is an engine's answer to a read-back, a request for the state that
// orders have set.
type ordersInForce struct {
	FencingNumber uint64            `json:"fencing_number"`
	Models        []engine.ModelRef `json:"models"`
	Adapters      []string          `json:"adapters"`
	Role          string            `json:"role"`
}

// run compares the desired with the reported state and sends orders until ctx ends.
func (o *engineOrders) run(ctx context.Context) {
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.step(ctx)
		}
	}
}

func (o *engineOrders) step(ctx context.Context) {
	b := o.newBlackboard(ctx)
	o.board.current.Store(b)
	if !b.Leading {
		o.reconciler.StepDown()
		clear(o.orderedAt)
		return
	}
	o.reconciler.StartEpoch(o.clock.Now(), b.Epoch)
	for _, order := range o.reconciler.Reconcile(o.clock.Now(), b.Want, b.Engines) {
		o.orderedAt[order.Engine] = order.IssuedAt
		if err := o.send(ctx, b, order); err != nil {
			klog.InfoS("Order not sent", "engine", order.Engine, "command", order.Command, "fencing", order.Fencing, "err", err)
			continue
		}
		o.server.events.add(eventOrderSent, "", "engine", string(order.Engine), "command", string(order.Command),
			"model", string(order.Model.Model), "fencing", strconv.FormatUint(order.Fencing, 10))
		klog.InfoS("Order sent", "engine", order.Engine, "command", order.Command, "model", order.Model.Model, "fencing", order.Fencing)
	}
}

// newBlackboard reads the current state. It returns an empty blackboard if this
// replica has no valid lease or the state cannot be read. The epoch stays the same
// for as long as this replica leads, unless its fencing numbers are used up.
func (o *engineOrders) newBlackboard(ctx context.Context) *Blackboard {
	old := o.board.load()
	if !o.leaseValid(ctx) {
		return &Blackboard{}
	}
	b := &Blackboard{Leading: true, Epoch: old.Epoch}
	if !old.Leading || o.reconciler.NeedsEpoch() {
		epoch, err := o.newEpoch(ctx)
		if err != nil {
			return &Blackboard{}
		}
		b.Epoch = epoch
	}
	v, err := registry.NewView(o.server.Machine.ConfigView(0))
	if err != nil {
		klog.ErrorS(err, "Failed to decode the configuration")
		return &Blackboard{}
	}
	b.Want = desiredState(v)
	b.Engines, b.Addresses = o.readEngines(ctx, v)
	o.readBackEngines(ctx, b)
	return b
}

// newEpoch commits an empty command and returns the commit index after it, which is
// larger than every epoch of this or an earlier leader.
func (o *engineOrders) newEpoch(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, orderInterval)
	defer cancel()
	if _, err := o.server.Log.Propose(ctx, nil); err != nil {
		return 0, err
	}
	return o.server.Replica.Status().GetCommitIndex(), nil
}

func (o *engineOrders) leaseValid(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, orderInterval)
	defer cancel()
	return o.server.Log.ReadBarrier(ctx) == nil
}

// readBackEngines reads back the engines that were sent an order within the last
// fleet.DefaultOrderTimeout and replaces their announced state with the result.
func (o *engineOrders) readBackEngines(ctx context.Context, b *Blackboard) {
	now := o.clock.Now()
	for i := range b.Engines {
		e := &b.Engines[i]
		if at, ok := o.orderedAt[e.ID]; !ok || now-at > fleet.DefaultOrderTimeout {
			delete(o.orderedAt, e.ID)
			continue
		}
		if err := o.readBackEngine(ctx, b, e); err != nil {
			level := klog.Level(1)
			if answer.IsMalformed(err) {
				level = 0
			}
			klog.V(level).InfoS("Failed to read back an engine", "engine", e.ID, "err", err)
		}
	}
}

// readBackEngine replaces the models, adapters and role of an engine with those in its
// answer to a read-back.
func (o *engineOrders) readBackEngine(ctx context.Context, b *Blackboard, e *fleet.Engine) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	sentAt := o.clock.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Addresses[string(e.ID)]+"/v1/orders", nil)
	if err != nil {
		return err
	}
	res, err := o.engineClient.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReadBack))
	if err != nil {
		return err
	}
	var in ordersInForce
	if err := json.Unmarshal(body, &in); err != nil || res.StatusCode != http.StatusOK {
		return serving.NewError(serving.KindEngineFailed, fmt.Sprintf("the engine answered the read-back with status %d or an invalid body", res.StatusCode))
	}
	e.Models = nil
	for _, m := range in.Models {
		e.Models = append(e.Models, fleet.ModelVersion{Model: o.canonicalModel(m.Model), Version: m.Version})
	}
	e.Adapters, e.Role, e.ReportRequestedAt = in.Adapters, in.Role, sentAt
	return nil
}

func (o *engineOrders) canonicalModel(m serving.ModelID) serving.ModelID {
	if id, ok := o.server.Machine.Resolve(schema.ObjectKind_OBJECT_KIND_MODEL, string(m)); ok {
		return serving.ModelID(id)
	}
	return m
}

// send reads back the engine, checks the lease and the order again and sends the
// order. The call is cancelled fleet.DefaultMaxFlight after the order was issued, so
// that the order is no longer in flight when the quiet period of a later leader
// ends. During its quiet period, a leader sends no orders to engines that do not
// check fencing numbers.
func (o *engineOrders) send(ctx context.Context, b *Blackboard, order fleet.Order) error {
	remaining := order.IssuedAt + fleet.DefaultMaxFlight - o.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	e := findEngine(b.Engines, order.Engine)
	if e != nil {
		if err := o.readBackEngine(ctx, b, e); err != nil {
			return err
		}
	}
	valid := o.leaseValid(ctx)
	if err := o.reconciler.Check(o.clock.Now(), order, valid, e); err != nil {
		return err
	}
	body, err := json.Marshal(engineOrder{
		FencingNumber: order.Fencing, Command: order.Command, Model: order.Model.Model,
		Version: order.Model.Version, Adapter: order.Adapter, Role: order.Role,
	})
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Addresses[string(order.Engine)]+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := o.engineClient.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxReadBack)); answer.IsMalformed(err) {
		return err
	}
	if res.StatusCode/100 != 2 {
		return serving.NewError(serving.KindEngineFailed, fmt.Sprintf("the engine answered the order with status %d", res.StatusCode))
	}
	return nil
}

func findEngine(engines []fleet.Engine, id serving.EngineID) *fleet.Engine {
	for i := range engines {
		if engines[i].ID == id {
			return &engines[i]
		}
	}
	return nil
}
