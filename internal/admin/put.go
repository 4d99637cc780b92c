package admin

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"time"

	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/schema"
)

// PutCommand creates or changes an object.
type PutCommand struct {
	Service    *PutService    `arg:"subcommand:service"`
	Account    *PutAccount    `arg:"subcommand:account"`
	DataCentre *PutDataCentre `arg:"subcommand:data-centre"`
	Model      *PutModel      `arg:"subcommand:model"`
	Engine     *PutEngine     `arg:"subcommand:engine"`
	Host       *PutHost       `arg:"subcommand:host"`
}

// ID is any name of an existing object, or the canonical id of a new one.
type ID struct {
	ID string `arg:"positional,required" placeholder:"ID"`
}

// PutService has the options of a service.
type PutService struct {
	ID
	Generates  *bool    `arg:"--generates" help:"true if its engines generate tokens"`
	Model      *string  `arg:"--model" help:"model unless the caller names one"`
	Routes     []string `arg:"--route,separate" placeholder:"PREFIX[,idempotent][,TIMEOUT]" help:"route, such as /orders,30s; replaces all routes"`
	LookupPath *string  `arg:"--lookup-path" help:"path that answers for an idempotency key"`
}

// PutAccount has the options of a client account.
type PutAccount struct {
	ID
	Weight          *float64 `arg:"--weight" help:"share relative to other accounts; 1 for a new account"`
	TokensPerSecond *int64   `arg:"--tokens-per-second" help:"0 means no limit"`
	BurstTokens     *int64   `arg:"--burst-tokens" help:"tokens that may be spent at once"`
	MaxInProgress   *int64   `arg:"--max-in-progress" help:"requests in progress; 0 means no limit"`
	Operator        *bool    `arg:"--operator" help:"true if its keys are those of an operator"`
	AddKeys         []string `arg:"--add-key,separate" help:"key to add; only its hash is sent"`
	RemoveKeys      []string `arg:"--remove-key-hash,separate" placeholder:"HEX" help:"start of the hash of a key to remove"`
	GenerateKey     bool     `arg:"--generate-key" help:"add a new key and print it once"`
}

// PutDataCentre has the options of a data centre.
type PutDataCentre struct {
	ID
	Region *string `arg:"--region"`
}

// PutModel has the options of a model.
type PutModel struct {
	ID
	Versions []string `arg:"--version,separate" placeholder:"VERSION[=SHARE]" help:"version and its share of engines; replaces all versions"`
	MinWarm  *int64   `arg:"--min-warm" help:"warm engines to keep"`
}

// PutEngine has the options of an engine.
type PutEngine struct {
	ID
	Models   []string `arg:"--model,separate" placeholder:"MODEL@VERSION" help:"model to carry; replaces all models"`
	Adapters []string `arg:"--adapter,separate" help:"adapter to carry; replaces all adapters"`
	Role     *string  `arg:"--role"`
}

// PutHost has the options of a host.
type PutHost struct {
	ID
	Address    *string `arg:"--address" placeholder:"HOST:PORT"`
	DataCentre *string `arg:"--data-centre"`
	Entry      *bool   `arg:"--entry" help:"true if the host runs an entry"`
}

func (s *session) put(ctx context.Context, p *PutCommand) error {
	kind, name, ok := p.target()
	if !ok {
		return invalid("no kind of object is given", "give service, account, data-centre, model, engine or host")
	}
	old, err := s.readObject(ctx, kind, name)
	if err != nil {
		return err
	}
	o := old
	if o == nil {
		o = &schema.Object{Kind: kind, Id: name}
	}
	revision := old.GetRevision()
	// The registry sets the revision and rejects a put with outdated aliases.
	o.Revision, o.Aliases = 0, nil
	key, err := p.merge(o)
	if err != nil {
		return err
	}
	extraOptions := ""
	if key != "" {
		extraOptions = " --add-key " + key + " instead of --generate-key"
	}
	change := &schema.Change{Action: &schema.Change_Put{Put: o}}
	res, err := s.send(ctx, change, revision, extraOptions)
	if err != nil {
		return err
	}
	return s.out.changeResult(change.GetCommandId(), res, key)
}

func (p *PutCommand) target() (schema.ObjectKind, string, bool) {
	switch {
	case p.Service != nil:
		return schema.ObjectKind_OBJECT_KIND_SERVICE, p.Service.ID.ID, true
	case p.Account != nil:
		return schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, p.Account.ID.ID, true
	case p.DataCentre != nil:
		return schema.ObjectKind_OBJECT_KIND_DATA_CENTRE, p.DataCentre.ID.ID, true
	case p.Model != nil:
		return schema.ObjectKind_OBJECT_KIND_MODEL, p.Model.ID.ID, true
	case p.Engine != nil:
		return schema.ObjectKind_OBJECT_KIND_ENGINE, p.Engine.ID.ID, true
	case p.Host != nil:
		return schema.ObjectKind_OBJECT_KIND_HOST, p.Host.ID.ID, true
	}
	return 0, "", false
}

