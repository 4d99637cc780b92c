package hub

import (
	"context"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/deployment"
)

const (
	// proposeTimeout is a little below the second after which an operator asks
	// another host.
	proposeTimeout = 900 * time.Millisecond
	// fewVotersAfter is how long a leader waits for enough voters before it accepts
	// changes with those there are: a deployment may have fewer hosts.
	fewVotersAfter = 10 * time.Second
)

// PutConfig puts a routing configuration in force, unless a higher version is.
// It returns once that is durable at a quorum and applied here. An error of kind
// not_leader names the leader's base URL in Detail.
func (h *Hub) PutConfig(ctx context.Context, version uint64, document []byte) error {
	packed, err := deployment.Compress(document)
	if err != nil {
		return err
	}
	return h.propose(ctx, deployment.PutConfig(version, packed), "put config", version)
}

// SetOut takes a data centre out of service or brings it back.
func (h *Hub) SetOut(ctx context.Context, dc serving.DataCentreID, out bool) error {
	return h.propose(ctx, deployment.SetOutOfService(dc, out), "set data centre "+string(dc), out)
}

func (h *Hub) propose(ctx context.Context, command []byte, what string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	start := h.Clock.Now()
	err := h.enoughVoters(start)
	if err == nil {
		_, err = h.replica.current().Propose(ctx, command)
	}
	klog.InfoS("Operator's change", "change", what, "value", value, "took", h.Clock.Now()-start, "err", err)
	return err
}

// enoughVoters returns an error while a change could be lost with the tolerated
// number of disks.
func (h *Hub) enoughVoters(now time.Duration) error {
	s := h.replica.current().State()
	if !s.Leads {
		return serving.NewError(serving.KindNotLeader, "this hub does not lead").WithDetail(s.Leader)
	}
	voters := 0
	for _, m := range s.Members {
		if m.Voter {
			voters++
		}
	}
	if voters < h.wantedVoters() && now-h.started < fewVotersAfter {
		return serving.NewError(serving.KindNoQuorum, "the voters are not complete yet").WithRetryAfter(joinInterval)
	}
	return nil
}

// Config returns the newest accepted configuration document and its version, 0
// if there is none. An error of kind not_leader names the leader.
func (h *Hub) Config(ctx context.Context) (document []byte, version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	node := h.replica.current()
	if s := node.State(); !s.Leads {
		return nil, 0, serving.NewError(serving.KindNotLeader, "this hub does not lead").WithDetail(s.Leader)
	}
	if err := node.ReadBarrier(ctx); err != nil {
		return nil, 0, err
	}
	state := h.replica.state()
	if state.GetConfig() == nil {
		return nil, 0, nil
	}
	document, err = deployment.Decompress(state.GetConfig())
	return document, state.GetConfig().GetVersion(), err
}

// LeaderControlAddress returns the control address of the hub with a base URL.
// Hubs serve the same port on every host.
func (h *Hub) LeaderControlAddress(base string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.peers[base]; p != nil && p.hub.GetControlAddress() != "" {
		return p.hub.GetControlAddress()
	}
	host := string(hostOf(base))
	if host == "" {
		return ""
	}
	return host + h.ControlAddress[strings.LastIndexByte(h.ControlAddress, ':'):]
}

// State returns the newest deployment state that this hub has served.
func (h *Hub) State() *schema.DeploymentState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// AddHubs makes further hubs known, as when the settings name others.
func (h *Hub) AddHubs(addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, address := range addresses {
		h.addPeer(&schema.HubAddress{Address: address})
	}
}
