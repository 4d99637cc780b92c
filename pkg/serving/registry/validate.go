package registry

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"turmericdrum.org/turmericdrum/pkg/schema"
)

const (
	maxNameBytes = 128
	// shareTolerance allows for rounding errors in the sum of decimal fractions.
	shareTolerance = 1e-6
	sha256Bytes    = 32
)

var kindNames = map[schema.ObjectKind]string{
	schema.ObjectKind_OBJECT_KIND_SERVICE:        "service",
	schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT: "client account",
	schema.ObjectKind_OBJECT_KIND_DATA_CENTRE:    "data centre",
	schema.ObjectKind_OBJECT_KIND_MODEL:          "model",
	schema.ObjectKind_OBJECT_KIND_ENGINE:         "engine",
	schema.ObjectKind_OBJECT_KIND_HOST:           "host",
}

func kindName(k schema.ObjectKind) string {
	if n, ok := kindNames[k]; ok {
		return n
	}
	return "object of unknown kind " + strconv.Itoa(int(k))
}

func describe(k objectKey) string { return kindName(k.kind) + " " + k.id }

func describeAlias(k aliasKey) string {
	return "alias " + quote(k.name) + " of scheme " + quote(k.scheme) + " for a " + kindName(k.kind)
}

func quote(s string) string {
	if len(s) > maxNameBytes {
		s = s[:maxNameBytes]
	}
	return strconv.QuoteToASCII(s)
}

// checkID checks that an identifier, such as a canonical id or a version, has only
// ASCII letters, digits, dots, underscores and hyphens. It returns an error message,
// or "" if the identifier is valid.
func checkID(field, id string) string {
	if id == "" {
		return field + " is empty"
	}
	if len(id) > maxNameBytes {
		return fmt.Sprintf("%s %s is longer than %d bytes", field, quote(id), maxNameBytes)
	}
	for _, r := range id {
		if r > unicode.MaxASCII || !unicode.IsLetter(r) && !unicode.IsDigit(r) && !strings.ContainsRune("._-", r) {
			return field + " " + quote(id) + " may only have letters, digits, '.', '_' and '-'"
		}
	}
	return ""
}

// checkText checks that a name which is not a canonical id, such as an alias, is
// printable and does not start or end with a space. It returns an error message,
// or "" if the name is valid.
func checkText(field, s string) string {
	switch {
	case s == "":
		return field + " is empty"
	case len(s) > maxNameBytes:
		return fmt.Sprintf("%s %s is longer than %d bytes", field, quote(s), maxNameBytes)
	case !utf8.ValidString(s) || strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }):
		return field + " " + quote(s) + " has characters that cannot be printed"
	case strings.TrimSpace(s) != s:
		return field + " " + quote(s) + " starts or ends with a space"
	}
	return ""
}

func (m *Machine) validateAlias(a *schema.Alias) string {
	if _, ok := kindNames[a.GetKind()]; !ok {
		return "the alias has no known kind"
	}
	if !slices.Contains(m.cfg.Schemes, a.GetScheme()) {
		return "scheme " + quote(a.GetScheme()) + " is not one of " + strings.Join(m.cfg.Schemes, ", ")
	}
	return checkText("alias name", a.GetName())
}

// validateObject checks an object without its references. It returns an error
// message, or "" if the object is valid.
func validateObject(o *schema.Object) string {
	if _, ok := kindNames[o.GetKind()]; !ok {
		return "the object has no known kind"
	}
	if msg := checkID(kindName(o.GetKind())+" id", o.GetId()); msg != "" {
		return msg
	}
	kind, msg := validateSpec(o)
	if kind != o.GetKind() {
		return describe(objectKey{o.GetKind(), o.GetId()}) + ": the specification is missing or of another kind"
	}
	if msg != "" {
		return describe(objectKey{o.GetKind(), o.GetId()}) + ": " + msg
	}
	return ""
}

