package admin

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Command is the command line of turmericdrum admin.
type Command struct {
	Server           string        `arg:"--server,env:TURMERICDRUM_SERVER" placeholder:"ADDR[,ADDR]" help:"addresses of control replicas"`
	Key              string        `arg:"--key,env:TURMERICDRUM_KEY" help:"operator key"`
	Output           string        `arg:"--output" default:"table" help:"table or json"`
	Timeout          time.Duration `arg:"--timeout" default:"10s" help:"time for a call with all its attempts"`
	CommandID        string        `arg:"--command-id" help:"id of the change; a resent change has the same one"`
	ExpectedRevision *uint64       `arg:"--expected-revision" help:"revision of the object that the change replaces; 0 if it must not exist"`
	IssuedAtMS       int64         `arg:"--issued-at" placeholder:"MS" help:"time at which a resent change was first issued"`

	Put       *PutCommand     `arg:"subcommand:put" help:"create or change an object"`
	List      *ListCommand    `arg:"subcommand:list" help:"list the objects of a kind"`
	Show      *NameCommand    `arg:"subcommand:show" help:"show an object"`
	Remove    *NameCommand    `arg:"subcommand:remove" help:"remove an object"`
	TakeOut   *NameCommand    `arg:"subcommand:take-out" help:"take a data centre or engine out of service"`
	BringBack *NameCommand    `arg:"subcommand:bring-back" help:"bring a data centre or engine back into service"`
	Alias     *AliasCommand   `arg:"subcommand:alias" help:"names in other schemes"`
	History   *HistoryCommand `arg:"subcommand:history" help:"accepted changes"`
	Status    *StatusCommand  `arg:"subcommand:status" help:"state of the control replicas"`
	Members   *MembersCommand `arg:"subcommand:members" help:"membership of the replicated log"`

	// Transport sends the HTTP requests; nil means direct connections.
	Transport http.RoundTripper `arg:"-"`
	// Now returns the issue time of a change; nil means time.Now.
	Now func() time.Time `arg:"-"`
}

// NameCommand identifies an object by its kind and any of its names.
type NameCommand struct {
	Kind string `arg:"positional,required" placeholder:"KIND" help:"service, account, data-centre, model, engine or host"`
	Name string `arg:"positional,required" placeholder:"NAME"`
}

// ListCommand lists the objects of a kind.
type ListCommand struct {
	Kind string `arg:"positional,required" placeholder:"KIND" help:"service, account, data-centre, model, engine or host"`
}

// HistoryCommand lists accepted changes.
type HistoryCommand struct {
	After uint64 `arg:"--after" help:"list changes after this revision"`
	Limit int32  `arg:"--limit" default:"100" help:"number of changes"`
}

// StatusCommand prints the state of each replica.
type StatusCommand struct{}

// Run executes the command and writes its result to w.
func (c *Command) Run(ctx context.Context, w io.Writer) error {
	if err := c.check(); err != nil {
		return err
	}
	p := printer{w: w, json: c.Output == "json"}
	s := &session{Command: c, client: c.dial(c.addresses()...), out: p}
	switch {
	case c.Put != nil:
		return s.put(ctx, c.Put)
	case c.List != nil:
		return s.list(ctx, c.List.Kind, "")
	case c.Show != nil:
		return s.list(ctx, c.Show.Kind, c.Show.Name)
	case c.Remove != nil:
		return s.changeObject(ctx, c.Remove, func(n *schema.ObjectName) *schema.Change {
			return &schema.Change{Action: &schema.Change_Remove{Remove: n}}
		})
	case c.TakeOut != nil:
		return s.changeObject(ctx, c.TakeOut, func(n *schema.ObjectName) *schema.Change {
			return &schema.Change{Action: &schema.Change_TakeOut{TakeOut: n}}
		})
	case c.BringBack != nil:
		return s.changeObject(ctx, c.BringBack, func(n *schema.ObjectName) *schema.Change {
			return &schema.Change{Action: &schema.Change_BringBack{BringBack: n}}
		})
	case c.Alias != nil:
		return s.alias(ctx, c.Alias)
	case c.History != nil:
		return s.history(ctx, c.History)
	case c.Status != nil:
		return s.status(ctx)
	case c.Members != nil:
		return s.members(ctx, c.Members)
	}
	return invalid("no subcommand is given", "give one of put, list, show, remove, take-out, bring-back, alias, history, status, members")
}

func (c *Command) check() error {
	switch {
	case len(c.addresses()) == 0:
		return invalid("no control address is given", "give --server ADDR[,ADDR] or set TURMERICDRUM_SERVER")
	case c.Key == "":
		return invalid("no operator key is given", "give --key KEY or set TURMERICDRUM_KEY")
	case c.Output != "" && c.Output != "table" && c.Output != "json":
		return invalid("output format "+c.Output+" is unknown", "give --output table or --output json")
	}
	return nil
}

func (c *Command) addresses() []string {
	return strings.FieldsFunc(c.Server, func(r rune) bool { return r == ',' || r == ' ' })
}

func (c *Command) dial(addresses ...string) *rpc.Client {
	return &rpc.Client{Addresses: addresses, Key: c.Key, Timeout: c.Timeout, Transport: c.Transport}
}

func invalid(message, remedy string) error {
	e := serving.NewError(serving.KindInvalid, message)
	e.Remedy = remedy
	return e
}

var kinds = map[string]schema.ObjectKind{
	"service":     schema.ObjectKind_OBJECT_KIND_SERVICE,
	"account":     schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT,
	"data-centre": schema.ObjectKind_OBJECT_KIND_DATA_CENTRE,
	"model":       schema.ObjectKind_OBJECT_KIND_MODEL,
	"engine":      schema.ObjectKind_OBJECT_KIND_ENGINE,
	"host":        schema.ObjectKind_OBJECT_KIND_HOST,
}

func parseKind(s string) (schema.ObjectKind, error) {
	if k, ok := kinds[s]; ok {
		return k, nil
	}
	return 0, invalid("kind "+s+" is unknown", "give service, account, data-centre, model, engine or host")
}
