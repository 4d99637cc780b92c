package admin

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

// printer writes results as a table or as JSON.
type printer struct {
	w    io.Writer
	json bool
}

// encode returns a message as JSON with the field names of the schema.
func encode(m proto.Message) (json.RawMessage, error) {
	b, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: false}.Marshal(m)
	return b, err
}

func (p printer) writeJSON(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	// protojson inserts spaces at random; json.Indent normalizes them.
	var out bytes.Buffer
	if err := json.Indent(&out, b, "", "  "); err != nil {
		return err
	}
	out.WriteByte('\n')
	_, err = p.w.Write(out.Bytes())
	return err
}

// message writes m in JSON mode and text in table mode.
func (p printer) message(m proto.Message, text string) error {
	if !p.json {
		_, err := fmt.Fprintln(p.w, text)
		return err
	}
	b, err := encode(m)
	if err != nil {
		return err
	}
	return p.writeJSON(b)
}

func (p printer) accepted(commandID string, res *schema.ChangeResult) error {
	return p.changeResult(commandID, res, "")
}

// changeResult writes the result of a change and the key that was generated with
// it. An empty key is left out.
func (p printer) changeResult(commandID string, res *schema.ChangeResult, key string) error {
	if p.json {
		out := map[string]any{"command_id": commandID, "revision": res.GetRevision(), "outcome": "accepted"}
		if key != "" {
			out["key"] = key
		}
		return p.writeJSON(out)
	}
	text := fmt.Sprintf("accepted at revision %d (command %s)", res.GetRevision(), commandID)
	if key != "" {
		text += "\nnew key, which is not stored and not shown again: " + key
	}
	_, err := fmt.Fprintln(p.w, text)
	return err
}

// table writes aligned rows below a header. Spaces separate the columns of the
// header.
func (p printer) table(header string, rows [][]string) error {
	t := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return t.Flush()
}

func (p printer) objects(res *schema.ReadResult) error {
	if p.json {
		return p.message(res, "")
	}
	var rows [][]string
	for _, o := range res.GetObjects() {
		var names []string
		for _, a := range o.GetAliases() {
			names = append(names, a.GetScheme()+":"+a.GetName())
		}
		rows = append(rows, []string{o.GetId(), fmt.Sprint(o.GetRevision()), describe(o), strings.Join(names, " ")})
	}
	return p.table("ID REVISION SPECIFICATION ALIASES", rows)
}

func (p printer) aliases(res *schema.ReadResult) error {
	list := []json.RawMessage{}
	var rows [][]string
	for _, o := range res.GetObjects() {
		for _, a := range o.GetAliases() {
			b, err := encode(a)
			if err != nil {
				return err
			}
			list = append(list, b)
			rows = append(rows, []string{a.GetScheme(), a.GetName(), a.GetTarget(), fmt.Sprint(a.GetRevision())})
		}
	}
	if p.json {
		return p.writeJSON(list)
	}
	return p.table("SCHEME ALIAS ID REVISION", rows)
}

func (p printer) history(res *schema.HistoryResult) error {
	if p.json {
		return p.message(res, "")
	}
	var rows [][]string
	for _, h := range res.GetEntries() {
		action, object := describeChange(h)
		rows = append(rows, []string{fmt.Sprint(h.GetRevision()), time.UnixMilli(h.GetAtMs()).UTC().Format(time.RFC3339),
			h.GetChange().GetOperator(), action, object})
	}
	return p.table("REVISION TIME OPERATOR ACTION OBJECT", rows)
}

func (p printer) status(list []*schema.ReplicaStatus, failures map[string]error) error {
	if p.json {
		replicas, failed := []json.RawMessage{}, map[string]string{}
		for _, st := range list {
			b, err := encode(st)
			if err != nil {
				return err
			}
			replicas = append(replicas, b)
		}
		for addr, err := range failures {
			failed[addr] = err.Error()
		}
		return p.writeJSON(map[string]any{"replicas": replicas, "failed": failed})
	}
	var rows [][]string
	for _, st := range list {
		rows = append(rows, []string{st.GetReplica(), st.GetRole(), fmt.Sprint(st.GetTerm()), fmt.Sprint(st.GetCommitIndex()),
			fmt.Sprint(st.GetAppliedIndex()), fmt.Sprint(st.GetRevision()), st.GetLeader(), describeMembers(st.GetMembers())})
	}
	if err := p.table("REPLICA ROLE TERM COMMITTED APPLIED REVISION LEADER MEMBERS", rows); err != nil {
		return err
	}
	for _, addr := range slices.Sorted(maps.Keys(failures)) {
		fmt.Fprintf(p.w, "%s does not answer: %v\n", addr, failures[addr])
	}
	return nil
}