// merge applies the given options to o and returns the key that it generated, if
// any.
func (p *PutCommand) merge(o *schema.Object) (key string, err error) {
	switch {
	case p.Service != nil:
		err = p.Service.merge(o)
	case p.Account != nil:
		key, err = p.Account.merge(o)
	case p.DataCentre != nil:
		d := &schema.DataCentre{Region: o.GetDataCentre().GetRegion(), Out: o.GetDataCentre().GetOut()}
		setIfGiven(&d.Region, p.DataCentre.Region)
		o.Spec = &schema.Object_DataCentre{DataCentre: d}
	case p.Model != nil:
		err = p.Model.merge(o)
	case p.Engine != nil:
		err = p.Engine.merge(o)
	case p.Host != nil:
		h := &schema.Host{Address: o.GetHost().GetAddress(), DataCentre: o.GetHost().GetDataCentre(), Entry: o.GetHost().GetEntry()}
		setIfGiven(&h.Address, p.Host.Address)
		setIfGiven(&h.DataCentre, p.Host.DataCentre)
		setIfGiven(&h.Entry, p.Host.Entry)
		o.Spec = &schema.Object_Host{Host: h}
	}
	return key, err
}

// setIfGiven sets v to the value of an option unless the option was left out.
func setIfGiven[T any](v *T, option *T) {
	if option != nil {
		*v = *option
	}
}

func (p *PutService) merge(o *schema.Object) error {
	v := o.GetService()
	if v == nil {
		v = &schema.Service{}
	}
	setIfGiven(&v.Generates, p.Generates)
	setIfGiven(&v.Model, p.Model)
	setIfGiven(&v.LookupPath, p.LookupPath)
	if len(p.Routes) > 0 {
		v.Routes = nil
	}
	for _, text := range p.Routes {
		parts := strings.Split(text, ",")
		r := &schema.Route{PathPrefix: parts[0]}
		for _, part := range parts[1:] {
			if part == "idempotent" {
				r.Idempotent = true
				continue
			}
			d, err := time.ParseDuration(part)
			if err != nil {
				return invalid("route "+text+" has the unknown part "+part, "give PREFIX[,idempotent][,TIMEOUT], such as /orders,30s")
			}
			r.TimeoutMs = d.Milliseconds()
		}
		v.Routes = append(v.Routes, r)
	}
	o.Spec = &schema.Object_Service{Service: v}
	return nil
}

func (p *PutAccount) merge(o *schema.Object) (string, error) {
	v := o.GetClientAccount()
	if v == nil {
		v = &schema.ClientAccount{Weight: 1}
	}
	setIfGiven(&v.Weight, p.Weight)
	setIfGiven(&v.TokensPerSecond, p.TokensPerSecond)
	setIfGiven(&v.BurstTokens, p.BurstTokens)
	setIfGiven(&v.MaxInProgress, p.MaxInProgress)
	setIfGiven(&v.Operator, p.Operator)
	for _, prefix := range p.RemoveKeys {
		matches := func(h []byte) bool { return strings.HasPrefix(hex.EncodeToString(h), strings.ToLower(prefix)) }
		remaining := slices.DeleteFunc(slices.Clone(v.KeyHashes), matches)
		if len(v.KeyHashes)-len(remaining) != 1 {
			return "", invalid("key hash "+prefix+" matches "+strconv.Itoa(len(v.KeyHashes)-len(remaining))+" keys of the account",
				"give more digits of a hash that show account prints")
		}
		v.KeyHashes = remaining
	}
	keys, generated := p.AddKeys, ""
	if p.GenerateKey {
		generated = "td_" + rand.Text()
		keys = append(slices.Clone(keys), generated)
	}
	for _, k := range keys {
		h := rpc.HashKey(k)
		if !slices.ContainsFunc(v.KeyHashes, func(other []byte) bool { return bytes.Equal(other, h[:]) }) {
			v.KeyHashes = append(v.KeyHashes, h[:])
		}
	}
	o.Spec = &schema.Object_ClientAccount{ClientAccount: v}
	return generated, nil
}

func (p *PutModel) merge(o *schema.Object) error {
	v := o.GetModel()
	if v == nil {
		v = &schema.Model{}
	}
	setIfGiven(&v.MinWarm, p.MinWarm)
	if len(p.Versions) > 0 {
		v.Versions = nil
	}
	for _, text := range p.Versions {
		version, share, ok := strings.Cut(text, "=")
		n := 1.0
		if ok {
			var err error
			if n, err = strconv.ParseFloat(share, 64); err != nil {
				return invalid("version "+text+" has no valid share", "give VERSION=SHARE, such as v2=0.25")
			}
		}
		v.Versions = append(v.Versions, &schema.ModelVersion{Version: version, Share: n})
	}
	o.Spec = &schema.Object_Model{Model: v}
	return nil
}

func (p *PutEngine) merge(o *schema.Object) error {
	v := o.GetEngine()
	if v == nil {
		v = &schema.EngineWant{}
	}
	setIfGiven(&v.Role, p.Role)
	if len(p.Adapters) > 0 {
		v.Adapters = p.Adapters
	}
	if len(p.Models) > 0 {
		v.Models = nil
	}
	for _, text := range p.Models {
		i := strings.LastIndex(text, "@")
		if i < 0 {
			return invalid("model "+text+" has no version", "give MODEL@VERSION, such as drafter@v2")
		}
		v.Models = append(v.Models, &schema.ModelRef{Model: text[:i], Version: text[i+1:]})
	}
	o.Spec = &schema.Object_Engine{Engine: v}
	return nil
}
