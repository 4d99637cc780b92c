package admin

import (
	"context"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// AliasCommand creates, moves, removes and lists names in other naming schemes.
type AliasCommand struct {
	Put    *AliasTarget `arg:"subcommand:put" help:"create an alias"`
	Move   *AliasTarget `arg:"subcommand:move" help:"move an alias to another object"`
	Remove *AliasName   `arg:"subcommand:remove" help:"remove an alias"`
	List   *ListCommand `arg:"subcommand:list" help:"list the aliases of a kind"`
}

// AliasName identifies an alias.
type AliasName struct {
	Scheme string `arg:"positional,required" placeholder:"SCHEME"`
	Kind   string `arg:"positional,required" placeholder:"KIND"`
	Name   string `arg:"positional,required" placeholder:"ALIAS"`
}

// AliasTarget identifies an alias and the object that it should refer to.
type AliasTarget struct {
	AliasName
	Target string `arg:"positional,required" placeholder:"NAME" help:"any name of the object"`
}

func (s *session) alias(ctx context.Context, c *AliasCommand) error {
	switch {
	case c.Put != nil:
		a, err := c.Put.alias(c.Put.Target)
		if err != nil {
			return err
		}
		return s.change(ctx, &schema.Change{Action: &schema.Change_PutAlias{PutAlias: a}}, 0)
	case c.Move != nil:
		a, err := c.Move.alias(c.Move.Target)
		if err != nil {
			return err
		}
		return s.changeAlias(ctx, a, &schema.Change{Action: &schema.Change_PutAlias{PutAlias: a}})
	case c.Remove != nil:
		a, err := c.Remove.alias("")
		if err != nil {
			return err
		}
		return s.changeAlias(ctx, a, &schema.Change{Action: &schema.Change_RemoveAlias{RemoveAlias: a}})
	case c.List != nil:
		kind, err := parseKind(c.List.Kind)
		if err != nil {
			return err
		}
		res, err := s.client.Read(ctx, &schema.ReadRequest{Kind: kind})
		if err != nil {
			return err
		}
		return s.out.aliases(res)
	}
	return invalid("no subcommand of alias is given", "give put, move, remove or list")
}

func (n *AliasName) alias(target string) (*schema.Alias, error) {
	kind, err := parseKind(n.Kind)
	return &schema.Alias{Scheme: n.Scheme, Name: n.Name, Kind: kind, Target: target}, err
}

// changeAlias sends a change of an existing alias, based on its current revision or
// on the one that --expected-revision gives.
func (s *session) changeAlias(ctx context.Context, a *schema.Alias, c *schema.Change) error {
	if s.ExpectedRevision != nil {
		return s.change(ctx, c, *s.ExpectedRevision)
	}
	o, err := s.readObject(ctx, a.GetKind(), a.GetName())
	if err != nil {
		return err
	}
	for _, old := range o.GetAliases() {
		if old.GetScheme() == a.GetScheme() && old.GetName() == a.GetName() {
			return s.change(ctx, c, old.GetRevision())
		}
	}
	e := serving.NewError(serving.KindNotFound, "scheme "+a.GetScheme()+" has no alias "+a.GetName())
	e.Remedy = "list the aliases with alias list, or create it with alias put"
	return e
}