func describeMembers(members []*schema.Member) string {
	var list []string
	for _, m := range members {
		role := "learner"
		if m.GetVoter() {
			role = "voter"
		}
		list = append(list, fmt.Sprintf("%s=%s:%d", m.GetReplica(), role, m.GetMatchIndex()))
	}
	return strings.Join(list, " ")
}

// describeChange returns the action of a change and the object or alias to which it
// applies.
func describeChange(h *schema.HistoryEntry) (action, object string) {
	c := h.GetChange()
	kind := func(k schema.ObjectKind) string {
		for name, other := range kinds {
			if other == k {
				return name + " "
			}
		}
		return ""
	}
	switch a := c.GetAction().(type) {
	case *schema.Change_Put:
		return "put", kind(a.Put.GetKind()) + h.GetCanonicalId()
	case *schema.Change_Remove:
		return "remove", kind(a.Remove.GetKind()) + h.GetCanonicalId()
	case *schema.Change_TakeOut:
		return "take-out", kind(a.TakeOut.GetKind()) + h.GetCanonicalId()
	case *schema.Change_BringBack:
		return "bring-back", kind(a.BringBack.GetKind()) + h.GetCanonicalId()
	case *schema.Change_PutAlias:
		return "alias put", a.PutAlias.GetScheme() + ":" + a.PutAlias.GetName() + " -> " + kind(a.PutAlias.GetKind()) + a.PutAlias.GetTarget()
	case *schema.Change_RemoveAlias:
		return "alias remove", a.RemoveAlias.GetScheme() + ":" + a.RemoveAlias.GetName()
	}
	return "", ""
}

// describe returns the specification of an object in one line.
func describe(o *schema.Object) string {
	var b strings.Builder
	add := func(format string, args ...any) {
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, format, args...)
	}
	switch s := o.GetSpec().(type) {
	case *schema.Object_Service:
		add("generates=%v model=%s lookup_path=%s", s.Service.GetGenerates(), s.Service.GetModel(), s.Service.GetLookupPath())
		for _, r := range s.Service.GetRoutes() {
			add("route=%s,idempotent=%v,%dms", r.GetPathPrefix(), r.GetIdempotent(), r.GetTimeoutMs())
		}
	case *schema.Object_ClientAccount:
		a := s.ClientAccount
		add("weight=%g tokens_per_second=%d burst_tokens=%d max_in_progress=%d operator=%v", a.GetWeight(),
			a.GetTokensPerSecond(), a.GetBurstTokens(), a.GetMaxInProgress(), a.GetOperator())
		for _, h := range a.GetKeyHashes() {
			// Eight hexadecimal digits are enough to distinguish the keys of one account.
			add("key_hash=%s...", hex.EncodeToString(h[:min(4, len(h))]))
		}
	case *schema.Object_DataCentre:
		add("region=%s out=%v", s.DataCentre.GetRegion(), s.DataCentre.GetOut())
	case *schema.Object_Model:
		add("min_warm=%d", s.Model.GetMinWarm())
		for _, v := range s.Model.GetVersions() {
			add("%s=%g", v.GetVersion(), v.GetShare())
		}
	case *schema.Object_Engine:
		add("role=%s out=%v", s.Engine.GetRole(), s.Engine.GetOut())
		for _, m := range s.Engine.GetModels() {
			add("%s@%s", m.GetModel(), m.GetVersion())
		}
		for _, a := range s.Engine.GetAdapters() {
			add("adapter=%s", a)
		}
	case *schema.Object_Host:
		add("address=%s data_centre=%s entry=%v", s.Host.GetAddress(), s.Host.GetDataCentre(), s.Host.GetEntry())
	}
	return b.String()
}
