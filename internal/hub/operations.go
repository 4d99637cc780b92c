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
	// proposeTimeout is slightly less than the second after which an operator's client
	// tries another host.
	proposeTimeout = 900 * time.Millisecond
	// votersTimeout is how long after its start a leader waits for the required voters.
	// It then accepts changes with the existing ones, because a deployment may have
	// fewer hosts.
	votersTimeout = 10 * time.Second
)

// PutConfig replaces the routing configuration, unless the current version is the same
// or higher. It returns once the change is durable at a quorum and applied here. An
// error of kind not_leader has the leader's base URL in Detail.
func (h *Hub) PutConfig(ctx context.Context, version uint64, document []byte) error {
	packed, err := deployment.Compress(document)
	if err != nil {
		return err
	}
	return h.propose(ctx, deployment.PutConfig(version, packed), "put config", version)
}

// SetOutOfService takes a data centre out of service or brings it back. Errors are those of
// PutConfig.
func (h *Hub) SetOutOfService(ctx context.Context, dc serving.DataCentreID, out bool) error {
	return h.propose(ctx, deployment.SetOutOfService(dc, out), "set data centre "+string(dc), out)
}

func (h *Hub) propose(ctx context.Context, command []byte, change string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	start := h.Clock.Now()
	err := h.checkVoters(start)
	if err == nil {
		_, err = h.replica.current().Propose(ctx, command)
	}
	klog.InfoS("Change proposed by an operator", "change", change, "value", value, "took", h.Clock.Now()-start, "err", err)
	return err
}

// checkVoters returns an error if this hub isn't the leader, or if the loss of the
// tolerated number of disks could lose a change.
func (h *Hub) checkVoters(now time.Duration) error {
	s := h.replica.current().State()
	if !s.Leading {
		return serving.NewError(serving.KindNotLeader, "this hub does not lead").WithDetail(s.Leader)
	}
	if s.Voters() < h.requiredVoters() && now-h.started < votersTimeout {
		return serving.NewError(serving.KindNoQuorum, "the voters are not complete yet").WithRetryAfter(joinInterval)
	}
	return nil
}

// Config returns the latest accepted configuration document and its version, which is
// 0 if there is none. An error of kind not_leader has the leader's base URL in Detail.
func (h *Hub) Config(ctx context.Context) (document []byte, version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	node := h.replica.current()
	if s := node.State(); !s.Leading {
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

// LeaderControlAddress returns the control address of the leader, whose base URL is
// base. If the leader has not reported it, it is derived from the host in base and this
// hub's port, because all hubs use the same control port. The result is empty if base
// has no host.
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

// State returns the latest deployment state that this hub has published. It must not be
// modified.
func (h *Hub) State() *schema.DeploymentState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// AddHubs adds the base URLs of hubs, for example after a change of the settings. Hubs
// that are already known are ignored.
func (h *Hub) AddHubs(addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, address := range addresses {
		h.addPeer(&schema.HubAddress{Address: address})
	}
}
