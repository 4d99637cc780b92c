package hub

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/checkpoint"
	"turmericdrum.org/turmericdrum/pkg/serving/journal"
	"turmericdrum.org/turmericdrum/pkg/serving/presence"
	"turmericdrum.org/turmericdrum/pkg/serving/quarantine"
)

const (
	// checkpointInterval is the time between two checkpoints.
	checkpointInterval = time.Second
	// checkpointFiles is the number of files that are written in turn. A power loss
	// damages at most the one that is being written.
	checkpointFiles = 2
)

// checkpointer stores checkpoints of a hub in its data folder. It has its own goroutine, so
// that a disk that hangs delays nothing else.
type checkpointer struct {
	h    *Hub
	disk journal.Disk
	// sequence is that of the last checkpoint.
	sequence uint64
	failing  bool
}

func checkpointName(sequence uint64) string {
	return fmt.Sprintf("%scheckpoint-%d", journal.AuxiliaryPrefix, sequence%checkpointFiles)
}

// keepCheckpoints restores the last checkpoint, and writes new ones until ctx is canceled.
func (h *Hub) keepCheckpoints(ctx context.Context) {
	c := &checkpointer{h: h}
	c.restore()
	every(ctx, checkpointInterval, c.save)
}

func (c *checkpointer) restore() {
	disk, err := c.openDisk()
	if err != nil {
		klog.ErrorS(err, "Checkpoint not read", "folder", c.h.DataFolder)
		return
	}
	var stored [][]byte
	for n := range uint64(checkpointFiles) {
		if b, err := disk.Read(checkpointName(n)); err == nil {
			stored = append(stored, b)
		}
	}
	wall := time.Now()
	last := checkpoint.Newest(stored, wall)
	if last == nil {
		klog.InfoS("No checkpoint that can be used", "folder", c.h.DataFolder, "files", len(stored))
		return
	}
	c.sequence = last.GetSequence()
	c.h.applyCheckpoint(last, wall)
}

// openDisk opens the data folder. The hub also works on the file system if no disk was set.
func (c *checkpointer) openDisk() (journal.Disk, error) {
	if c.disk != nil {
		return c.disk, nil
	}
	disk, err := c.h.OpenDisk(c.h.DataFolder)
	if err != nil {
		return nil, err
	}
	c.disk = disk
	return disk, nil
}

// applyCheckpoint adds what a checkpoint holds to what the hub knows already.
func (h *Hub) applyCheckpoint(c *schema.HubCheckpoint, wall time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	for _, r := range checkpoint.Engines(now, c, wall) {
		h.directory.Observe(now, r)
	}
	age := checkpoint.StateAge(c, wall)
	if newerState(c.GetState(), h.state) {
		h.rollouts.observe(now, c.GetState())
		h.state, h.blocks = c.GetState(), quarantine.BlocksFromWire(c.GetState().GetBlocks())
	}
	if !h.everConfirmed {
		h.everConfirmed, h.confirmedAt = true, now-age
	}
	h.notify()
	klog.InfoS("Checkpoint restored", "sequence", c.GetSequence(), "revision", c.GetState().GetRevision(), "version", c.GetState().GetConfig().GetVersion(),
		"state_age", age, "engines", len(c.GetEngines()))
}

// save writes a checkpoint. Before the replica has stored its identity, the data folder
// must stay empty.
func (c *checkpointer) save() {
	if c.h.replica.current().State().Self == (serving.ReplicaID{}) {
		return
	}
	next := c.h.checkpoint(c.sequence + 1)
	if next == nil {
		return
	}
	err := c.write(next)
	if err == nil {
		c.sequence = next.GetSequence()
		checkpointsWritten.Add(1)
	} else {
		checkpointsFailed.Add(1)
	}
	if failing := err != nil; failing != c.failing {
		c.failing = failing
		klog.InfoS("Checkpoints changed", "folder", c.h.DataFolder, "failing", failing, "err", err)
	}
}

func (c *checkpointer) write(next *schema.HubCheckpoint) error {
	data, err := checkpoint.Encode(next)
	if err != nil {
		return err
	}
	disk, err := c.openDisk()
	if err != nil {
		return err
	}
	f, err := disk.Create(checkpointName(next.GetSequence()))
	if err != nil {
		return serving.WrapError(err, serving.KindStorage, "create the checkpoint")
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return serving.WrapError(err, serving.KindStorage, "write the checkpoint")
	}
	return nil
}

// checkpoint returns what the hub knows now, or nil while it knows no configuration.
func (h *Hub) checkpoint(sequence uint64) *schema.HubCheckpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	h.observeConfirmation(now)
	if h.state.GetConfig() == nil || !h.everConfirmed {
		return nil
	}
	var engines []*schema.EngineRecord
	h.directory.ForEach(func(e *presence.EngineStatus) { engines = append(engines, e.ToWire(now)) })
	return checkpoint.New(sequence, time.Now(), h.state, now-h.confirmedAt, engines)
}