func validateSpec(o *schema.Object) (schema.ObjectKind, string) {
	switch s := o.GetSpec().(type) {
	case *schema.Object_Service:
		return schema.ObjectKind_OBJECT_KIND_SERVICE, validateService(s.Service)
	case *schema.Object_ClientAccount:
		return schema.ObjectKind_OBJECT_KIND_CLIENT_ACCOUNT, validateAccount(s.ClientAccount)
	case *schema.Object_DataCentre:
		return schema.ObjectKind_OBJECT_KIND_DATA_CENTRE, checkID("region", s.DataCentre.GetRegion())
	case *schema.Object_Model:
		return schema.ObjectKind_OBJECT_KIND_MODEL, validateModel(s.Model)
	case *schema.Object_Engine:
		return schema.ObjectKind_OBJECT_KIND_ENGINE, validateEngine(s.Engine)
	case *schema.Object_Host:
		return schema.ObjectKind_OBJECT_KIND_HOST, validateHost(s.Host)
	default:
		return schema.ObjectKind_OBJECT_KIND_UNSPECIFIED, ""
	}
}

func validateService(s *schema.Service) string {
	if !s.GetGenerates() && s.GetModel() != "" {
		return "a plain service has no model; set generates or drop the model"
	}
	if p := s.GetLookupPath(); p != "" && !strings.HasPrefix(p, "/") {
		return "lookup_path " + quote(p) + " must start with '/'"
	}
	seen := map[string]bool{}
	for _, r := range s.GetRoutes() {
		switch p := r.GetPathPrefix(); {
		case !strings.HasPrefix(p, "/"):
			return "path_prefix " + quote(p) + " must start with '/'"
		case seen[p]:
			return "path_prefix " + quote(p) + " is listed twice"
		case r.GetTimeoutMs() < 0:
			return "timeout_ms of " + quote(p) + " is negative"
		default:
			seen[p] = true
		}
	}
	return ""
}

func validateAccount(a *schema.ClientAccount) string {
	if w := a.GetWeight(); !(w > 0) || math.IsInf(w, 0) {
		return "weight must be a positive number"
	}
	if a.GetTokensPerSecond() < 0 || a.GetBurstTokens() < 0 || a.GetMaxInProgress() < 0 {
		return "limits must not be negative; 0 means no limit"
	}
	if a.GetTokensPerSecond() > 0 && a.GetBurstTokens() == 0 {
		return "burst_tokens must be positive if tokens_per_second is, or no request could run"
	}
	seen := map[string]bool{}
	for _, h := range a.GetKeyHashes() {
		if len(h) != sha256Bytes {
			return fmt.Sprintf("a key hash has %d bytes; a SHA-256 hash has %d", len(h), sha256Bytes)
		}
		if seen[string(h)] {
			return "a key hash is listed twice"
		}
		seen[string(h)] = true
	}
	return ""
}

func validateModel(m *schema.Model) string {
	if m.GetMinWarm() < 0 {
		return "min_warm must not be negative"
	}
	sum, seen := 0.0, map[string]bool{}
	for _, v := range m.GetVersions() {
		if msg := checkID("version", v.GetVersion()); msg != "" {
			return msg
		}
		if s := v.GetShare(); !(s >= 0 && s <= 1) {
			return "share of version " + v.GetVersion() + " must be between 0 and 1"
		}
		if seen[v.GetVersion()] {
			return "version " + v.GetVersion() + " is listed twice"
		}
		seen[v.GetVersion()] = true
		sum += v.GetShare()
	}
	if len(seen) == 0 {
		return "a model needs at least one version"
	}
	if math.Abs(sum-1) > shareTolerance {
		return fmt.Sprintf("shares of the versions must add up to 1, not %g", sum)
	}
	return ""
}

func validateEngine(e *schema.EngineWant) string {
	seen := map[string]bool{}
	for _, ref := range e.GetModels() {
		k := ref.GetModel() + "\x00" + ref.GetVersion()
		if seen[k] {
			return "model " + quote(ref.GetModel()) + " at version " + quote(ref.GetVersion()) + " is listed twice"
		}
		seen[k] = true
	}
	for _, a := range e.GetAdapters() {
		if msg := checkText("adapter", a); msg != "" {
			return msg
		}
	}
	if e.GetRole() == "" {
		return ""
	}
	return checkID("role", e.GetRole())
}

func validateHost(h *schema.Host) string {
	host, port, err := net.SplitHostPort(h.GetAddress())
	if err != nil || host == "" || port == "" {
		return "address " + quote(h.GetAddress()) + " is not of the form host:port"
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return "address " + quote(h.GetAddress()) + " has no valid port"
	}
	return ""
}
