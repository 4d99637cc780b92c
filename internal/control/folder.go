package control

import (
	"fmt"
	"io"
	"os"

	"turmericdrum.org/turmericdrum/internal/replica"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/journal"
)

// FolderCommand has the subcommands that work on the data folder of a stopped
// replica.
type FolderCommand struct {
	Data    string          `arg:"--data" help:"data folder; for a running replica it overrides control.data of the settings"`
	Inspect *InspectCommand `arg:"subcommand:inspect" help:"show what a data folder holds"`
	Backup  *BackupCommand  `arg:"subcommand:backup" help:"write the newest snapshot to a file"`
	Restore *RestoreCommand `arg:"subcommand:restore" help:"fill an empty data folder from a backup"`
	Recover *RecoverCommand `arg:"subcommand:recover" help:"after a majority is lost for good: make this replica the only voter"`
}

// InspectCommand shows what a data folder holds.
type InspectCommand struct{}

// BackupCommand writes the newest snapshot to a file.
type BackupCommand struct {
	To string `arg:"--to,required" help:"file to write; it must not exist"`
}

// RestoreCommand fills an empty data folder from a backup.
type RestoreCommand struct {
	From    string         `arg:"--from,required" help:"file that backup wrote"`
	Host    serving.HostID `arg:"--host,required" help:"id of this host"`
	Address string         `arg:"--address,required" help:"address of this replica, as IP:PORT"`
}

// RecoverCommand makes one replica the only voter.
type RecoverCommand struct {
	Address    string `arg:"--address,required" help:"address of this replica, as IP:PORT"`
	AcceptLoss bool   `arg:"--accept-loss" help:"confirm that changes only the lost replicas stored are lost"`
}

// Run executes the subcommand that is set. It returns false if none is set.
func (c *FolderCommand) Run(w io.Writer) (bool, error) {
	switch {
	case c.Inspect != nil:
		return true, c.Inspect.run(w, c.Data)
	case c.Backup != nil:
		return true, c.Backup.run(w, c.Data)
	case c.Restore != nil:
		return true, c.Restore.run(w, c.Data)
	case c.Recover != nil:
		return true, c.Recover.run(w, c.Data)
	}
	return false, nil
}

func (*InspectCommand) run(w io.Writer, data string) error {
	disk, err := openExisting(data)
	if err != nil {
		return err
	}
	r, err := journal.Inspect(disk)
	if err != nil {
		return err
	}
	printReport(w, r)
	return nil
}

func (c *BackupCommand) run(w io.Writer, data string) error {
	disk, err := openExisting(data)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(c.To, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return serving.WrapError(err, serving.KindStorage, "create backup")
	}
	index, err := journal.Backup(disk, f)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = os.Remove(c.To)
		return err
	}
	_, err = fmt.Fprintf(w, "wrote the snapshot of index %d to %s; later entries are not part of it\n", index, c.To)
	return err
}

func (c *RestoreCommand) run(w io.Writer, data string) error {
	f, err := os.Open(c.From)
	if err != nil {
		return serving.WrapError(err, serving.KindNotFound, "open backup")
	}
	defer f.Close()
	if data == "" {
		return errNoFolder()
	}
	disk, err := journal.OpenFolder(data)
	if err != nil {
		return err
	}
	r, err := journal.Restore(disk, c.Host, "http://"+c.Address, f)
	if err != nil {
		return err
	}
	printReport(w, r)
	return nil
}

func (c *RecoverCommand) run(w io.Writer, data string) error {
	disk, err := openExisting(data)
	if err != nil {
		return err
	}
	before, err := journal.Inspect(disk)
	if err != nil {
		return err
	}
	printReport(w, before)
	fmt.Fprintf(w, "recovery loses every change after index %d and every change that only other replicas stored;\n"+
		"changes after index %d may become accepted although their operators were told that the outcome is unknown\n",
		before.LastIndex, before.SnapshotIndex)
	if !c.AcceptLoss {
		e := serving.NewError(serving.KindInvalid, "nothing was changed")
		e.Remedy = "wipe the data folders of all other replicas, then run the command again with --accept-loss"
		return e
	}
	_, err = replica.Recover(disk, "http://"+c.Address)
	if err == nil {
		fmt.Fprintln(w, "this replica is the only voter now; add the others as learners")
	}
	return err
}

// openExisting opens a data folder and fails if it does not exist.
func openExisting(path string) (*journal.Folder, error) {
	if path == "" {
		return nil, errNoFolder()
	}
	if _, err := os.Stat(path); err != nil {
		e := serving.WrapError(err, serving.KindNotFound, "open data folder")
		e.Remedy = "name an existing data folder"
		return nil, e
	}
	return journal.OpenFolder(path)
}

func errNoFolder() error {
	e := serving.NewError(serving.KindInvalid, "no data folder is given")
	e.Remedy = "name it with --data"
	return e
}

func printReport(w io.Writer, r journal.Report) {
	fmt.Fprintf(w, "replica         %s\n", r.Self)
	fmt.Fprintf(w, "term            %d\n", r.Term)
	fmt.Fprintf(w, "vote            %s\n", r.Vote)
	fmt.Fprintf(w, "snapshot_index  %d\n", r.SnapshotIndex)
	fmt.Fprintf(w, "snapshot_bytes  %d\n", r.SnapshotBytes)
	fmt.Fprintf(w, "last_index      %d\n", r.LastIndex)
	fmt.Fprintf(w, "segments        %d\n", r.Segments)
	fmt.Fprintf(w, "torn_tail       %v\n", r.Torn)
	for _, m := range r.Membership.Members {
		fmt.Fprintf(w, "member          %s %s voter=%v\n", m.ID, m.Address, m.Voter)
	}
}
