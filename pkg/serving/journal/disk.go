package journal

import (
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/gofrs/flock"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Disk is a folder of files without subfolders. A file's content is durable after
// File.Sync. Creations, renames and removals of files are durable after
// SyncFolder.
type Disk interface {
	// Lock locks the folder for this process until the returned function is called.
	Lock() (unlock func() error, err error)
	// Names returns the names of all files in ascending order, without the lock
	// file.
	Names() ([]string, error)
	Read(name string) ([]byte, error)
	// Create creates an empty file for appending, or empties an existing one.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncFolder() error
}

// File is a file open for appending.
type File interface {
	io.WriteCloser
	Sync() error
}

const lockName = "lock"

// Folder is a Disk that stores its files in a folder of the file system.
type Folder struct {
	path string
}

// OpenFolder returns the folder at path and creates it if it does not exist.
func OpenFolder(path string) (*Folder, error) {
	path = filepath.Clean(path)
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, serving.WrapError(err, serving.KindStorage, "create data folder "+path)
	}
	if err := syncPath(filepath.Dir(path)); err != nil {
		return nil, serving.WrapError(err, serving.KindStorage, "sync parent of data folder "+path)
	}
	return &Folder{path: path}, nil
}

// Lock implements Disk.
func (f *Folder) Lock() (func() error, error) {
	l := flock.New(filepath.Join(f.path, lockName))
	ok, err := l.TryLock()
	if err != nil {
		return nil, serving.WrapError(err, serving.KindStorage, "lock data folder "+f.path)
	}
	if !ok {
		e := serving.NewError(serving.KindConflict, "data folder "+f.path+" is in use by another process")
		e.Remedy = "stop the other process or use another data folder"
		return nil, e
	}
	return l.Unlock, nil
}

// Names implements Disk.
func (f *Folder) Names() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Read implements Disk.
func (f *Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Create implements Disk.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Rename implements Disk.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove implements Disk.
func (f *Folder) Remove(name string) error {
	return os.Remove(filepath.Join(f.path, name))
}

// SyncFolder implements Disk.
func (f *Folder) SyncFolder() error { return syncPath(f.path) }

func syncPath(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return err
}
