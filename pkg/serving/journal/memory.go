package journal

import (
	"errors"
	"io/fs"
	"maps"
	"slices"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Errors returned by a MemoryDisk with injected faults.
var (
	ErrDiskFull   = errors.New("no space left on device (injected)")
	ErrSyncFailed = errors.New("sync failed (injected)")
)

// MemoryDisk is a Disk in memory that can inject faults. It is not safe for
// concurrent use.
type MemoryDisk struct {
	// Capacity is the maximum total size of the files in bytes; 0 means no limit.
	Capacity int
	// FailSyncs makes every sync of a file fail.
	FailSyncs bool
	// IgnoreSyncs makes syncs succeed without making anything durable.
	IgnoreSyncs bool

	// files are the current files by name, and durable those at the last sync of the
	// folder. The content that is durable is memoryFile.synced.
	files   map[string]*memoryFile
	durable map[string]*memoryFile
	locked  bool
	syncs   int
}

type memoryFile struct {
	disk   *MemoryDisk
	data   []byte
	synced []byte
}

// NewMemoryDisk returns an empty disk.
func NewMemoryDisk() *MemoryDisk {
	return &MemoryDisk{files: map[string]*memoryFile{}, durable: map[string]*memoryFile{}}
}

// Crash simulates a power loss. It discards everything that was not synced, with two
// exceptions: a random number of the bytes appended to a file since its last sync
// remain, and the last of these may be corrupted; and each creation, rename or removal
// since the last sync of the folder may remain independently of the others. It releases
// the lock.
func (d *MemoryDisk) Crash(random serving.Random) {
	d.locked = false
	current := d.files
	d.files = maps.Clone(d.durable)
	names := maps.Clone(d.durable)
	maps.Copy(names, current)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		f, kept := current[name]
		if f == d.durable[name] || random.IntN(2) == 0 {
			continue
		}
		if kept {
			d.files[name] = f
		} else {
			delete(d.files, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		f := d.files[name]
		// Copies ensure that writes through files that were open at the crash do not
		// change the disk.
		persisted := slices.Clone(f.synced)
		if tail := len(f.data) - len(persisted); tail > 0 {
			persisted = append(persisted, f.data[len(persisted):len(persisted)+random.IntN(tail+1)]...)
			if len(persisted) > len(f.synced) && random.IntN(2) == 0 {
				persisted[len(persisted)-1] ^= 0x40
			}
		}
		d.files[name] = &memoryFile{disk: d, data: persisted, synced: slices.Clone(persisted)}
	}
	d.durable = maps.Clone(d.files)
}

// Kill simulates the end of the process that uses the disk. The files stay as they are,
// whether they were synced or not. It releases the lock.
func (d *MemoryDisk) Kill() { d.locked = false }

// Corrupt inverts a bit of a stored byte.
func (d *MemoryDisk) Corrupt(name string, offset int) {
	f := d.files[name]
	f.data[offset] ^= 1
	f.synced = slices.Clone(f.data)
}

// Syncs returns the number of file syncs so far.
func (d *MemoryDisk) Syncs() int { return d.syncs }

// Lock implements Disk.
func (d *MemoryDisk) Lock() (func() error, error) {
	if d.locked {
		return nil, serving.NewError(serving.KindConflict, "the memory disk is in use")
	}
	d.locked = true
	return func() error { d.locked = false; return nil }, nil
}

// Names implements Disk.
func (d *MemoryDisk) Names() ([]string, error) { return slices.Sorted(maps.Keys(d.files)), nil }

// Read implements Disk.
func (d *MemoryDisk) Read(name string) ([]byte, error) {
	f, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

// Create implements Disk.
func (d *MemoryDisk) Create(name string) (File, error) {
	f := &memoryFile{disk: d}
	d.files[name] = f
	return f, nil
}

// Rename implements Disk.
func (d *MemoryDisk) Rename(from, to string) error {
	f, ok := d.files[from]
	if !ok {
		return fs.ErrNotExist
	}
	d.files[to] = f
	delete(d.files, from)
	return nil
}

// Remove implements Disk.
func (d *MemoryDisk) Remove(name string) error {
	delete(d.files, name)
	return nil
}

// SyncFolder implements Disk.
func (d *MemoryDisk) SyncFolder() error {
	if !d.IgnoreSyncs {
		d.durable = maps.Clone(d.files)
	}
	return nil
}

// Write implements io.Writer.
func (f *memoryFile) Write(p []byte) (int, error) {
	if f.disk.Capacity > 0 {
		used := 0
		for _, other := range f.disk.files {
			used += len(other.data)
		}
		if free := max(f.disk.Capacity-used, 0); len(p) > free {
			f.data = append(f.data, p[:free]...)
			return free, ErrDiskFull
		}
	}
	f.data = append(f.data, p...)
	return len(p), nil
}

// Sync implements File.
func (f *memoryFile) Sync() error {
	f.disk.syncs++
	if f.disk.FailSyncs {
		return ErrSyncFailed
	}
	if !f.disk.IgnoreSyncs {
		// Appended bytes never change, so data and synced can share an array.
		f.synced = f.data[:len(f.data):len(f.data)]
	}
	return nil
}

// Close implements io.Closer.
func (f *memoryFile) Close() error { return nil }
